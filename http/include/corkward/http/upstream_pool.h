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

/// Defines which connections to replicas are kept alive for further requests. Durations are in milliseconds.
struct KeepAlivePolicy {
  /// Largest number of idle connections to one replica. If 0, every request opens a connection of its own.
  std::size_t maxIdlePerReplica = 0;
  /// An idle connection is reused only if it has been idle for less than this time and for less than half of the
  /// timeout in the replica's Keep-Alive header.
  core::Milliseconds idleTimeout = 5000;
  /// Replaces idleTimeout for a request that must not be executed twice and therefore should avoid a stale connection.
  /// If 0, such a request opens a new connection.
  core::Milliseconds avoidStaleIdleTimeout = 0;
  /// Whether replicas may end a body with the connection (RFC 9112, section 6.3). If true, a connection that is closed
  /// without a reset ends such a body as BodyEnd::connectionClosed. If false, such a body is always incomplete, because
  /// the operating system also closes the connections of a crashed replica process without a reset.
  bool closeMayEndBody = false;
};

/// Keeps idle connections to replicas for further requests. A connection returns to the pool only if its request was
/// written completely, its response was complete and followed by no further bytes, and neither side announced that it
/// closes the connection. An idle connection on which any byte arrives is closed.
class UpstreamPool : public QObject {
 public:
  /// @param now returns the monotonic time in milliseconds
  UpstreamPool(KeepAlivePolicy policy, std::function<core::Milliseconds()> now, QObject* parent = nullptr);
  ~UpstreamPool() override;
  UpstreamPool(UpstreamPool const&) = delete;
  UpstreamPool& operator=(UpstreamPool const&) = delete;
  UpstreamPool(UpstreamPool&&) = delete;
  UpstreamPool& operator=(UpstreamPool&&) = delete;
  /// Returns a connection for one request, which reuses an idle connection if possible. The parent owns it.
  /// @param avoidStale whether KeepAlivePolicy::avoidStaleIdleTimeout applies
  UpstreamConnection* acquire(std::string const& address, bool avoidStale, UpstreamConnection::Events events,
                              QObject* parent);
  /// Closes all idle connections to an address.
  void closeIdle(std::string const& address);
  void setKeepAlive(KeepAlivePolicy policy);
  KeepAlivePolicy const& policy() const { return policy_; }
  std::size_t idleCount() const { return idleCount_; }
  /// Number of connections that were opened.
  std::uint64_t openedCount() const { return openedCount_; }
  /// Number of requests that reused an idle connection.
  std::uint64_t reusedCount() const { return reusedCount_; }
  /// Number of responses that were given up because their head, interim responses or framing were too long.
  std::uint64_t framingTooLongCount() const { return framingTooLongCount_; }

 private:
  friend class UpstreamConnection;
  struct IdleConnection {
    QTcpSocket* socket = nullptr;
    /// Time at which the connection became idle.
    core::Milliseconds since = 0;
    /// Milliseconds for which the connection may be reused, determined when it became idle from the replica's
    /// Keep-Alive header and the policy.
    core::Milliseconds timeout = 0;
  };
  void countOpened() { ++openedCount_; }
  void countReused() { ++reusedCount_; }
  void countFramingTooLong() { ++framingTooLongCount_; }
  /// Adds a connection that has become idle.
  void put(std::string const& address, QTcpSocket* socket, core::Milliseconds keepAliveTimeout);
  /// Removes and returns the usable connection that became idle last. The returned socket is null if there is none.
  UpstreamConnection::ReusedSocket take(std::string const& address, bool avoidStale);
  /// Closes an idle connection that has ended or on which bytes arrived.
  void remove(std::string const& address, QTcpSocket* socket);
  void closeExpired();

  KeepAlivePolicy policy_;
  std::function<core::Milliseconds()> now_;
  /// Idle connections by the replica's address, in the order in which they became idle.
  std::unordered_map<std::string, std::vector<IdleConnection>> idle_;
  /// Number of idle connections to all addresses.
  std::size_t idleCount_ = 0;
  std::uint64_t openedCount_ = 0;
  std::uint64_t reusedCount_ = 0;
  std::uint64_t framingTooLongCount_ = 0;
  /// Calls closeExpired() periodically while there are idle connections.
  QTimer expiryTimer_;
};

}  // namespace corkward::http
