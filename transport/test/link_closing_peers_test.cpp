// One link that sends to peers which end their connections while messages are on their way. Run by a ctest of its own,
// since the failure ends the process.
#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <chrono>
#include <thread>

#include <corkward/transport/link.h>

#include "closing_peers.h"

namespace transport = corkward::transport;

namespace {

constexpr std::chrono::seconds duration{6};
constexpr std::chrono::microseconds sendInterval{100};

/// Sends a message to each peer every `sendInterval` and processes events in between.
void sendToClosingPeers(std::size_t count) {
  int argc = 0;
  QCoreApplication const application(argc, nullptr);
  transport::Link link("127.0.0.1:0", [](transport::Envelope const&) {});
  transport::testing::ClosingPeersOptions options;
  options.peers = count;
  transport::testing::ClosingPeers const peers(options);
  transport::GossipShuffle const message;
  auto const until = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < until) {
    for (std::string const& address : peers.addresses()) link.send(address, message);
    QCoreApplication::processEvents();
    std::this_thread::sleep_for(sendInterval);
  }
  CHECK(peers.connectionCount() > 20);
  CHECK(peers.bytesRead() > 1000);
}

}  // namespace

/// Guards against the end of the process, by SIGSEGV or SIGABRT, when peers end their connections while it sends.
TEST_CASE("3 peers that close while messages are sent to them do not end the process", "[.][closing-peers]") {
  sendToClosingPeers(3);
}

TEST_CASE("10 peers that close while messages are sent to them do not end the process", "[.][closing-peers]") {
  sendToClosingPeers(10);
}

TEST_CASE("30 peers that close while messages are sent to them do not end the process", "[.][closing-peers]") {
  sendToClosingPeers(30);
}

TEST_CASE("100 peers that close while messages are sent to them do not end the process", "[.][closing-peers]") {
  sendToClosingPeers(100);
}
