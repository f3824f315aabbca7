#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <QTcpServer>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>

#include <corkward/transport/socket_address.h>

namespace corkward::transport {

/// What an attempt to accept a connection means for the attempts after it.
enum class AcceptOutcome {
  accepted,
  /// No connection is pending.
  nonePending,
  /// One connection could not be accepted, and the next one may be.
  connectionFailed,
  /// The process or the system has no room for a connection, or the socket fails: to be tried again after a pause.
  noRoom,
};

/// Returns the outcome of a failed accept(2).
/// @param error value of errno
AcceptOutcome acceptOutcomeOf(int error);

/// A listening socket. It accepts a bounded number of connections in one turn of the event loop. While the operating
/// system has no room for a connection, it tries again after pauses.
///
/// QTcpServer listens, but does not accept: its socket engine reports only the first error that ever occurred, so that
/// a lack of descriptors is not told from an empty queue.
class Acceptor final : public QObject {
 public:
  /// Takes ownership of the descriptor of an accepted connection.
  using OnAccepted = std::function<void(qintptr descriptor)>;

  /// Pause after an attempt for which there was no room.
  static constexpr std::chrono::milliseconds retryInterval{100};

  /// Listens; with port 0 the operating system chooses a free port. Throws core::ResourceBusyError if the address is in
  /// use, and TransportError if listening fails for another reason.
  Acceptor(SocketAddress const& address, OnAccepted onAccepted, QObject* parent = nullptr);
  ~Acceptor() override;
  Acceptor(Acceptor const&) = delete;
  Acceptor& operator=(Acceptor const&) = delete;
  Acceptor(Acceptor&&) = delete;
  Acceptor& operator=(Acceptor&&) = delete;

  quint16 port() const { return server_.serverPort(); }
  /// Returns the listening socket; -1 after close().
  qintptr descriptor() const { return server_.socketDescriptor(); }
  /// Accepts the connections that are pending now, as far as there is room for them. To be called before close().
  void acceptAll();
  /// Stops listening. Connections that are pending are reset.
  void close();
  /// Number of attempts that failed for lack of room.
  std::uint64_t failedAccepts() const { return failedAccepts_; }

 private:
  /// Accepts connections until none is pending, there is no room, or this turn's number is reached.
  void acceptSome();
  AcceptOutcome acceptOne();
  void pause();
  void logFailure();

  QTcpServer server_;
  OnAccepted onAccepted_;
  /// Owned by this object.
  QSocketNotifier* notifier_ = nullptr;
  QTimer retryTimer_;
  /// Value of errno after the last attempt that failed.
  int lastError_ = 0;
  std::uint64_t failedAccepts_ = 0;
  std::uint64_t loggedFailures_ = 0;
  /// No line is logged before this time.
  std::chrono::steady_clock::time_point nextLogAt_;
};

}  // namespace corkward::transport
