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
class Tap : public QObject {
 public:
  /// Time after which a connection that is kept dark is reset, as a caller or a network on the way gives it up.
  static constexpr int darkForMs = 15000;

  Tap(std::string const& target, std::string const& ip, std::uint64_t seed, int darkMs = darkForMs);
  ~Tap() override;
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
  enum class Way { pass, cutUp, cutDown, stall, trickle, dark, garbage };
  struct Pair;
  void accept();
  void pass(std::shared_ptr<Pair> const& p, bool up);
  void end(std::shared_ptr<Pair> const& p, bool reset);
  /// Notes who sends on the pair; true when what it sends is cut.
  bool cutSender(Pair& p, QByteArray const& bytes) const;
  std::string target_;
  std::string address_;
  QTcpServer server_;
  core::RandomGenerator rng_;
  double share_ = 0;
  bool cut_ = false;
  bool held_ = false;
  std::size_t harmed_ = 0;
  std::size_t dark_ = 0;
  int darkMs_ = darkForMs;
  std::set<std::string> cutSenders_;
  std::map<Pair*, std::shared_ptr<Pair>> pairs_;
};

}  // namespace corkward::testing
