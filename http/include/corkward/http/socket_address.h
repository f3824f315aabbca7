#pragma once

#include <string>

#include <corkward/transport/socket_address.h>

class QTcpSocket;

namespace corkward::http {

using transport::SocketAddress;
using transport::socketAddressOf;

/// Parses ip:port. Throws HttpError if the text is no such address.
SocketAddress parseSocketAddress(std::string const& text);

/// Returns the ip of an address ip:port, without checking it.
std::string hostOfAddress(std::string const& address);

/// Starts to connect a socket to ip:port. Throws HttpError if the address is malformed.
void connectSocket(QTcpSocket& socket, std::string const& address);

}  // namespace corkward::http
