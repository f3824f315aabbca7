#include <catch2/catch.hpp>

#include <corkward/quota/quota_limiter.h>
#include <corkward/quota/grant_table.h>

namespace quota = corkward::quota;
using corkward::core::Tick;

namespace {

quota::Limit const limit{1000, 1000};
quota::OverdraftAllowance const slack{8000, 0.1, 500};

quota::TenantUsage use(std::uint64_t demand, std::uint64_t wanted = 0) {
  quota::TenantUsage out;
  out.tenant = "t";
  out.demand = demand;
  out.wanted = wanted;
  out.wantsRenewal = true;
  return out;
}

double fractionOf(quota::QuotaGrant const& loan) {
  return static_cast<double>(loan.fraction) / static_cast<double>(quota::fractionUnits);
}

/// A ledger of a lender that knows of all loans, with its capacity full.
quota::GrantTable known() {
  quota::GrantTable ledger(0, 4, limit, slack, quota::allocationDuration);
  ledger.unheard(0, 0);
  return ledger;
}

}  // namespace

TEST_CASE("the greatest sum stays within what the operators allow, where their slack reaches for it") {
  for (quota::Limit const& l : {quota::Limit{1000, 1000}, quota::Limit{3, 3}, quota::Limit{457857, 457857}})
    for (quota::OverdraftAllowance const& s :
         {quota::OverdraftAllowance{8000, 0.1, 500}, quota::OverdraftAllowance{5000, 0.1, 20},
          quota::OverdraftAllowance{5000, 0.2, 0}})
      CHECK(quota::greatestSum(l, s) <= quota::allowed(l, s) * 1.000001);
  CHECK(quota::capacity({1000, 1000}, {8000, 0, 0}) == 500.0);
}

TEST_CASE("fractions go by demand, never sum up to more than may be out, and one router gets no more than its most") {
  quota::GrantTable ledger = known();
  for (Tick now = 1000; now < 8000; now += 200)
    for (int i = 0; i < 12; ++i) {
      quota::QuotaGrant const loan = ledger.report(now, "r" + std::to_string(i), 1, use(i == 0 ? 5000 : 100), true);
      CHECK(fractionOf(loan) <= quota::maxFractionPerRouter + 1e-6);
      CHECK(ledger.out(now) <= quota::maxAllocatedFraction + 1e-6);
    }
  CHECK(ledger.out(8000) > 0.1);
}

TEST_CASE("a smaller fraction frees the rest only when the router has said that it has it, or when the loan ran out") {
  quota::GrantTable ledger = known();
  quota::QuotaGrant const first = ledger.report(1000, "r1", 1, use(100), true);
  double const before = ledger.out(1000);
  CHECK(before == Approx(fractionOf(first)));
  quota::QuotaGrant const none = ledger.report(1200, "r1", 1, use(0), true);
  CHECK(none.fraction == 0);
  CHECK(ledger.out(1200) == Approx(before));
  quota::TenantUsage heard = use(0);
  heard.epoch = none.epoch;
  heard.number = first.number;
  ledger.report(1400, "r1", 1, heard, true);
  CHECK(ledger.out(1400) == Approx(before));
  quota::GrantTable silent = ledger;
  CHECK(silent.out(1400 + quota::allocationDuration) == 0.0);
  heard.number = ledger.report(1600, "r1", 1, heard, true).number;
  ledger.report(1800, "r1", 1, heard, true);
  CHECK(ledger.out(1800) == 0.0);
}

TEST_CASE("a router's new life holds nothing that the one before was lent") {
  quota::GrantTable ledger = known();
  ledger.report(1000, "r1", 1, use(100), true);
  CHECK(ledger.out(1000) > 0);
  ledger.report(1100, "r1", 2, use(0), true);
  CHECK(ledger.out(1100) == 0.0);
}

TEST_CASE("a late word of a router's former life frees nothing of what the present one holds") {
  quota::GrantTable ledger = known();
  quota::QuotaGrant const loan = ledger.report(1000, "r1", 2, use(100), true);
  ledger.report(1100, "r1", 1, use(0), true);
  CHECK(ledger.out(1100) == Approx(fractionOf(loan)));
  quota::TenantUsage held = use(100);
  held.fraction = loan.fraction;
  held.epoch = loan.epoch;
  held.number = loan.number;
  held.remainingMs = 9000;
  ledger.report(1200, "r1", 2, held, true);
  CHECK(ledger.out(1200) >= fractionOf(loan) - 1e-6);
}

TEST_CASE("a new lender lends no fraction that an earlier loan may still use") {
  quota::GrantTable ledger(0, 4, limit, slack, quota::allocationDuration);
  CHECK(ledger.out(0) == Approx(quota::maxAllocatedFraction));
  CHECK(ledger.report(1000, "r1", 1, use(100), true).fraction == 0);
  quota::TenantUsage held = use(100);
  held.fraction = quota::fractionUnits / 20;
  held.epoch = 3;
  held.number = 9;
  held.remainingMs = 5000;
  ledger.claim(1000, "r2", 1, held);
  CHECK(ledger.out(1000) == Approx(quota::maxAllocatedFraction));
  ledger.unheard(1000, 2);
  CHECK(ledger.out(1000) == Approx(0.05 + 2 * quota::maxFractionPerRouter));
  ledger.unheard(1000, 0);
  CHECK(ledger.out(1000) == Approx(0.05));
  CHECK(ledger.out(6000) == 0.0);
}

TEST_CASE("a single amount is lent whole or not at all, out of what has flowed in") {
  quota::GrantTable ledger = known();
  CHECK(ledger.report(100, "r1", 1, use(0, 500), true).amount == 0);
  CHECK(ledger.report(1000, "r1", 1, use(0, 500), true).amount == 500);
  CHECK(ledger.report(1000, "r1", 1, use(0, 600), true).amount == 0);
  CHECK(ledger.report(1000, "r1", 1, use(0, 400), true).amount == 400);
}

TEST_CASE("a gate out of touch spends what flows into its fraction, no longer than its term") {
  quota::QuotaLimiter gate;
  CHECK_FALSE(gate.tryAcquire(1000, limit, slack, 1));
  gate.onGrant(1010, limit, slack, 1000, {"t", 4, 1, quota::fractionUnits / 10, 30, quota::fractionUnits});
  CHECK(gate.tryAcquire(1010, limit, slack, 20));
  CHECK(gate.remaining(1010 + quota::ownFlowAfter, limit, slack) == Approx(10));
  CHECK(gate.remaining(1510 + quota::ownFlowAfter, limit, slack) == Approx(60));
  CHECK(gate.remaining(9000, limit, slack) == Approx(0.1 * quota::capacity(limit, slack)));
  CHECK(gate.hasAllocation(1000 + quota::allocationDuration - 1));
  CHECK_FALSE(gate.tryAcquire(1000 + quota::allocationDuration, limit, slack, 1));
}

TEST_CASE("a gate that is in touch again gives back all but its part in touch") {
  quota::QuotaLimiter gate;
  gate.onGrant(1010, limit, slack, 1000, {"t", 4, 1, quota::fractionUnits / 10, 0, quota::fractionUnits});
  REQUIRE(gate.remaining(9000, limit, slack) == Approx(0.1 * quota::capacity(limit, slack)));
  gate.onGrant(9010, limit, slack, 9000, {"t", 4, 2, quota::fractionUnits / 20, 0, quota::fractionUnits});
  gate.trim(9010, limit, slack);
  double const kept = quota::connectedReserveFraction * 0.05 * quota::capacity(limit, slack);
  CHECK(gate.remaining(9010, limit, slack) == Approx(kept));
  CHECK(gate.report(9010, limit, slack, 0).returned ==
        static_cast<std::uint64_t>(0.1 * quota::capacity(limit, slack) - kept));
}

TEST_CASE("what flows into a fraction flows to the lender or to the router, never to both") {
  for (Tick answered = 0; answered < 3000; answered += 100) {
    quota::GrantTable ledger = known();
    quota::QuotaLimiter gate;
    Tick now = 1000;
    for (; now < 4000; now += 200) {
      gate.onRequest(now, 100, 0);
      quota::TenantUsage asked = gate.report(now, limit, slack, 0);
      asked.tenant = "t";
      quota::QuotaGrant const loan = ledger.report(now + 2, "r1", 1, asked, true);
      // From here on the lender's answers are lost.
      if (now >= 1000 + answered) break;
      gate.onGrant(now + 4, limit, slack, now, loan);
    }
    double spent = 0;
    Tick const from = now;
    quota::TenantUsage all = use(0);
    all.wantsRenewal = false;
    for (; now < from + 9000; now += 50) {
      double const left = gate.remaining(now, limit, slack);
      if (gate.tryAcquire(now, limit, slack, left)) spent += left;
      all.wanted = static_cast<std::uint64_t>(ledger.level(now));
      spent += static_cast<double>(ledger.report(now, "other", 1, all, false).amount);
    }
    CHECK(spent <= quota::capacity(limit, slack) + limit.perSecond * static_cast<double>(now - from) / 1000.0);
    CHECK(spent > 0.9 * limit.perSecond * static_cast<double>(now - from) / 1000.0);
  }
}

TEST_CASE("an amount that comes too late is void") {
  quota::QuotaLimiter gate;
  gate.onGrant(1000 + quota::handOverWithin / 2 + 1, limit, slack, 1000, {"t", 4, 0, 0, 50, quota::fractionUnits});
  CHECK(gate.remaining(1300, limit, slack) == 0.0);
}

TEST_CASE("routers without a loan take no more together than their part, in the mean") {
  double taken = 0;
  corkward::core::RandomGenerator rng(5);
  for (int router = 0; router < 100; ++router) {
    quota::QuotaLimiter gate;
    for (Tick now = 0; now < 100000; now += 500) {
      double const draw = static_cast<double>(rng.below(1000000)) / 1000000.0;
      if (gate.tryAcquireUnallocated(now, limit, slack, 10, {100}, draw)) taken += 10;
    }
  }
  CHECK(taken > 0);
  CHECK(taken < 1.3 * quota::unallocatedFraction * limit.perSecond * 100);
}
