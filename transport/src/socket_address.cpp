#include <corkward/transport/socket_address.h>

#include <QHostAddress>

namespace corkward::transport {

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

}  // namespace corkward::transport
