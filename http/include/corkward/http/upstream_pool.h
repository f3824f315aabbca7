#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/http/upstream_connection.h>

namespace corkward::http {

/// Which connections to replicas are kept.
struct KeepAlivePolicy {
  /// Idle ones kept for one replica at the most; 0: each request has a connection of its own.
  std::size_t perReplica = 0;
  /// An idle one is used for less than this many milliseconds, or half of what the replica's Keep-Alive says.
  core::Tick idleLimit = 5000;
  /// The same for a request that may run once only; 0: it has a fresh connection.
  core::Tick freshIdleLimit = 0;
  /// An answer of no told length is whole when the replica closes its connection in order. False: it is always taken
  /// for cut, as a replica's process that dies closes its connections in order as well.
  bool closeEndsAnswer = false;
};

/// Lends connections to replicas. One goes back only when its request was written whole, its answer was whole with
/// nothing after it, and neither side said that it ends; one that says anything while it is idle is thrown away.
class UpstreamPool : public QObject {
 public:
  /// @param now monotonic milliseconds
  UpstreamPool(KeepAlivePolicy kept, std::function<core::Tick()> now, QObject* parent = nullptr);
  ~UpstreamPool() override;
  /// A connection for one request, a kept one or a new one. The relay is its parent's or the owner's to delete.
  /// @param fresh see KeepAlivePolicy::freshIdleLimit
  UpstreamConnection* acquire(std::string const& address, bool fresh, UpstreamConnection::Events events,
                              QObject* parent);
  /// Throws the idle ones of the address away.
  void drop(std::string const& address);
  void setKept(KeepAlivePolicy kept);
  std::size_t idle() const { return count_; }
  /// Connections opened, and requests that went on a kept one.
  std::uint64_t opened() const { return opened_; }
  std::uint64_t reused() const { return reused_; }

 private:
  friend class UpstreamConnection;
  struct Idle {
    QTcpSocket* socket = nullptr;
    core::Tick since = 0;
    core::Tick limit = 0;
  };
  void put(std::string const& address, QTcpSocket* socket, core::Tick keepAlive);
  void forget(std::string const& address, QTcpSocket* socket);
  void sweep();
  KeepAlivePolicy kept_;
  std::function<core::Tick()> now_;
  std::unordered_map<std::string, std::vector<Idle>> idle_;
  std::size_t count_ = 0;
  std::uint64_t opened_ = 0;
  std::uint64_t reused_ = 0;
  QTimer sweep_;
};

}  // namespace corkward::http
