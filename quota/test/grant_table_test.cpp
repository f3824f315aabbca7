#include <catch2/catch.hpp>

#include <corkward/quota/grant_table.h>
#include <corkward/quota/quota_limiter.h>

#include "quota_fixtures.h"

namespace quota = corkward::quota;
using corkward::core::Milliseconds;
using quota::GrantScope;
using quota::test::allowance;
using quota::test::fractionOf;
using quota::test::limit;
using quota::test::recoveredTable;
using quota::test::usage;

TEST_CASE("allocations follow the demand and stay within the bounds for one router and for all routers") {
  quota::GrantTable table = recoveredTable();
  for (Milliseconds now = 1000; now < 8000; now += 200)
    for (int i = 0; i < 12; ++i) {
      quota::QuotaGrant const grant =
          table.onReport(now, "r" + std::to_string(i), 1, usage(i == 0 ? 5000 : 100), GrantScope::allocation);
      CHECK(fractionOf(grant) <= quota::maxFractionPerRouter + 1e-6);
      CHECK(table.allocatedFraction(now) <= quota::maxAllocatedFraction + 1e-6);
    }
  CHECK(table.allocatedFraction(8000) > 0.1);
}

TEST_CASE("a smaller allocation frees the difference once the router has confirmed it or the larger one has expired") {
  quota::GrantTable table = recoveredTable();
  quota::QuotaGrant const first = table.onReport(1000, "r1", 1, usage(100), GrantScope::allocation);
  double const before = table.allocatedFraction(1000);
  CHECK(before == Approx(fractionOf(first)));
  quota::QuotaGrant const emptied = table.onReport(1200, "r1", 1, usage(0), GrantScope::allocation);
  CHECK(emptied.allocatedFraction == 0);
  CHECK(table.allocatedFraction(1200) == Approx(before));
  quota::TenantUsage confirmation = usage(0);
  confirmation.ownerTerm = emptied.ownerTerm;
  confirmation.grantNumber = first.grantNumber;
  table.onReport(1400, "r1", 1, confirmation, GrantScope::allocation);
  CHECK(table.allocatedFraction(1400) == Approx(before));
  quota::GrantTable withoutFurtherReports = table;
  CHECK(withoutFurtherReports.allocatedFraction(1400 + quota::allocationDuration) == 0.0);
  confirmation.grantNumber = table.onReport(1600, "r1", 1, confirmation, GrantScope::allocation).grantNumber;
  table.onReport(1800, "r1", 1, confirmation, GrantScope::allocation);
  CHECK(table.allocatedFraction(1800) == 0.0);
}

TEST_CASE("a new incarnation of a router holds none of the previous incarnation's allocation") {
  quota::GrantTable table = recoveredTable();
  table.onReport(1000, "r1", 1, usage(100), GrantScope::allocation);
  CHECK(table.allocatedFraction(1000) > 0);
  table.onReport(1100, "r1", 2, usage(0), GrantScope::allocation);
  CHECK(table.allocatedFraction(1100) == 0.0);
}

TEST_CASE("a late report of an earlier incarnation frees nothing of the present incarnation's allocation") {
  quota::GrantTable table = recoveredTable();
  quota::QuotaGrant const grant = table.onReport(1000, "r1", 2, usage(100), GrantScope::allocation);
  table.onReport(1100, "r1", 1, usage(0), GrantScope::allocation);
  CHECK(table.allocatedFraction(1100) == Approx(fractionOf(grant)));
  quota::TenantUsage present = usage(100);
  present.allocatedFraction = grant.allocatedFraction;
  present.ownerTerm = grant.ownerTerm;
  present.grantNumber = grant.grantNumber;
  present.allocationRemainingMs = 9000;
  table.onReport(1200, "r1", 2, present, GrantScope::allocation);
  CHECK(table.allocatedFraction(1200) >= fractionOf(grant) - 1e-6);
}

TEST_CASE("a new owner allocates no fraction that an earlier owner's allocation may still use") {
  quota::GrantTable table(0, 4, limit, allowance, quota::allocationDuration);
  CHECK(table.allocatedFraction(0) == Approx(quota::maxAllocatedFraction));
  CHECK(table.onReport(1000, "r1", 1, usage(100), GrantScope::allocation).allocatedFraction == 0);
  quota::TenantUsage earlierAllocation = usage(100);
  earlierAllocation.allocatedFraction = quota::fractionUnits / 20;
  earlierAllocation.ownerTerm = 3;
  earlierAllocation.grantNumber = 9;
  earlierAllocation.allocationRemainingMs = 5000;
  table.restoreAllocation(1000, "r2", 1, earlierAllocation);
  CHECK(table.allocatedFraction(1000) == Approx(quota::maxAllocatedFraction));
  table.limitUnreported(1000, 2);
  CHECK(table.allocatedFraction(1000) == Approx(0.05 + 2 * quota::maxFractionPerRouter));
  table.limitUnreported(1000, 0);
  CHECK(table.allocatedFraction(1000) == Approx(0.05));
  CHECK(table.allocatedFraction(6000) == 0.0);
}

TEST_CASE("a single amount is granted in full or not at all, and only if it has been refilled") {
  quota::GrantTable table = recoveredTable();
  CHECK(table.onReport(100, "r1", 1, usage(0, 500), GrantScope::allocation).grantedAmount == 0);
  CHECK(table.onReport(1000, "r1", 1, usage(0, 500), GrantScope::allocation).grantedAmount == 500);
  CHECK(table.onReport(1000, "r1", 1, usage(0, 600), GrantScope::allocation).grantedAmount == 0);
  CHECK(table.onReport(1000, "r1", 1, usage(0, 400), GrantScope::allocation).grantedAmount == 400);
}

TEST_CASE("the refill of an allocated fraction goes to the owner or to the router, never to both") {
  for (Milliseconds connectedFor = 0; connectedFor < 3000; connectedFor += 100) {
    quota::GrantTable table = recoveredTable();
    quota::QuotaLimiter limiter;
    Milliseconds now = 1000;
    for (; now < 4000; now += 200) {
      limiter.onRequest(now, 100, 0);
      quota::TenantUsage report = limiter.takeReport(now, limit, allowance, 0);
      report.tenant = "t";
      quota::QuotaGrant const grant = table.onReport(now + 2, "r1", 1, report, GrantScope::allocation);
      // From now on the owner's replies are lost.
      if (now >= 1000 + connectedFor) break;
      limiter.onGrant(now + 4, limit, allowance, now, grant);
    }
    double spent = 0;
    Milliseconds const disconnectedAt = now;
    quota::TenantUsage requestAllAvailable = usage(0);
    requestAllAvailable.wantsRenewal = false;
    for (; now < disconnectedAt + 9000; now += 50) {
      double const remaining = limiter.remainingAmount(now, limit, allowance);
      if (limiter.tryAcquire(now, limit, allowance, remaining)) spent += remaining;
      requestAllAvailable.requestedAmount = static_cast<std::uint64_t>(table.availableAmount(now));
      spent += static_cast<double>(
          table.onReport(now, "other", 1, requestAllAvailable, GrantScope::amountsOnly).grantedAmount);
    }
    double const refill = limit.perSecond * static_cast<double>(now - disconnectedAt) / 1000.0;
    CHECK(spent <= quota::totalCapacity(limit, allowance) + refill);
    CHECK(spent > 0.9 * refill);
  }
}
