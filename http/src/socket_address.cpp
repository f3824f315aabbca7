#include <corkward/http/socket_address.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <utility>

#include <corkward/http/http_error.h>

namespace corkward::http {

SocketAddress parseSocketAddress(std::string const& text) {
  std::optional<SocketAddress> address = socketAddressOf(text);
  if (!address) throw HttpError("not an ip:port address: " + text);
  return *std::move(address);
}

std::string hostOfAddress(std::string const& address) {
  return address.substr(0, address.rfind(':'));
}

void connectSocket(QTcpSocket& socket, std::string const& address) {
  auto const [host, port] = parseSocketAddress(address);
  socket.connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

}  // namespace corkward::http
