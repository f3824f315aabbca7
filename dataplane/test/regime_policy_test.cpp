#include <catch2/catch.hpp>

#include <corkward/dataplane/regime_policy.h>

namespace scaling = corkward::scaling;
using corkward::dataplane::CertifiedReplicas;
using corkward::dataplane::RegimePolicy;

TEST_CASE("the latest bind call decides an instance's regime") {
  RegimePolicy policy;
  policy.bind(1, "");
  CHECK_FALSE(policy.anyBound());
  policy.bind(1, "eu");
  CHECK(policy.anyBound());
  CHECK(policy.regimeOf(1) == "eu");
  CHECK(policy.regimeOf(2).empty());
  policy.bind(1, "");
  CHECK(policy.regimeOf(1).empty());
  CHECK(policy.anyBound());
  policy.bind(1, "eu");
  policy.forget(1);
  CHECK(policy.regimeOf(1).empty());
}

TEST_CASE("certified replicas are stale after a second, and at once after invalidate") {
  RegimePolicy policy;
  CHECK(policy.isStale(0));
  policy.update(0, {});
  CHECK_FALSE(policy.isStale(999));
  CHECK(policy.isStale(1000));
  policy.invalidate();
  CHECK(policy.isStale(1));
}

TEST_CASE("update returns whether the certified replicas changed") {
  RegimePolicy policy;
  CertifiedReplicas certified;
  CHECK_FALSE(policy.update(0, certified));
  certified.add("eu", 1, 0.5);
  CHECK(policy.update(1, certified));
  CHECK_FALSE(policy.update(2, certified));
}

TEST_CASE("a regime may use only its certified replicas, other requests all that are not completely reserved") {
  RegimePolicy policy;
  CertifiedReplicas certified;
  certified.add("eu", 1, 0.5);
  certified.add("eu", 2, 1.0);
  certified.add("us", 1, 0.25);
  policy.update(0, certified);
  CHECK(policy.mayUse("eu", 1));
  CHECK(policy.mayUse("eu", 2));
  CHECK_FALSE(policy.mayUse("eu", 3));
  CHECK_FALSE(policy.mayUse("us", 2));
  CHECK_FALSE(policy.mayUse("unknown", 1));
  CHECK(policy.mayUse("", 1));
  CHECK_FALSE(policy.mayUse("", 2));
  CHECK(policy.mayUse("", 3));
  CHECK(*policy.reservedFraction(1) == 0.5);
  CHECK_FALSE(policy.reservedFraction(3));
}

TEST_CASE("each regime gets its own candidates") {
  RegimePolicy policy;
  CertifiedReplicas certified;
  certified.add("eu", 2, 1.0);
  policy.update(0, certified);
  auto const candidates = policy.candidatesByRegime({{1, false, 10}, {2, false, 20}});
  REQUIRE(candidates.size() == 2);
  CHECK(candidates.at("").find(1) != nullptr);
  CHECK(candidates.at("").find(2) == nullptr);
  CHECK(candidates.at("eu").find(1) == nullptr);
  CHECK(candidates.at("eu").find(2) != nullptr);
}
