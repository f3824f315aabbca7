#pragma once

#include <QObject>
#include <QTcpServer>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <corkward/core/types.h>

class QTcpSocket;

namespace corkward::testing {

/// A relay between two processes that passes bytes on, and for a share of the connections does harm at a byte drawn
/// from its seed: cuts, stalls, trickles, stays dark or answers garbage. It can also cut or hold every connection at
/// once.
class FaultProxy : public QObject {
 public:
  /// Time after which a connection that is kept dark is reset, as a caller or a network on the way gives it up.
  static constexpr int darkForMs = 15000;

  FaultProxy(std::string const& target, std::string const& ip, std::uint64_t seed, int darkMs = darkForMs);
  FaultProxy(FaultProxy const&) = delete;
  FaultProxy& operator=(FaultProxy const&) = delete;
  FaultProxy(FaultProxy&&) = delete;
  FaultProxy& operator=(FaultProxy&&) = delete;
  ~FaultProxy() override;
  std::string const& address() const { return address_; }
  /// Share of new connections that harm is done to.
  void harm(double share) { share_ = share; }
  /// Resets what is open and refuses what comes.
  void cut(bool on);
  /// Resets what comes from these link addresses, and goes on doing so until it is called with others or none. A
  /// sender is known by its first message, which names it.
  void cutFrom(std::set<std::string> senders);
  /// Lets nothing pass for a while; what waited goes on after.
  void hold(bool on);
  std::size_t harmed() const { return harmed_; }
  /// Of the harmed connections those that were kept dark.
  std::size_t dark() const { return dark_; }

 private:
  enum class ConnectionFault { pass, cutUp, cutDown, stall, trickle, dark, garbage };
  struct Pair;
  void accept();
  /// Opens the connection onward to the target and draws the fault of this one.
  void openPair(QTcpSocket* caller);
  /// Forwards what the two sockets of the pair report.
  void connectSignals(std::shared_ptr<Pair> const& p);
  void targetClosed(std::shared_ptr<Pair> const& p);
  void pass(std::shared_ptr<Pair> const& p, bool up);
  /// Passes bytes from the target on, with the fault of the pair.
  void passDown(std::shared_ptr<Pair> const& p, QByteArray const& bytes);
  /// Passes bytes on up to the fault's place, then resets the pair.
  void cutAt(std::shared_ptr<Pair> const& p, QTcpSocket& to, QByteArray const& bytes);
  void stallAt(std::shared_ptr<Pair> const& p, QByteArray const& bytes);
  void resumeStalled(std::shared_ptr<Pair> const& p, QByteArray const& rest);
  void trickle(std::shared_ptr<Pair> const& p, QByteArray const& bytes);
  /// Writes the next few bytes of a trickle; true when that was the last.
  bool trickleStep(std::shared_ptr<Pair> const& p);
  bool isOpen(std::shared_ptr<Pair> const& p) const { return p && pairs_.count(p.get()) > 0; }
  void end(std::shared_ptr<Pair> const& p, bool reset);
  /// Notes who sends on the pair; true when what it sends is cut.
  bool cutSender(Pair& p, QByteArray const& bytes) const;
  std::string target_;
  std::string address_;
  QTcpServer server_;
  core::RandomGenerator rng_;
  double share_ = 0;
  bool cut_ = false;
  bool paused_ = false;
  std::size_t harmed_ = 0;
  std::size_t dark_ = 0;
  int darkMs_ = darkForMs;
  std::set<std::string> cutSenders_;
  std::map<Pair*, std::shared_ptr<Pair>> pairs_;
};

}  // namespace corkward::testing
