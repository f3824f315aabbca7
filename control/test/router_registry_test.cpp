#include <catch2/catch.hpp>

#include "router_fixture.h"

namespace control = corkward::control;
namespace transport = corkward::transport;
using control::addRouter;
using control::RouterRegistry;
using control::valuesOf;

TEST_CASE("a router with a session lacks a committed revision until it acknowledges it") {
  RouterRegistry routers({});
  RouterRegistry::Router& router = addRouter(routers, 0, "a");
  routers.recordCommitted("k", 0, 1);
  CHECK_FALSE(router.isUpToDate());
  RouterRegistry::recordAcknowledged(router, "k", 1, 2);
  CHECK(router.missingRevisions == transport::Revisions{{"k", 1}});
  RouterRegistry::recordAcknowledged(router, "k", 2, 2);
  CHECK(router.isUpToDate());
}

TEST_CASE("a missing revision is pushed again if it is not acknowledged in time") {
  control::ControllerTuning const tuning;
  RouterRegistry routers(tuning);
  addRouter(routers, 0, "a");
  routers.recordCommitted("k", 0, 1);
  control::CommittedValues const values = valuesOf({{"k", 1}, {"other", 4}});
  std::optional<transport::ConfigurationUpdate> const first = routers.nextUpdate(10, "a", values, {});
  REQUIRE(first);
  CHECK_FALSE(first->isSnapshot);
  REQUIRE(first->entries.size() == 1);
  CHECK(first->entries[0].key == "k");
  CHECK(first->number == 1);
  CHECK_FALSE(routers.nextUpdate(10 + tuning.repushEvery - 1, "a", values, {}));
  CHECK(routers.nextUpdate(10 + tuning.repushEvery, "a", values, {})->number == 2);
  CHECK(routers.nextUpdate(20 + tuning.repushEvery, "a", valuesOf({{"k", 2}}), {})->entries[0].revision == 2);
}

TEST_CASE("a snapshot waits for a contact with a majority that began after the snapshot was requested") {
  RouterRegistry routers({});
  routers.recordContact(100, "a", 1);
  routers.recordRequest(100, control::leaseRequest("a", true));
  control::CommittedValues const values = valuesOf({{"k", 1}, {"l", 2}});
  CHECK_FALSE(routers.nextUpdate(110, "a", values, {}));
  CHECK_FALSE(routers.nextUpdate(110, "a", values, 99));
  std::optional<transport::ConfigurationUpdate> const snapshot = routers.nextUpdate(110, "a", values, 100);
  REQUIRE(snapshot);
  CHECK(snapshot->isSnapshot);
  CHECK(snapshot->entries.size() == 2);
  CHECK_FALSE(routers.nextUpdate(120, "a", values, 110));
}

TEST_CASE("a new incarnation has no known revisions, and an older one is ignored") {
  RouterRegistry routers({});
  RouterRegistry::Router& router = addRouter(routers, 0, "a");
  REQUIRE(router.isUpToDate());
  CHECK(routers.recordContact(10, "a", 2) == &router);
  CHECK_FALSE(router.revisionsKnown);
  CHECK(routers.recordContact(20, "a", 1) == nullptr);
  CHECK(router.lastContactAt == 10);
}

TEST_CASE("the session and the known revisions of an unresponsive router are dropped") {
  RouterRegistry routers({});
  RouterRegistry::Router& router = addRouter(routers, 0, "a");
  CHECK_FALSE(routers.nextUpdate(10001, "a", {}, {}));
  CHECK_FALSE(router.hasSession());
  CHECK_FALSE(router.revisionsKnown);
  routers.recordCommitted("k", 0, 1);
  CHECK(router.missingRevisions.empty());
}

TEST_CASE("a router's digest matches if it covers the committed revisions that the router is known to have") {
  RouterRegistry routers({});
  RouterRegistry::Router& router = addRouter(routers, 0, "a");
  routers.recordCommitted("k", 0, 1);
  routers.recordCommitted("l", 0, 1);
  RouterRegistry::recordAcknowledged(router, "l", 1, 1);
  control::CommittedValues const values = valuesOf({{"k", 1}, {"l", 1}});
  CHECK(routers.committedDigest() == transport::digestOf({{"k", 1}, {"l", 1}}));
  CHECK(routers.matchesKnownRevisions(router, transport::digestOf({{"l", 1}}), values));
  CHECK_FALSE(routers.matchesKnownRevisions(router, routers.committedDigest(), values));
  RouterRegistry::recordRevisions(router, {{"k", 1}}, values);
  CHECK(router.missingRevisions == transport::Revisions{{"l", 0}});
}

TEST_CASE("an unresponsive router is probed at an interval, and forgotten if it is not on the roster") {
  control::ControllerTuning const tuning;
  RouterRegistry routers(tuning);
  addRouter(routers, 1000, "a");
  CHECK_FALSE(routers.startProbe(1000, "a"));
  CHECK(routers.startProbe(1000 + tuning.probeAfter, "a"));
  CHECK_FALSE(routers.startProbe(1001 + tuning.probeAfter, "a"));
  routers.recordProbeResult(2000, "a", true);
  CHECK(routers.find("a")->unreachableAt == 2000);
  routers.recordContact(2100, "a", 1);
  CHECK(routers.find("a")->unreachableAt == -1);
  control::Milliseconds const later = 2101 + tuning.forgetRouterAfter;
  routers.forgetUnresponsive(later, {"a"});
  CHECK(routers.find("a") != nullptr);
  routers.forgetUnresponsive(later, {});
  CHECK(routers.find("a") == nullptr);
}
