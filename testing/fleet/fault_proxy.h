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

/// A proxy between two processes that forwards bytes and injects a fault into a fraction of the connections, at a byte
/// drawn from its seed: it resets, stalls or trickles the connection, never responds, or responds with garbage. It can
/// also cut or pause all connections at once.
class FaultProxy : public QObject {
 public:
  /// Time after which a connection without any response is reset, as a caller or a network in between would do, in ms.
  static constexpr int unresponsiveForMs = 15000;

  FaultProxy(std::string const& target, std::string const& ip, std::uint64_t seed,
             int unresponsiveMs = unresponsiveForMs);
  FaultProxy(FaultProxy const&) = delete;
  FaultProxy& operator=(FaultProxy const&) = delete;
  FaultProxy(FaultProxy&&) = delete;
  FaultProxy& operator=(FaultProxy&&) = delete;
  ~FaultProxy() override;
  std::string const& address() const { return address_; }
  /// Sets the fraction of new connections that get a fault.
  void setFaultFraction(double share) { faultFraction_ = share; }
  /// Resets open connections and refuses new ones while on.
  void cut(bool on);
  /// Resets connections from these link addresses until called with other addresses or none. The sender is read from
  /// the first message of a connection.
  void cutSenders(std::set<std::string> senders);
  /// Forwards nothing while on; buffered bytes are forwarded afterwards.
  void pause(bool on);
  std::size_t faultyConnections() const { return faultyConnections_; }
  /// Number of the faulty connections that never get a response.
  std::size_t unresponsive() const { return unresponsive_; }

 private:
  enum class ConnectionFault { pass, cutUp, cutDown, stall, trickle, unresponsive, garbage };
  struct ConnectionPair;
  void accept();
  /// Opens the connection to the target and draws the fault.
  void openPair(QTcpSocket* caller);
  /// Connects the signals of the pair's two sockets.
  void connectSignals(std::shared_ptr<ConnectionPair> const& p);
  void onTargetClosed(std::shared_ptr<ConnectionPair> const& p);
  void pass(std::shared_ptr<ConnectionPair> const& p, bool up);
  /// Forwards bytes from the target, with the fault of the pair.
  void passDown(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes);
  /// Forwards the bytes before the fault, then resets the pair.
  void cutAt(std::shared_ptr<ConnectionPair> const& p, QTcpSocket& to, QByteArray const& bytes);
  void stallAt(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes);
  void resumeStalled(std::shared_ptr<ConnectionPair> const& p, QByteArray const& rest);
  void trickle(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes);
  /// Writes the next few bytes of a trickled response. Returns true if none are left.
  bool trickleStep(std::shared_ptr<ConnectionPair> const& p);
  bool isOpen(std::shared_ptr<ConnectionPair> const& p) const { return p && pairs_.count(p.get()) > 0; }
  void end(std::shared_ptr<ConnectionPair> const& p, bool reset);
  /// Records the sender of the pair. Returns whether its connections are cut.
  bool isCutSender(ConnectionPair& p, QByteArray const& bytes) const;
  std::string target_;
  std::string address_;
  QTcpServer server_;
  core::RandomGenerator rng_;
  double faultFraction_ = 0;
  bool cut_ = false;
  bool paused_ = false;
  std::size_t faultyConnections_ = 0;
  std::size_t unresponsive_ = 0;
  int unresponsiveMs_ = unresponsiveForMs;
  std::set<std::string> cutSenders_;
  std::map<ConnectionPair*, std::shared_ptr<ConnectionPair>> pairs_;
};

}  // namespace corkward::testing
