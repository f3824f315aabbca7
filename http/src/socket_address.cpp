#include <corkward/http/socket_address.h>

#include <QHostAddress>
#include <QTcpSocket>

#include <corkward/http/http_error.h>

namespace corkward::http {

namespace {

constexpr int maxPort = 65535;

}  // namespace

SocketAddress parseSocketAddress(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  QHostAddress host;
  bool valid = colon != std::string::npos && host.setAddress(QString::fromStdString(text.substr(0, colon)));
  int port = 0;
  if (valid) port = QString::fromStdString(text.substr(colon + 1)).toInt(&valid);
  if (!valid || port < 0 || port > maxPort) throw HttpError("not an ip:port address: " + text);
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

void connectSocket(QTcpSocket& socket, std::string const& address) {
  auto const [host, port] = parseSocketAddress(address);
  socket.connectToHost(QHostAddress(QString::fromStdString(host)), port);
}

}  // namespace corkward::http
