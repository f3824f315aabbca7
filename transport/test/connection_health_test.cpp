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

/// A connection that was dialled at 0 and received its reply at 10.
ConnectionHealth healthyConnection() {
  ConnectionHealth connection;
  connection.dialled(0);
  connection.sent(5, true, smallMessage);
  REQUIRE_FALSE(connection.staleOnReceive(10, true, 1, run, peerPipe));
  return connection;
}

}  // namespace

TEST_CASE("a dial that does not connect within the timeout is repeated, also without a message from the peer") {
  ConnectionHealth connection;
  connection.dialled(0);
  CHECK_FALSE(connection.staleOnSend(limit, false));
  CHECK(connection.staleOnSend(limit + 1, false));
  connection.dialled(limit + 1);
  CHECK_FALSE(connection.staleOnSend(2 * limit, false));
  CHECK(connection.staleOnSend(2 * limit + 2, false));
}

TEST_CASE("during an interruption of any length a router dials at least once a second, so no old TCP timer delays it") {
  for (core::Milliseconds const interruption : {5000, 17000, 20000, 600000}) {
    ConnectionHealth connection = healthyConnection();
    core::Milliseconds dialledAt = 0;
    for (core::Milliseconds now = 500; now < interruption; now += 500) {
      if (connection.staleOnSend(now, dialledAt == 0)) {
        connection.dialled(now);
        dialledAt = now;
      }
      connection.sent(now, true, smallMessage);
    }
    CHECK(dialledAt > interruption - limit - 1000);
  }
}

TEST_CASE("a connection with an overdue reply is dialled again, and one without a pending reply is kept") {
  ConnectionHealth connection = healthyConnection();
  connection.sent(100, false, smallMessage);
  CHECK_FALSE(connection.staleOnSend(100000, true));
  connection.sent(100000, true, smallMessage);
  CHECK_FALSE(connection.staleOnSend(100000 + limit, true));
  CHECK(connection.staleOnSend(100000 + limit + 1, true));
}

TEST_CASE("a connection with an overdue reply is dialled again when a message from the peer arrives") {
  ConnectionHealth connection = healthyConnection();
  connection.sent(100, true, smallMessage);
  CHECK(connection.staleOnReceive(18000, true, 1, run, peerPipe));
}

TEST_CASE("when the peer dials again this side dials again too, once and without the peer repeating it") {
  ConnectionHealth connection = healthyConnection();
  ConnectionHealth peer = healthyConnection();
  CHECK(connection.staleOnReceive(18000, true, 1, run, otherPipe));
  connection.dialled(18000);
  peer.dialled(17900);
  CHECK_FALSE(peer.staleOnReceive(18010, true, 1, run, otherPipe));
  CHECK_FALSE(connection.staleOnReceive(18020, true, 1, run, otherPipe));
}

TEST_CASE("a long message extends the time before its connection is given up") {
  ConnectionHealth connection = healthyConnection();
  std::size_t const bytes = 4U << 20;
  connection.sent(100, true, bytes);
  core::Milliseconds const transferTime = static_cast<core::Milliseconds>(bytes / ConnectionHealth::slowestBytesPerMs);
  CHECK_FALSE(connection.staleOnSend(100 + limit + transferTime, true));
  CHECK(connection.staleOnSend(102 + limit + transferTime, true));
}

TEST_CASE("only messages that a live peer replies to at once expect a reply") {
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
