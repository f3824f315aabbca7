#include <catch2/catch.hpp>

#include <corkward/dataplane/stall_detector.h>

#include "load_fixture.h"

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
using corkward::dataplane::StallDetector;
using corkward::dataplane::test::LoadFixture;
using corkward::dataplane::test::Outcome;

namespace {

/// Time within which a router serves again after its replicas have recovered, in milliseconds.
constexpr core::Milliseconds recoveryLimit = 12000;
constexpr core::Milliseconds lateFor = 8000;

/// Tuning of a router whose share of a replica may be less than one request.
dataplane::RouterTuning sharedReplicasTuning() {
  dataplane::RouterTuning tuning;
  tuning.leaseRequired = false;
  tuning.startupGracePeriod = 0;
  tuning.maxQueueTargets = 0.12;
  tuning.minQueueLength = 64;
  tuning.defaultRetryAfter = 0.2;
  tuning.nodeLimitPerReplica = 1000;
  tuning.scalerParameters = corkward::scaling::sharedReplicasParameters;
  return tuning;
}

/// A router whose replicas all respond late while `late` is true.
struct LateReplicas {
  bool late = false;
  LoadFixture load;

  LateReplicas(int replicas, std::uint64_t seed) : load(replicas, seed, sharedReplicasTuning()) {
    load.path = "/again/";
    load.outcomeAt = [this](std::string const&) { return late ? Outcome::slow : Outcome::complete; };
  }

  std::uint64_t stalls() const {
    std::map<std::string, std::uint64_t> const& counts = load.reducer.journal().counts();
    auto const found = counts.find("requests-stalled");
    return found == counts.end() ? 0 : found->second;
  }
};

}  // namespace

// Guards against a router that rejects every request for good: late responses had lowered its limit below one request,
// and only a response in time could raise it again.
TEST_CASE("a router serves again after all replicas of a pool responded late for seconds") {
  for (int const replicas : {1, 3, 9})
    for (core::Milliseconds const interval : {30, 50, 100, 300, 700})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(replicas, interval, seed);
        LateReplicas fixture(replicas, seed);
        fixture.load.advance(4000, interval);
        fixture.late = true;
        fixture.load.advance(lateFor, interval);
        fixture.late = false;
        fixture.load.advance(recoveryLimit, interval);
        fixture.load.rejected.clear();
        fixture.load.advance(10000, interval);
        CHECK(fixture.load.rejected.empty());
        CHECK(fixture.stalls() == 0);
      }
}

TEST_CASE("replicas that stay late get at most one request a second beyond the limit, and not much less") {
  for (int const replicas : {3, 9}) {
    CAPTURE(replicas);
    LateReplicas fixture(replicas, 1);
    fixture.load.advance(4000, 50);
    fixture.late = true;
    fixture.load.advance(20000, 50);
    fixture.load.dispatched.clear();
    fixture.load.advance(60000, 50);
    CHECK(fixture.load.total() <= 60);
    CHECK(fixture.load.total() >= 30);
    CHECK(fixture.stalls() == 0);
  }
}

TEST_CASE("a stall is detected when requests are rejected for longer than the limit and none is sent") {
  StallDetector stall;
  CHECK_FALSE(stall.onRejected(1000, true));
  CHECK_FALSE(stall.onRejected(1000 + StallDetector::limit, true));
  CHECK(stall.onRejected(1001 + StallDetector::limit, true));
  CHECK_FALSE(stall.onRejected(1002 + StallDetector::limit, true));

  SECTION("a request that is sent ends it") {
    stall.onSent();
    CHECK_FALSE(stall.onRejected(5000 + 2 * StallDetector::limit, true));
  }
  SECTION("so does a time in which no request could be sent") {
    CHECK_FALSE(stall.onRejected(1100 + StallDetector::limit, false));
    CHECK_FALSE(stall.onRejected(5000 + 2 * StallDetector::limit, true));
  }
}
