#include <catch2/catch.hpp>

#include <corkward/quota/gate.h>
#include <corkward/quota/ledger.h>

namespace quota = corkward::quota;
using corkward::core::Tick;

namespace {

quota::Limit const limit{1000, 1000};
quota::Slack const slack{8000, 0.1, 500};

quota::Use use(std::uint64_t demand, std::uint64_t wanted = 0) {
  quota::Use out;
  out.tenant = "t";
  out.demand = demand;
  out.wanted = wanted;
  out.renew = true;
  return out;
}

double fractionOf(quota::Loan const& loan) {
  return static_cast<double>(loan.fraction) / static_cast<double>(quota::whole);
}

/// A ledger of a lender that knows of all loans, with its capacity full.
quota::Ledger known() {
  quota::Ledger ledger(0, 4, limit, slack, quota::loanTerm);
  ledger.unheard(0, 0);
  return ledger;
}

}  // namespace

TEST_CASE("the greatest sum stays within what the operators allow, where their slack reaches for it") {
  for (quota::Limit const& l : {quota::Limit{1000, 1000}, quota::Limit{3, 3}, quota::Limit{457857, 457857}})
    for (quota::Slack const& s :
         {quota::Slack{8000, 0.1, 500}, quota::Slack{5000, 0.1, 20}, quota::Slack{5000, 0.2, 0}})
      CHECK(quota::greatestSum(l, s) <= quota::allowed(l, s) * 1.000001);
  CHECK(quota::capacity({1000, 1000}, {8000, 0, 0}) == 500.0);
}

TEST_CASE("fractions go by demand, never sum up to more than may be out, and one router gets no more than its most") {
  quota::Ledger ledger = known();
  for (Tick now = 1000; now < 8000; now += 200)
    for (int i = 0; i < 12; ++i) {
      quota::Loan const loan = ledger.report(now, "r" + std::to_string(i), 1, use(i == 0 ? 5000 : 100), true);
      CHECK(fractionOf(loan) <= quota::lentToOneMost + 1e-6);
      CHECK(ledger.out(now) <= quota::lentMost + 1e-6);
    }
  CHECK(ledger.out(8000) > 0.1);
}

TEST_CASE("a smaller fraction frees the rest only when the router has said that it has it, or when the loan ran out") {
  quota::Ledger ledger = known();
  quota::Loan const first = ledger.report(1000, "r1", 1, use(100), true);
  double const before = ledger.out(1000);
  CHECK(before == Approx(fractionOf(first)));
  quota::Loan const none = ledger.report(1200, "r1", 1, use(0), true);
  CHECK(none.fraction == 0);
  CHECK(ledger.out(1200) == Approx(before));
  quota::Use heard = use(0);
  heard.epoch = none.epoch;
  heard.number = first.number;
  ledger.report(1400, "r1", 1, heard, true);
  CHECK(ledger.out(1400) == Approx(before));
  quota::Ledger silent = ledger;
  CHECK(silent.out(1400 + quota::loanTerm) == 0.0);
  heard.number = ledger.report(1600, "r1", 1, heard, true).number;
  ledger.report(1800, "r1", 1, heard, true);
  CHECK(ledger.out(1800) == 0.0);
}

TEST_CASE("a router's new life holds nothing that the one before was lent") {
  quota::Ledger ledger = known();
  ledger.report(1000, "r1", 1, use(100), true);
  CHECK(ledger.out(1000) > 0);
  ledger.report(1100, "r1", 2, use(0), true);
  CHECK(ledger.out(1100) == 0.0);
}

TEST_CASE("a late word of a router's former life frees nothing of what the present one holds") {
  quota::Ledger ledger = known();
  quota::Loan const loan = ledger.report(1000, "r1", 2, use(100), true);
  ledger.report(1100, "r1", 1, use(0), true);
  CHECK(ledger.out(1100) == Approx(fractionOf(loan)));
  quota::Use held = use(100);
  held.fraction = loan.fraction;
  held.epoch = loan.epoch;
  held.number = loan.number;
  held.remaining = 9000;
  ledger.report(1200, "r1", 2, held, true);
  CHECK(ledger.out(1200) >= fractionOf(loan) - 1e-6);
}

TEST_CASE("a new lender lends no fraction that an earlier loan may still use") {
  quota::Ledger ledger(0, 4, limit, slack, quota::loanTerm);
  CHECK(ledger.out(0) == Approx(quota::lentMost));
  CHECK(ledger.report(1000, "r1", 1, use(100), true).fraction == 0);
  quota::Use held = use(100);
  held.fraction = quota::whole / 20;
  held.epoch = 3;
  held.number = 9;
  held.remaining = 5000;
  ledger.claim(1000, "r2", 1, held);
  CHECK(ledger.out(1000) == Approx(quota::lentMost));
  ledger.unheard(1000, 2);
  CHECK(ledger.out(1000) == Approx(0.05 + 2 * quota::lentToOneMost));
  ledger.unheard(1000, 0);
  CHECK(ledger.out(1000) == Approx(0.05));
  CHECK(ledger.out(6000) == 0.0);
}

TEST_CASE("a single amount is lent whole or not at all, out of what has flowed in") {
  quota::Ledger ledger = known();
  CHECK(ledger.report(100, "r1", 1, use(0, 500), true).amount == 0);
  CHECK(ledger.report(1000, "r1", 1, use(0, 500), true).amount == 500);
  CHECK(ledger.report(1000, "r1", 1, use(0, 600), true).amount == 0);
  CHECK(ledger.report(1000, "r1", 1, use(0, 400), true).amount == 400);
}

TEST_CASE("a gate out of touch spends what flows into its fraction, no longer than its term") {
  quota::Gate gate;
  CHECK_FALSE(gate.take(1000, limit, slack, 1));
  gate.lent(1010, limit, slack, 1000, {"t", 4, 1, quota::whole / 10, 30, quota::whole});
  CHECK(gate.take(1010, limit, slack, 20));
  CHECK(gate.left(1010 + quota::ownFlowAfter, limit, slack) == Approx(10));
  CHECK(gate.left(1510 + quota::ownFlowAfter, limit, slack) == Approx(60));
  CHECK(gate.left(9000, limit, slack) == Approx(0.1 * quota::capacity(limit, slack)));
  CHECK(gate.holdsLoan(1000 + quota::loanTerm - 1));
  CHECK_FALSE(gate.take(1000 + quota::loanTerm, limit, slack, 1));
}

TEST_CASE("a gate that is in touch again gives back all but its part in touch") {
  quota::Gate gate;
  gate.lent(1010, limit, slack, 1000, {"t", 4, 1, quota::whole / 10, 0, quota::whole});
  REQUIRE(gate.left(9000, limit, slack) == Approx(0.1 * quota::capacity(limit, slack)));
  gate.lent(9010, limit, slack, 9000, {"t", 4, 2, quota::whole / 20, 0, quota::whole});
  gate.trim(9010, limit, slack);
  double const kept = quota::heldInTouch * 0.05 * quota::capacity(limit, slack);
  CHECK(gate.left(9010, limit, slack) == Approx(kept));
  CHECK(gate.report(9010, limit, slack, 0).returned ==
        static_cast<std::uint64_t>(0.1 * quota::capacity(limit, slack) - kept));
}

TEST_CASE("what flows into a fraction flows to the lender or to the router, never to both") {
  for (Tick answered = 0; answered < 3000; answered += 100) {
    quota::Ledger ledger = known();
    quota::Gate gate;
    Tick now = 1000;
    for (; now < 4000; now += 200) {
      gate.seen(now, 100, 0);
      quota::Use asked = gate.report(now, limit, slack, 0);
      asked.tenant = "t";
      quota::Loan const loan = ledger.report(now + 2, "r1", 1, asked, true);
      // From here on the lender's answers are lost.
      if (now >= 1000 + answered) break;
      gate.lent(now + 4, limit, slack, now, loan);
    }
    double spent = 0;
    Tick const from = now;
    quota::Use all = use(0);
    all.renew = false;
    for (; now < from + 9000; now += 50) {
      double const left = gate.left(now, limit, slack);
      if (gate.take(now, limit, slack, left)) spent += left;
      all.wanted = static_cast<std::uint64_t>(ledger.level(now));
      spent += static_cast<double>(ledger.report(now, "other", 1, all, false).amount);
    }
    CHECK(spent <= quota::capacity(limit, slack) + limit.perSecond * static_cast<double>(now - from) / 1000.0);
    CHECK(spent > 0.9 * limit.perSecond * static_cast<double>(now - from) / 1000.0);
  }
}

TEST_CASE("an amount that comes too late is void") {
  quota::Gate gate;
  gate.lent(1000 + quota::handOverWithin / 2 + 1, limit, slack, 1000, {"t", 4, 0, 0, 50, quota::whole});
  CHECK(gate.left(1300, limit, slack) == 0.0);
}

TEST_CASE("routers without a loan take no more together than their part, in the mean") {
  double taken = 0;
  corkward::core::Rng rng(5);
  for (int router = 0; router < 100; ++router) {
    quota::Gate gate;
    for (Tick now = 0; now < 100000; now += 500) {
      double const draw = static_cast<double>(rng.below(1000000)) / 1000000.0;
      if (gate.takeUnlent(now, limit, slack, 10, {100}, draw)) taken += 10;
    }
  }
  CHECK(taken > 0);
  CHECK(taken < 1.3 * quota::unlentPart * limit.perSecond * 100);
}
