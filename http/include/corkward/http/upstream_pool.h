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

/// Which connections to replicas are kept for further requests; times in milliseconds.
struct KeepAlivePolicy {
  /// Idle connections kept for one replica at most; 0: each request has a connection of its own.
  std::size_t maxIdlePerReplica = 0;
  /// An idle connection is used for less than this, or than half of the replica's Keep-Alive time-out.
  core::Milliseconds idleTimeout = 5000;
  /// The same for a request that may be executed once only; 0: it has a new connection.
  core::Milliseconds freshIdleTimeout = 0;
  /// A response without an announced end is complete when the replica closes its connection in order. False: it always
  /// counts as cut, since a replica's process that dies closes its connections in order as well.
  bool closeCompletesResponse = false;
};

/// Keeps idle connections to replicas for further requests. A connection comes back only when its request was fully
/// written, its response was complete with nothing after it, and neither side announced its end; one on which anything
/// arrives while it is idle is closed.
class UpstreamPool : public QObject {
 public:
  /// @param now monotonic milliseconds
  UpstreamPool(KeepAlivePolicy policy, std::function<core::Milliseconds()> now, QObject* parent = nullptr);
  ~UpstreamPool() override;
  UpstreamPool(UpstreamPool const&) = delete;
  UpstreamPool& operator=(UpstreamPool const&) = delete;
  UpstreamPool(UpstreamPool&&) = delete;
  UpstreamPool& operator=(UpstreamPool&&) = delete;
  /// A connection for one request: an idle one or a new one. It belongs to the parent.
  /// @param fresh see KeepAlivePolicy::freshIdleTimeout
  UpstreamConnection* acquire(std::string const& address, bool fresh, UpstreamConnection::Events events,
                              QObject* parent);
  /// Closes the idle connections to an address.
  void closeIdle(std::string const& address);
  void setKeepAlive(KeepAlivePolicy policy);
  KeepAlivePolicy const& policy() const { return policy_; }
  std::size_t idleCount() const { return idleCount_; }
  /// Connections that were opened.
  std::uint64_t openedCount() const { return openedCount_; }
  /// Requests that were sent on a connection that had been idle.
  std::uint64_t reusedCount() const { return reusedCount_; }

 private:
  friend class UpstreamConnection;
  struct IdleConnection {
    QTcpSocket* socket = nullptr;
    core::Milliseconds since = 0;
    /// Milliseconds for which it may be reused, by its replica's word and the policy of that time.
    core::Milliseconds timeout = 0;
  };
  void countOpened() { ++openedCount_; }
  void countReused() { ++reusedCount_; }
  /// Takes a connection back.
  void put(std::string const& address, QTcpSocket* socket, core::Milliseconds keepAliveTimeout);
  /// The youngest idle connection that may be used; its socket is null when there is none.
  UpstreamConnection::ReusedSocket take(std::string const& address, bool fresh);
  /// Closes an idle connection on which something arrived.
  void remove(std::string const& address, QTcpSocket* socket);
  void closeExpired();

  KeepAlivePolicy policy_;
  std::function<core::Milliseconds()> now_;
  /// By the replica's address, the oldest first.
  std::unordered_map<std::string, std::vector<IdleConnection>> idle_;
  /// Over all addresses.
  std::size_t idleCount_ = 0;
  std::uint64_t openedCount_ = 0;
  std::uint64_t reusedCount_ = 0;
  /// Active while there are idle connections.
  QTimer expiryTimer_;
};

}  // namespace corkward::http
