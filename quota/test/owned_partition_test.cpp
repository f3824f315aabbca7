#include <catch2/catch.hpp>

#include <corkward/quota/owned_partition.h>

#include "quota_fixtures.h"

namespace quota = corkward::quota;
using quota::test::allowance;
using quota::test::limit;

TEST_CASE("a new owner queries the roster's routers once contact with a majority began after the start of its term") {
  quota::OwnedPartition partition(1000, 4);
  CHECK(partition.term() == 4);
  partition.advanceRecovery(1100, 1000, {"r1", "r2"});
  CHECK_FALSE(partition.isRecoveryStarted());
  CHECK(partition.unreportedRouters().empty());
  partition.advanceRecovery(1200, 1001, {"r1", "r2"});
  CHECK(partition.isRecoveryStarted());
  CHECK(partition.unreportedRouters().size() == 2);
  partition.advanceRecovery(1000 + quota::allocationDuration, 1001, {"r1", "r2"});
  CHECK(partition.unreportedRouters().empty());
}

TEST_CASE("a tenant's grant table counts what unreported routers may hold as allocated") {
  quota::OwnedPartition partition(1000, 4);
  CHECK(partition.grantTable(1000, "early", limit, allowance).allocatedFraction(1000) ==
        Approx(quota::maxAllocatedFraction));
  partition.advanceRecovery(1200, 1001, {"r1", "r2"});
  partition.onRouterReported(1300, "r2");
  for (char const* tenant : {"early", "late"})
    CHECK(partition.grantTable(1300, tenant, limit, allowance).allocatedFraction(1300) ==
          Approx(quota::maxFractionPerRouter));
  partition.onRouterReported(1400, "r1");
  for (char const* tenant : {"early", "late"})
    CHECK(partition.grantTable(1400, tenant, limit, allowance).allocatedFraction(1400) == 0.0);
}
