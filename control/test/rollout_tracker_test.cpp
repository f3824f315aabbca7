#include <catch2/catch.hpp>

#include "router_fixture.h"

#include <corkward/control/rollout_tracker.h>

namespace control = corkward::control;
using control::Milliseconds;
using control::RolloutInputs;
using control::RolloutState;
using control::RolloutTracker;
using control::Roster;
using control::rosterOf;
using control::RouterRegistry;

namespace {

constexpr char const* key = "zone:z1";

/// A roster of three routers and a rollout that began at 1000 ms.
struct Fixture {
  Fixture() { tracker.start(1000, key, 1); }

  RolloutInputs inputs(Milliseconds now, control::QuorumContact contact) const {
    return {now, contact, roster, routers};
  }
  RolloutInputs inputs(Milliseconds now) const { return inputs(now, now); }
  RolloutState state(Milliseconds now) const { return tracker.stateOf(inputs(now), key, 1, 1000); }

  control::ControllerTuning tuning;
  Roster roster = rosterOf(0, 1, {"a", "b", "c"});
  RouterRegistry routers{tuning};
  RolloutTracker tracker{tuning};
};

control::PendingRolloutReply replyOf(std::uint64_t call) {
  return control::PendingRolloutReply{call, key, 1, 1000, -1, 200, {}};
}

}  // namespace

TEST_CASE("a rollout is complete when every router of the roster has the revision") {
  Fixture fixture;
  CHECK(fixture.state(1100) == RolloutState::incomplete);
  fixture.tracker.recordAcknowledged("a", key, 1);
  CHECK(fixture.state(1100) == RolloutState::incomplete);
  fixture.tracker.recordAcknowledged("b", key, 1);
  CHECK(fixture.state(1100) == RolloutState::majority);
  fixture.tracker.recordAcknowledged("c", key, 0);
  CHECK(fixture.state(1100) == RolloutState::majority);
  fixture.tracker.recordAcknowledged("c", key, 1);
  CHECK(fixture.state(1100) == RolloutState::complete);
}

TEST_CASE("a rollout is incomplete without a contact with a majority since its start") {
  Fixture fixture;
  for (char const* const link : {"a", "b", "c"}) fixture.tracker.recordAcknowledged(link, key, 1);
  CHECK(fixture.tracker.stateOf(fixture.inputs(1100, {}), key, 1, 1000) == RolloutState::incomplete);
  CHECK(fixture.tracker.stateOf(fixture.inputs(1100, 999), key, 1, 1000) == RolloutState::incomplete);
  CHECK(fixture.tracker.stateOf(fixture.inputs(1100, 1000), key, 1, 1000) == RolloutState::complete);
}

TEST_CASE("a rollout does not wait for routers that refuse connections") {
  Fixture fixture;
  fixture.tracker.recordAcknowledged("a", key, 1);
  fixture.tracker.recordAcknowledged("b", key, 1);
  fixture.routers.recordContact(500, "c", 1);
  fixture.routers.recordProbeResult(1000, "c", true);
  CHECK(fixture.state(1100) == RolloutState::majority);
  fixture.routers.recordProbeResult(1050, "c", true);
  CHECK(fixture.state(1100) == RolloutState::complete);
}

TEST_CASE("routers of the previous roster count until a majority of them has the newest roster") {
  Fixture fixture;
  fixture.roster = rosterOf(900, 2, {"a", "b", "c"}, {"d", "e"});
  fixture.tracker.start(900, "roster", 2);
  fixture.tracker.recordAcknowledged("a", key, 1);
  fixture.tracker.recordAcknowledged("b", key, 1);
  CHECK(fixture.state(1100) == RolloutState::incomplete);
  Milliseconds const later = 900 + 4 * fixture.tuning.servingLeaseDuration;
  CHECK(fixture.state(later) == RolloutState::incomplete);
  for (char const* const link : {"d", "e"}) fixture.tracker.recordAcknowledged(link, "roster", 2);
  CHECK(fixture.state(later - 1) == RolloutState::incomplete);
  CHECK(fixture.state(later) == RolloutState::majority);
}

TEST_CASE("a rollout is complete once a majority has had the revision for a serving lease and its margin") {
  Fixture fixture;
  fixture.tracker.recordAcknowledged("a", key, 1);
  fixture.tracker.recordAcknowledged("b", key, 1);
  fixture.tracker.updateRollouts(fixture.inputs(1100));
  CHECK(fixture.tracker.find(key)->majorityAt == 1100);
  Milliseconds const fenced = 1100 + fixture.tuning.servingLeaseDuration + fixture.tuning.servingLeaseMargin;
  fixture.tracker.updateRollouts(fixture.inputs(fenced));
  CHECK(fixture.tracker.incomplete().count(key) == 1);
  CHECK(fixture.tracker.missingRevisionCount("c") == 1);
  fixture.tracker.updateRollouts(fixture.inputs(fenced + 1));
  CHECK(fixture.tracker.incomplete().empty());
  CHECK(fixture.tracker.find(key)->acknowledged.empty());
  CHECK(fixture.tracker.isComplete(fixture.inputs(fenced + 1), key));
}

TEST_CASE("the roster's acknowledgements are retained after its rollout") {
  Fixture fixture;
  fixture.tracker.start(1000, "roster", 1);
  for (char const* const link : {"a", "b", "c"}) fixture.tracker.recordUpToDate(link);
  fixture.tracker.updateRollouts(fixture.inputs(1100));
  CHECK(fixture.tracker.incomplete().empty());
  CHECK(fixture.tracker.find("roster")->acknowledged.size() == 3);
  fixture.tracker.recordAcknowledged("d", key, 1);
  CHECK(fixture.tracker.find(key)->acknowledged.empty());
}

TEST_CASE("a reply waits for its rollout and becomes a pending reply after the timeout") {
  Fixture fixture;
  fixture.tracker.awaitRollout(replyOf(7));
  CHECK(fixture.tracker.awaitsReply(7));
  CHECK(fixture.tracker.awaitsRouter("a"));
  CHECK(fixture.tracker.takeDueReplies(fixture.inputs(1100)).empty());
  fixture.tracker.recordAcknowledged("a", key, 1);
  CHECK_FALSE(fixture.tracker.awaitsRouter("a"));
  Milliseconds const timeout = 1000 + fixture.tuning.rolloutTimeout;
  CHECK(fixture.tracker.takeDueReplies(fixture.inputs(timeout)).empty());
  std::vector<control::PendingRolloutReply> const late = fixture.tracker.takeDueReplies(fixture.inputs(timeout + 1));
  REQUIRE(late.size() == 1);
  CHECK(late[0].status == 504);
  CHECK(late[0].body.value("pending").toBool());
  CHECK_FALSE(fixture.tracker.awaitsReply(7));
}

TEST_CASE("a reply whose rollout is complete keeps its status") {
  Fixture fixture;
  fixture.tracker.awaitRollout(replyOf(7));
  fixture.tracker.awaitRollout(replyOf(8));
  for (char const* const link : {"a", "b", "c"}) fixture.tracker.recordAcknowledged(link, key, 1);
  std::vector<control::PendingRolloutReply> const due = fixture.tracker.takeDueReplies(fixture.inputs(1100));
  REQUIRE(due.size() == 2);
  CHECK(due[0].call == 7);
  CHECK(due[1].call == 8);
  CHECK(due[0].status == 200);
  CHECK(due[0].body.value("inForce").toBool());
}
