#include <catch2/catch.hpp>

#include <corkward/transport/connection_health.h>

namespace core = corkward::core;
namespace transport = corkward::transport;
using transport::ConnectionHealth;

namespace {

constexpr std::uint64_t run = 7;
constexpr std::uint32_t peerPipe = 3;
constexpr std::uint32_t otherPipe = 4;
constexpr std::size_t smallMessage = 200;
constexpr core::Milliseconds limit = ConnectionHealth::responseTimeout;

/// A connection that was dialled at 0 and had its answer at 10.
ConnectionHealth healthyConnection() {
  ConnectionHealth connection;
  connection.dialled(0);
  connection.sent(5, true, smallMessage);
  REQUIRE_FALSE(connection.staleOnReceive(10, true, 1, run, peerPipe));
  return connection;
}

}  // namespace

TEST_CASE("a dial that hangs is made anew by itself, whether or not its peer is heard") {
  ConnectionHealth connection;
  connection.dialled(0);
  CHECK_FALSE(connection.staleOnSend(limit, false));
  CHECK(connection.staleOnSend(limit + 1, false));
  connection.dialled(limit + 1);
  CHECK_FALSE(connection.staleOnSend(2 * limit, false));
  CHECK(connection.staleOnSend(2 * limit + 2, false));
}

TEST_CASE("after a cut of any length each side dials at least once a second, so none waits for an old timer") {
  for (core::Milliseconds const cut : {5000, 17000, 20000, 600000}) {
    ConnectionHealth connection = healthyConnection();
    core::Milliseconds dialledAt = 0;
    for (core::Milliseconds now = 500; now < cut; now += 500) {
      if (connection.staleOnSend(now, dialledAt == 0)) {
        connection.dialled(now);
        dialledAt = now;
      }
      connection.sent(now, true, smallMessage);
    }
    CHECK(dialledAt > cut - limit - 1000);
  }
}

TEST_CASE("a connection that owes an answer is made anew, and one that owes none is kept") {
  ConnectionHealth connection = healthyConnection();
  connection.sent(100, false, smallMessage);
  CHECK_FALSE(connection.staleOnSend(100000, true));
  connection.sent(100000, true, smallMessage);
  CHECK_FALSE(connection.staleOnSend(100000 + limit, true));
  CHECK(connection.staleOnSend(100000 + limit + 1, true));
}

TEST_CASE("a connection that owed an answer too long is made anew when its peer is heard again") {
  ConnectionHealth connection = healthyConnection();
  connection.sent(100, true, smallMessage);
  CHECK(connection.staleOnReceive(18000, true, 1, run, peerPipe));
}

TEST_CASE("a peer that dialled anew is answered over a new dial, and that does not go back and forth") {
  ConnectionHealth connection = healthyConnection();
  ConnectionHealth peer = healthyConnection();
  CHECK(connection.staleOnReceive(18000, true, 1, run, otherPipe));
  connection.dialled(18000);
  peer.dialled(17900);
  CHECK_FALSE(peer.staleOnReceive(18010, true, 1, run, otherPipe));
  CHECK_FALSE(connection.staleOnReceive(18020, true, 1, run, otherPipe));
}

TEST_CASE("a long message has time to pass before its connection is given up") {
  ConnectionHealth connection = healthyConnection();
  std::size_t const bytes = 4U << 20;
  connection.sent(100, true, bytes);
  core::Milliseconds const passes = static_cast<core::Milliseconds>(bytes / ConnectionHealth::slowestBytesPerMs);
  CHECK_FALSE(connection.staleOnSend(100 + limit + passes, true));
  CHECK(connection.staleOnSend(102 + limit + passes, true));
}

TEST_CASE("only messages that are answered at once make a connection owe an answer") {
  CHECK(transport::expectsReply(transport::ServingLeaseRequest{}));
  CHECK(transport::expectsReply(transport::Heartbeat{}));
  transport::PeerHeartbeat heartbeat;
  CHECK(transport::expectsReply(heartbeat));
  heartbeat.isReply = true;
  CHECK_FALSE(transport::expectsReply(heartbeat));
  transport::GossipShuffle shuffle;
  CHECK_FALSE(transport::expectsReply(shuffle));
  shuffle.reply = true;
  CHECK(transport::expectsReply(shuffle));
  CHECK_FALSE(transport::expectsReply(transport::ServingLeaseGrant{}));
  CHECK_FALSE(transport::expectsReply(transport::ConfigurationUpdate{}));
}
