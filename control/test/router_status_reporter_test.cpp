#include <catch2/catch.hpp>

#include "router_fixture.h"

#include <corkward/control/router_status_reporter.h>

namespace control = corkward::control;
namespace transport = corkward::transport;
using control::addRouter;
using control::Milliseconds;
using control::Roster;
using control::rosterOf;
using control::RouterRegistry;

namespace {

struct Fixture {
  std::optional<transport::RouterStatusReport> due(Milliseconds now) {
    return reporter.dueReport(now, roster, routers, rollouts);
  }

  control::ControllerTuning tuning;
  Roster roster = rosterOf(0, 1, {"a", "b"});
  RouterRegistry routers{tuning};
  control::RolloutTracker rollouts{tuning};
  control::RouterStatusReporter reporter{tuning};
};

}  // namespace

TEST_CASE("reports are due more often while a rollout is incomplete, and most often at its start") {
  Fixture fixture;
  REQUIRE(fixture.due(1000));
  CHECK_FALSE(fixture.due(1000 + fixture.tuning.statusReportEvery - 1));
  REQUIRE(fixture.due(1000 + fixture.tuning.statusReportEvery));
  fixture.rollouts.start(2000, "k", 1);
  std::optional<transport::RouterStatusReport> const report = fixture.due(2000);
  REQUIRE(report);
  REQUIRE(report->incompleteRollouts.size() == 1);
  CHECK(report->incompleteRollouts[0].key == "k");
  CHECK_FALSE(fixture.due(1999 + fixture.tuning.statusReportAtRolloutStart));
  REQUIRE(fixture.due(2000 + fixture.tuning.rolloutStartPeriod));
  CHECK_FALSE(fixture.due(2000 + fixture.tuning.rolloutStartPeriod + fixture.tuning.statusReportAtRolloutStart));
  fixture.reporter.reportSoon(2500);
  CHECK(fixture.due(2500));
}

TEST_CASE("a report contains a bit for each router on the roster and the contacts of the others") {
  Fixture fixture;
  addRouter(fixture.routers, 1000, "b");
  addRouter(fixture.routers, 1000, "x");
  fixture.routers.recordCommitted("k", 0, 1);
  fixture.routers.recordCommitted("k", 1, 2);
  std::optional<transport::RouterStatusReport> const report = fixture.due(1100);
  REQUIRE(report);
  CHECK_FALSE(report->recentlyContacted.test(0));
  CHECK(report->recentlyContacted.test(1));
  CHECK_FALSE(report->upToDate.test(1));
  REQUIRE(report->unlistedRouters.size() == 1);
  CHECK(report->unlistedRouters[0].link == "x");
}

TEST_CASE("a reply contains which routers have the queried revisions") {
  Fixture fixture;
  addRouter(fixture.routers, 1000, "a");
  addRouter(fixture.routers, 1000, "b");
  fixture.routers.recordCommitted("k", 0, 1);
  fixture.routers.recordCommitted("k", 1, 2);
  transport::RouterStatusReport query;
  query.incompleteRollouts = {{"k", 2, {}}, {"unknown", 1, {}}};
  control::CommittedValues const values = control::valuesOf({{"k", 2}});
  fixture.routers.recordAcknowledged(*fixture.routers.recordContact(1000, "b", 1), "k", 2, 2);
  transport::RouterStatusReport const reply =
      fixture.reporter.replyTo(1100, query, fixture.roster, fixture.routers, values);
  REQUIRE(reply.rolloutProgress.size() == 2);
  CHECK_FALSE(reply.rolloutProgress[0].acknowledgedBy.test(0));
  CHECK(reply.rolloutProgress[0].acknowledgedBy.test(1));
  CHECK_FALSE(reply.rolloutProgress[1].acknowledgedBy.test(1));
  CHECK(reply.incompleteRollouts.empty());
}
