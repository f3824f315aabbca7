#pragma once

#include <QObject>
#include <chrono>

#include "frame.h"
#include "message_listener.h"

class QTcpSocket;

namespace corkward::transport {

/// A connection that a peer has dialled. Owned by its MessageListener.
class IncomingConnection final : public QObject {
 public:
  using Clock = std::chrono::steady_clock;

  /// Takes the descriptor of an accepted connection and sends the header of the pull side. If that fails, isOpen()
  /// returns false.
  IncomingConnection(qintptr descriptor, MessageListener::ConnectionId id, MessageListener& listener);
  ~IncomingConnection() override;
  IncomingConnection(IncomingConnection const&) = delete;
  IncomingConnection& operator=(IncomingConnection const&) = delete;
  IncomingConnection(IncomingConnection&&) = delete;
  IncomingConnection& operator=(IncomingConnection&&) = delete;

  MessageListener::ConnectionId id() const { return id_; }
  QTcpSocket& socket() { return *socket_; }
  FrameDecoder& decoder() { return decoder_; }
  /// Memory that the message which has arrived in part takes, and what may wait unread in a long receive buffer.
  std::uint64_t incompleteBytes() const;
  /// Charges that memory to the account, with the fixed cost of the connection, and sizes the receive buffer for it.
  void chargeIncomplete();
  void releaseCharge() { charge_.set(0); }
  bool isOpen() const { return isOpen_; }
  Clock::time_point lastReceived() const { return lastReceived_; }
  void noteReceived() { lastReceived_ = Clock::now(); }
  /// Returns whether the connection has been silent for longer than its state allows.
  bool isOverdue(Clock::time_point now) const;

 private:
  MessageListener::ConnectionId id_;
  QTcpSocket* socket_;
  FrameDecoder decoder_;
  core::MemoryCharge charge_;
  /// The receive buffer has the size for long messages. It keeps that size, since a window that shrinks delays senders.
  bool hasLongBuffer_ = false;
  Clock::time_point lastReceived_;
  bool isOpen_ = false;
};

}  // namespace corkward::transport
