#include "closing_peers.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace corkward::transport::testing {

namespace {

/// The header of a pull socket in the TCP mapping of the Scalability Protocols.
constexpr std::array<unsigned char, 8> pullHeader{0, 'S', 'P', 0, 0, 0x51, 0, 0};
constexpr int acceptTimeoutMs = 20;
constexpr int backlog = 128;

}  // namespace

ClosingPeers::ClosingPeers(ClosingPeersOptions options) : options_(options) {
  for (std::size_t i = 0; i < options_.peers; ++i) listen();
  for (std::size_t i = 0; i < options_.threads; ++i) threads_.emplace_back([this] { run(); });
}

ClosingPeers::~ClosingPeers() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  for (int const listener : listeners_) ::close(listener);
}

void ClosingPeers::listen() {
  int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  auto* const name = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(::bind(listener, name, length) == 0);
  REQUIRE(::listen(listener, backlog) == 0);
  REQUIRE(::getsockname(listener, name, &length) == 0);
  listeners_.push_back(listener);
  addresses_.push_back("127.0.0.1:" + std::to_string(::ntohs(address.sin_port)));
}

void ClosingPeers::run() {
  while (!stopping_) {
    std::vector<pollfd> ready;
    for (int const listener : listeners_) ready.push_back({listener, POLLIN, 0});
    if (::poll(ready.data(), ready.size(), acceptTimeoutMs) <= 0) continue;
    for (pollfd const& entry : ready) {
      if ((entry.revents & POLLIN) == 0) continue;
      int const connection = ::accept(entry.fd, nullptr, nullptr);
      if (connection >= 0) serve(connection);
    }
  }
}

void ClosingPeers::serve(int connection) {
  auto const number = static_cast<std::size_t>(++connections_);
  ::send(connection, pullHeader.data(), pullHeader.size(), MSG_NOSIGNAL);
  std::vector<char> bytes(options_.bytesPerRead);
  std::size_t const reads = options_.fewestReads + number % (options_.mostReads - options_.fewestReads + 1);
  for (std::size_t i = 0; i < reads && !stopping_; ++i) {
    pollfd readable{connection, POLLIN, 0};
    if (::poll(&readable, 1, options_.readTimeoutMs) <= 0) continue;
    ssize_t const received = ::recv(connection, bytes.data(), bytes.size(), 0);
    if (received > 0) bytesRead_ += static_cast<std::size_t>(received);
  }
  bool const resets = !options_.finAndReset || number % 2 == 0;
  linger const reset{1, 0};
  if (resets) ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ::close(connection);
}

}  // namespace corkward::transport::testing
