#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace corkward::transport {

/// An IP address with a port.
struct SocketAddress {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses ip:port. Returns std::nullopt if the text is no such address.
std::optional<SocketAddress> socketAddressOf(std::string const& text);

}  // namespace corkward::transport
