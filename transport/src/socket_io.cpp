#include "socket_io.h"

#include <QTcpSocket>

namespace corkward::transport {

bool writeAll(QTcpSocket& socket, std::string_view bytes) {
  if (socket.state() != QAbstractSocket::ConnectedState) return false;
  return socket.write(bytes.data(), static_cast<qint64>(bytes.size())) == static_cast<qint64>(bytes.size());
}

void closeLater(QTcpSocket* socket, QObject* receiver) {
  if (socket == nullptr) return;
  socket->disconnect(receiver);
  socket->abort();
  socket->deleteLater();
}

}  // namespace corkward::transport
