#include "process_probe.h"

#include <QTcpSocket>
#include <QTimer>
#include <utility>

#include <corkward/http/socket_address.h>

namespace corkward::programs {

namespace {

constexpr int probeTimeoutMs = 300;

void discard(QTcpSocket* socket) {
  socket->abort();
  socket->deleteLater();
}

}  // namespace

void probeProcess(QObject* owner, std::string const& address, std::function<void()> refused) {
  if (!http::socketAddressOf(address)) return;
  auto* const socket = new QTcpSocket(owner);
  QObject::connect(socket, &QTcpSocket::errorOccurred, owner,
                   [socket, refused = std::move(refused)](QAbstractSocket::SocketError error) {
                     if (error == QAbstractSocket::ConnectionRefusedError) refused();
                     socket->deleteLater();
                   });
  QObject::connect(socket, &QTcpSocket::connected, owner, [socket] { discard(socket); });
  QTimer::singleShot(probeTimeoutMs, socket, [socket] { discard(socket); });
  http::connectSocket(*socket, address);
}

}  // namespace corkward::programs
