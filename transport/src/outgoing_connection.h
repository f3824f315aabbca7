#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

#include <corkward/transport/socket_address.h>

class QTcpSocket;

namespace corkward::transport {

/// The connection that this process dials to a peer, over which it sends messages. Messages are queued while it is not
/// established; the queue is bounded, and what does not fit is dropped. After a dial that failed or a connection that
/// ended, it dials again after a pause, as long as messages are queued. All of it happens on the thread of the object:
/// the socket is used and closed there alone, and is freed only after the events of the socket were processed.
class OutgoingConnection final : public QObject {
 public:
  /// Messages that are queued at most.
  static constexpr std::size_t maxQueuedMessages = 256;
  /// Bytes that are queued at most, unless a single message is longer.
  static constexpr std::size_t maxQueuedBytes = 16U << 20;
  /// Longest pause before the first dial after a failure. It doubles with each failure, up to longestPause.
  static constexpr std::chrono::milliseconds firstPause{50};
  static constexpr std::chrono::milliseconds longestPause{500};
  /// A connection that lasted this long is not counted as a failure, and its successor is dialled without a pause.
  static constexpr std::chrono::milliseconds stableAfter{1000};

  /// Starts to dial.
  explicit OutgoingConnection(SocketAddress peer, QObject* parent = nullptr);
  ~OutgoingConnection() override;
  OutgoingConnection(OutgoingConnection const&) = delete;
  OutgoingConnection& operator=(OutgoingConnection const&) = delete;
  OutgoingConnection(OutgoingConnection&&) = delete;
  OutgoingConnection& operator=(OutgoingConnection&&) = delete;

  /// Sends a frame, or queues it until the connection is established and the peer reads. Never blocks. Returns false if
  /// the queue is full and the frame was dropped.
  bool send(std::string frame);
  /// Closes the connection, drops the queued messages and dials without a pause.
  void redial();
  /// Returns whether messages can be sent now: the connection is established and the peer's header has arrived.
  bool connected() const { return phase_ == Phase::established; }
  /// Number of connections that were established since the last redial().
  int connects() const { return connects_; }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Phase {
    /// No connection; the next one is dialled after the pause if messages are queued.
    closed,
    connecting,
    /// The connection is open, and the peer's header has not arrived completely.
    handshaking,
    established,
  };

  void dial();
  void closeSocket();
  void onConnected();
  void onReadyRead();
  /// Closes the connection after it ended or could not be made, and dials again after a pause if messages are queued.
  void onEnded();
  void dialAfterPause();
  /// Writes queued frames as long as the operating system takes them.
  void writeQueued();

  SocketAddress peer_;
  Phase phase_ = Phase::closed;
  /// Null unless a connection exists or is being made.
  QTcpSocket* socket_ = nullptr;
  /// Bytes of the peer's header that have arrived.
  std::string header_;
  std::deque<std::string> queue_;
  std::size_t queuedBytes_ = 0;
  int connects_ = 0;
  Clock::time_point establishedAt_;
  std::chrono::milliseconds pause_{0};
  /// No dial before this time.
  Clock::time_point dialAfter_;
  QTimer dialTimer_;
};

}  // namespace corkward::transport
