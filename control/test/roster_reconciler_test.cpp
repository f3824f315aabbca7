#include <catch2/catch.hpp>

#include "router_fixture.h"

#include <corkward/control/roster_reconciler.h>

namespace control = corkward::control;
namespace gossip = corkward::gossip;
using control::addRouter;
using control::Milliseconds;
using control::Roster;
using control::rosterOf;
using control::RosterReconciler;
using control::RouterRegistry;

namespace {

struct Fixture {
  std::optional<control::RosterValue> next(Milliseconds now) const {
    return reconciler.nextRoster(now, roster, routers, partialView);
  }

  control::ControllerTuning tuning;
  Roster roster = rosterOf(0, 1, {"a", "b"});
  RouterRegistry routers{tuning};
  gossip::PartialView partialView{control::routerContact("s1"), {}, 1};
  RosterReconciler reconciler{tuning};
};

}  // namespace

TEST_CASE("the roster is reconciled at an interval, but not while a proposal is pending") {
  RosterReconciler reconciler({});
  REQUIRE(reconciler.isDue(1000));
  reconciler.scheduleNext(1000);
  CHECK_FALSE(reconciler.isDue(1299));
  CHECK(reconciler.isDue(1300));
  reconciler.proposalStarted();
  CHECK_FALSE(reconciler.isDue(9000));
  reconciler.proposalEnded();
  CHECK(reconciler.isDue(9000));
}

TEST_CASE("a router with recent contact joins the roster and no longer counts as departed") {
  Fixture fixture;
  CHECK_FALSE(fixture.next(1000));
  fixture.roster.load(0, 2, QJsonObject{{"nodes", control::nodesJson({"a", "b"})}, {"gone", QJsonArray{"c", "d"}}});
  addRouter(fixture.routers, 1000, "c");
  std::optional<control::RosterValue> const next = fixture.next(1000);
  REQUIRE(next);
  REQUIRE(next->nodes.size() == 3);
  CHECK(next->nodes[2].link == "c");
  CHECK(next->departed == std::set<std::string>{"d"});
  CHECK_FALSE(fixture.next(3001));
}

TEST_CASE("a draining router does not join the roster") {
  Fixture fixture;
  addRouter(fixture.routers, 1000, "c").contact.draining = true;
  CHECK_FALSE(fixture.next(1000));
}

TEST_CASE(
    "an unresponsive router is removed from the roster, at the earliest after the timeout from this process's start") {
  Fixture fixture;
  fixture.reconciler.start(1000);
  Milliseconds const limit = fixture.tuning.removeUnresponsiveRouterAfter;
  addRouter(fixture.routers, 2000, "a");
  CHECK_FALSE(fixture.next(1000 + limit));
  std::optional<control::RosterValue> const next = fixture.next(1001 + limit);
  REQUIRE(next);
  REQUIRE(next->nodes.size() == 1);
  CHECK(next->nodes[0].link == "a");
}
