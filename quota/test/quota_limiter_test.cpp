#include <catch2/catch.hpp>

#include <corkward/quota/quota_limiter.h>

#include "quota_fixtures.h"

namespace quota = corkward::quota;
using corkward::core::Milliseconds;
using quota::test::allowance;
using quota::test::limit;

TEST_CASE("a disconnected limiter spends the refill of its allocation until the allocation expires") {
  quota::QuotaLimiter limiter;
  CHECK_FALSE(limiter.tryAcquire(1000, limit, allowance, 1));
  limiter.onGrant(1010, limit, allowance, 1000, {"t", 4, 1, quota::fractionUnits / 10, 30, quota::fractionUnits});
  CHECK(limiter.tryAcquire(1010, limit, allowance, 20));
  CHECK(limiter.remainingAmount(1010 + quota::refillTransferDelay, limit, allowance) == Approx(10));
  CHECK(limiter.remainingAmount(1510 + quota::refillTransferDelay, limit, allowance) == Approx(60));
  CHECK(limiter.remainingAmount(9000, limit, allowance) == Approx(0.1 * quota::totalCapacity(limit, allowance)));
  CHECK(limiter.hasAllocation(1000 + quota::allocationDuration - 1));
  CHECK_FALSE(limiter.tryAcquire(1000 + quota::allocationDuration, limit, allowance, 1));
}

TEST_CASE("a limiter that is connected again returns everything except its reserve to the owner") {
  quota::QuotaLimiter limiter;
  limiter.onGrant(1010, limit, allowance, 1000, {"t", 4, 1, quota::fractionUnits / 10, 0, quota::fractionUnits});
  REQUIRE(limiter.remainingAmount(9000, limit, allowance) == Approx(0.1 * quota::totalCapacity(limit, allowance)));
  limiter.onGrant(9010, limit, allowance, 9000, {"t", 4, 2, quota::fractionUnits / 20, 0, quota::fractionUnits});
  limiter.trim(9010, limit, allowance);
  double const reserve = quota::connectedReserveFraction * 0.05 * quota::totalCapacity(limit, allowance);
  CHECK(limiter.remainingAmount(9010, limit, allowance) == Approx(reserve));
  CHECK(limiter.takeReport(9010, limit, allowance, 0).returnedAmount ==
        static_cast<std::uint64_t>(0.1 * quota::totalCapacity(limit, allowance) - reserve));
}

TEST_CASE("a granted amount that arrives too late is discarded") {
  quota::QuotaLimiter limiter;
  limiter.onGrant(1000 + quota::maxDispatchDelay / 2 + 1, limit, allowance, 1000,
                  {"t", 4, 0, 0, 50, quota::fractionUnits});
  CHECK(limiter.remainingAmount(1300, limit, allowance) == 0.0);
}

TEST_CASE("routers without an allocation together admit at most the unallocated fraction, in the mean") {
  double admitted = 0;
  corkward::core::RandomGenerator random(5);
  for (int router = 0; router < 100; ++router) {
    quota::QuotaLimiter limiter;
    for (Milliseconds now = 0; now < 100000; now += 500) {
      double const draw = static_cast<double>(random.below(1000000)) / 1000000.0;
      if (limiter.tryAcquireUnallocated(now, limit, allowance, 10, {100}, draw)) admitted += 10;
    }
  }
  CHECK(admitted > 0);
  CHECK(admitted < 1.3 * quota::unallocatedFraction * limit.perSecond * 100);
}
