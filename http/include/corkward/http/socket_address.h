#pragma once

#include <cstdint>
#include <string>

class QTcpSocket;

namespace corkward::http {

/// An IP address with a port.
struct SocketAddress {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses ip:port. Throws HttpError if the text is no such address.
SocketAddress parseSocketAddress(std::string const& text);

/// Starts to connect a socket to ip:port. Throws HttpError if the address is malformed.
void connectSocket(QTcpSocket& socket, std::string const& address);

}  // namespace corkward::http
