#include <catch2/catch.hpp>

#include <corkward/transport/way_health.h>

namespace core = corkward::core;
namespace transport = corkward::transport;
using transport::WayHealth;

namespace {

constexpr std::uint64_t run = 7;
constexpr std::uint32_t peerPipe = 3;
constexpr std::uint32_t otherPipe = 4;
constexpr std::size_t smallMessage = 200;
constexpr core::Tick limit = WayHealth::silenceLimit;

/// A connection that was dialled at 0 and had its answer at 10.
WayHealth soundWay() {
  WayHealth way;
  way.dialled(0);
  way.sent(5, true, smallMessage);
  REQUIRE_FALSE(way.staleAtHeard(10, true, 1, run, peerPipe));
  return way;
}

}  // namespace

TEST_CASE("a dial that hangs is made anew by itself, whether or not its peer is heard") {
  WayHealth way;
  way.dialled(0);
  CHECK_FALSE(way.staleAtSend(limit, false));
  CHECK(way.staleAtSend(limit + 1, false));
  way.dialled(limit + 1);
  CHECK_FALSE(way.staleAtSend(2 * limit, false));
  CHECK(way.staleAtSend(2 * limit + 2, false));
}

TEST_CASE("after a cut of any length each side dials at least once a second, so none waits for an old timer") {
  for (core::Tick const cut : {5000, 17000, 20000, 600000}) {
    WayHealth way = soundWay();
    core::Tick dialledAt = 0;
    for (core::Tick now = 500; now < cut; now += 500) {
      if (way.staleAtSend(now, dialledAt == 0)) {
        way.dialled(now);
        dialledAt = now;
      }
      way.sent(now, true, smallMessage);
    }
    CHECK(dialledAt > cut - limit - 1000);
  }
}

TEST_CASE("a connection that owes an answer is made anew, and one that owes none is kept") {
  WayHealth way = soundWay();
  way.sent(100, false, smallMessage);
  CHECK_FALSE(way.staleAtSend(100000, true));
  way.sent(100000, true, smallMessage);
  CHECK_FALSE(way.staleAtSend(100000 + limit, true));
  CHECK(way.staleAtSend(100000 + limit + 1, true));
}

TEST_CASE("a connection that owed an answer too long is made anew when its peer is heard again") {
  WayHealth way = soundWay();
  way.sent(100, true, smallMessage);
  CHECK(way.staleAtHeard(18000, true, 1, run, peerPipe));
}

TEST_CASE("a peer that dialled anew is answered over a new dial, and that does not go back and forth") {
  WayHealth way = soundWay();
  WayHealth peer = soundWay();
  CHECK(way.staleAtHeard(18000, true, 1, run, otherPipe));
  way.dialled(18000);
  peer.dialled(17900);
  CHECK_FALSE(peer.staleAtHeard(18010, true, 1, run, otherPipe));
  CHECK_FALSE(way.staleAtHeard(18020, true, 1, run, otherPipe));
}

TEST_CASE("a long message has time to pass before its connection is given up") {
  WayHealth way = soundWay();
  std::size_t const bytes = 4U << 20;
  way.sent(100, true, bytes);
  core::Tick const passes = static_cast<core::Tick>(bytes / WayHealth::slowestBytesPerMs);
  CHECK_FALSE(way.staleAtSend(100 + limit + passes, true));
  CHECK(way.staleAtSend(102 + limit + passes, true));
}

TEST_CASE("only messages that are answered at once make a connection owe an answer") {
  CHECK(transport::expectsAnswer(transport::Ask{}));
  CHECK(transport::expectsAnswer(transport::Heartbeat{}));
  transport::Touch touch;
  CHECK(transport::expectsAnswer(touch));
  touch.echo = true;
  CHECK_FALSE(transport::expectsAnswer(touch));
  transport::Shuffle shuffle;
  CHECK_FALSE(transport::expectsAnswer(shuffle));
  shuffle.reply = true;
  CHECK(transport::expectsAnswer(shuffle));
  CHECK_FALSE(transport::expectsAnswer(transport::Confirm{}));
  CHECK_FALSE(transport::expectsAnswer(transport::News{}));
}
