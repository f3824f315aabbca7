#include <corkward/http/socket_address.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <utility>

#include <corkward/http/http_error.h>

namespace corkward::http {

namespace {

constexpr int maxPort = 65535;

}  // namespace

std::optional<SocketAddress> socketAddressOf(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  QHostAddress host;
  if (!host.setAddress(QString::fromStdString(text.substr(0, colon)))) return std::nullopt;
  bool isNumber = false;
  int const port = QString::fromStdString(text.substr(colon + 1)).toInt(&isNumber);
  if (!isNumber || port < 0 || port > maxPort) return std::nullopt;
  return SocketAddress{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

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
