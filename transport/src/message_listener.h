#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <corkward/core/memory_account.h>
#include <corkward/transport/acceptor.h>
#include <corkward/transport/socket_address.h>

class QTcpSocket;

namespace corkward::transport {

class IncomingConnection;

/// Accepts connections of peers and delivers the messages that arrive on them, all on its own thread. The number of
/// connections is bounded: beyond the bound, the connection that has been silent for longest is closed. A connection
/// that sends no complete header, or stops in the middle of a message, is closed as well. Connections, with messages
/// that have arrived in part, are charged to a memory account: connections take a quarter of it at the most, and
/// incomplete messages together another quarter, or one message of the largest size. Incomplete messages give way when
/// others that share the account ask for memory.
class MessageListener final : public QObject {
 public:
  /// Identifies a connection among all that the listener has accepted.
  using ConnectionId = std::uint32_t;
  struct Events {
    std::function<void(ConnectionId connection, std::string_view message)> message;
    /// A peer sent bytes that are not of the protocol, or announced a message that is too long.
    std::function<void()> invalidBytes;
  };
  /// Time within which a peer's header, and the rest of a message that has begun, must go on arriving.
  static constexpr std::chrono::milliseconds incompleteTimeout{10000};
  /// A connection on which nothing arrives for this long is closed. Peers close connections that are idle for
  /// Link::idleTimeout, so that a longer silence is that of a peer which is gone.
  static constexpr std::chrono::milliseconds silenceTimeout{60000};

  /// Memory that a connection takes beside its incomplete message: the socket, and the block of 16 KiB that it keeps
  /// for reading.
  static constexpr std::uint64_t connectionBytes = 24U << 10;

  /// Bytes that are read from one connection before the others have their turn.
  static constexpr qint64 readBufferBytes = 16 << 10;
  /// Receive buffer in the operating system of a connection, and of one from its first long message on.
  static constexpr int receiveBufferBytes = 8 << 10;
  static constexpr int longReceiveBufferBytes = 64 << 10;
  /// Bytes that may wait unread on a connection on which a long message has arrived.
  static constexpr std::uint64_t longUnreadBytes = 96U << 10;
  /// Messages beyond this length are long.
  static constexpr std::uint64_t longMessageBytes = 32U << 10;

  /// Listens; with port 0 the operating system chooses a free port. Throws core::ResourceBusyError if the
  /// address is in use, and TransportError if listening fails for another reason.
  /// @param maxConnections connections that may exist at the same time
  /// @param memory account of the messages that have arrived in part; null for one of the listener's own without a
  /// limit
  MessageListener(SocketAddress const& address, std::size_t maxConnections, Events events, QObject* parent = nullptr,
                  std::shared_ptr<core::MemoryAccount> memory = nullptr);
  ~MessageListener() override;
  MessageListener(MessageListener const&) = delete;
  MessageListener& operator=(MessageListener const&) = delete;
  MessageListener(MessageListener&&) = delete;
  MessageListener& operator=(MessageListener&&) = delete;

  core::MemoryAccount& memory() const { return *memory_; }
  std::size_t connectionCount() const { return connections_.size(); }
  /// Number of attempts to accept a connection that failed, for instance for lack of descriptors.
  std::uint64_t failedAccepts() const { return acceptor_.failedAccepts(); }
  quint16 serverPort() const { return acceptor_.port(); }
  /// Closes the connections that exceed one of the timeouts.
  /// @param now time at which the timeouts are judged
  void closeSilent(std::chrono::steady_clock::time_point now);

 private:
  friend class IncomingConnection;
  using Connections = std::map<ConnectionId, IncomingConnection*>;

  /// Takes the descriptor of a connection that was accepted.
  void onAccepted(qintptr descriptor);
  /// Reads what has arrived on a connection and delivers its messages.
  void read(IncomingConnection& connection);
  void close(ConnectionId id);
  void closeLongestSilent();
  /// Closes connections with the longest incomplete messages until their sum is within its bound.
  void boundIncomplete();
  /// Closes connections with the longest incomplete messages until that much memory is released, or none is left.
  void closeIncomplete(std::uint64_t bytes);
  /// Returns how many connections may exist: the limit, or fewer if the account has no room for their fixed cost or the
  /// process has too few descriptors.
  std::size_t places() const;
  /// Returns the most that incomplete messages may take together.
  std::uint64_t maxIncompleteBytes() const;

  std::size_t maxConnections_;
  Events events_;
  std::shared_ptr<core::MemoryAccount> memory_;
  Connections connections_;
  ConnectionId lastId_ = 0;
  QTimer sweepTimer_;
  Acceptor acceptor_;
};

}  // namespace corkward::transport
