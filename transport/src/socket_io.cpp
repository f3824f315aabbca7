#include "socket_io.h"

#include <QTcpSocket>
#include <sys/socket.h>

namespace corkward::transport {

bool writeAll(QTcpSocket& socket, std::string_view bytes) {
  if (socket.state() != QAbstractSocket::ConnectedState) return false;
  return socket.write(bytes.data(), static_cast<qint64>(bytes.size())) == static_cast<qint64>(bytes.size());
}

bool sendAtOnce(qintptr descriptor, std::string_view bytes) {
  ssize_t const sent = ::send(static_cast<int>(descriptor), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent == static_cast<ssize_t>(bytes.size());
}

void closeLater(QTcpSocket* socket, QObject* receiver) {
  if (socket == nullptr) return;
  socket->disconnect(receiver);
  socket->abort();
  socket->deleteLater();
}

}  // namespace corkward::transport
