#include "incoming_connection.h"

#include <QTcpSocket>
#include <unistd.h>

#include <corkward/transport/kernel_buffers.h>

#include "socket_io.h"

namespace corkward::transport {

IncomingConnection::IncomingConnection(qintptr descriptor, MessageListener::ConnectionId id, MessageListener& listener)
    : QObject(&listener),
      id_(id),
      socket_(new QTcpSocket(this)),
      charge_(listener.memory()),
      lastReceived_(Clock::now()) {
  QObject::connect(socket_, &QTcpSocket::readyRead, this, [this, &listener] { listener.read(*this); });
  // Queued, since Qt reports some errors from within the calls that cause them.
  auto const ended = [this, &listener] { listener.close(id_); };
  QObject::connect(socket_, &QTcpSocket::disconnected, this, ended, Qt::QueuedConnection);
  QObject::connect(socket_, &QTcpSocket::errorOccurred, this, ended, Qt::QueuedConnection);
  // All of the socket's buffer is read at once, so the limit bounds what one connection reads before others have a
  // turn.
  socket_->setReadBufferSize(MessageListener::readBufferBytes);
  // Sent before the socket takes the descriptor, which would keep a buffer for writing.
  bool const isSent = sendAtOnce(descriptor, {pullHeader.data(), pullHeader.size()});
  bool const isTaken = socket_->setSocketDescriptor(descriptor);
  if (!isTaken) ::close(static_cast<int>(descriptor));
  isOpen_ = isTaken && isSent;
  chargeIncomplete();
}

IncomingConnection::~IncomingConnection() {
  socket_->disconnect(this);
  socket_->abort();
}

std::uint64_t IncomingConnection::incompleteBytes() const {
  return decoder_.incompleteBytes() + (hasLongBuffer_ ? MessageListener::longUnreadBytes : 0);
}

void IncomingConnection::chargeIncomplete() {
  bool const isLong = decoder_.announcedBytes() > MessageListener::longMessageBytes;
  if (isLong && !hasLongBuffer_) {
    hasLongBuffer_ = true;
    setReceiveBuffer(socket_->socketDescriptor(), MessageListener::longReceiveBufferBytes);
  }
  charge_.set(MessageListener::connectionBytes + incompleteBytes());
}

bool IncomingConnection::isOverdue(Clock::time_point now) const {
  auto const timeout = decoder_.isIncomplete() ? MessageListener::incompleteTimeout : MessageListener::silenceTimeout;
  return now - lastReceived_ > timeout;
}

}  // namespace corkward::transport
