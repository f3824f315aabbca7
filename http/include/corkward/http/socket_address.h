#pragma once

#include <cstdint>
#include <optional>
#include <string>

class QTcpSocket;

namespace corkward::http {

/// An IP address with a port.
struct SocketAddress {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses ip:port. Returns std::nullopt if the text is no such address.
std::optional<SocketAddress> socketAddressOf(std::string const& text);

/// Parses ip:port. Throws HttpError if the text is no such address.
SocketAddress parseSocketAddress(std::string const& text);

/// Returns the ip of an address ip:port, without checking it.
std::string hostOfAddress(std::string const& address);

/// Starts to connect a socket to ip:port. Throws HttpError if the address is malformed.
void connectSocket(QTcpSocket& socket, std::string const& address);

}  // namespace corkward::http
