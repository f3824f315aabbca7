#include <catch2/catch.hpp>

#include <corkward/scaling/scaling.h>

namespace core = corkward::core;
namespace scaling = corkward::scaling;

namespace {

std::vector<scaling::Candidate> warm(int n) {
  std::vector<scaling::Candidate> out;
  for (int i = 0; i < n; ++i)
    out.push_back({static_cast<core::NameIndex>(i), false, core::stableHash(std::to_string(i))});
  return out;
}

}  // namespace

TEST_CASE("each width crossed adds one replica, and a calm of 5 s gives one back") {
  scaling::Scaler s(7);
  s.setCandidates(warm(9));
  REQUIRE(s.subset().size() == 1);
  CHECK(s.evaluate(0, 1) == 0);
  CHECK(s.evaluate(0, 2) == 1);
  CHECK(s.subset().size() == 2);
  CHECK(s.evaluate(0, 3) == 0);
  CHECK(s.evaluate(0, 4) == 1);
  CHECK(s.subset().size() == 3);
  CHECK(s.evaluate(1000, 0) == 0);
  CHECK(s.evaluate(5999, 0) == 0);
  CHECK(s.evaluate(6000, 0) == -1);
  CHECK(s.evaluate(10999, 0) == 0);
  CHECK(s.evaluate(11000, 0) == -1);
  CHECK(s.subset().size() == 1);
  CHECK(s.evaluate(20000, 0) == 0);
}

TEST_CASE("a widening takes the wanted replica first, by one step and only past the width") {
  scaling::Scaler s(7);
  s.setCandidates(warm(9));
  core::NameIndex wanted = 0;
  while (s.has(wanted)) ++wanted;
  scaling::Scaler other = s;
  other.evaluate(0, 2);
  if (other.has(wanted)) ++wanted;
  REQUIRE_FALSE(s.has(wanted));
  CHECK(s.evaluate(0, 1, static_cast<std::int64_t>(wanted)) == 0);
  CHECK_FALSE(s.has(wanted));
  CHECK(s.evaluate(0, 2, static_cast<std::int64_t>(wanted)) == 1);
  CHECK(s.has(wanted));
  CHECK(s.subset().size() == 2);
  CHECK(s.evaluate(0, 4, static_cast<std::int64_t>(wanted)) == 1);
  CHECK(s.subset().size() == 3);
  CHECK(s.evaluate(0, 6, 99) == 1);
  CHECK(s.subset().size() == 4);
}

TEST_CASE("a part begins with the wanted replica, and a step up takes the wanted one, never more than one") {
  for (core::NameIndex wanted = 0; wanted < 9; ++wanted) {
    scaling::Scaler s(7);
    s.setCandidates(warm(9));
    s.beginWith(wanted);
    REQUIRE(s.subset().size() == 1);
    CHECK(s.subset().front().replica == wanted);
    core::NameIndex const next = (wanted + 4) % 9;
    CHECK(s.evaluate(0, 1, next) == 0);
    CHECK(s.evaluate(0, 2, next) == 1);
    REQUIRE(s.subset().size() == 2);
    CHECK(s.subset().back().replica == next);
    CHECK(s.evaluate(0, 4, next) == 1);
    CHECK(s.subset().size() == 3);
    CHECK(s.evaluate(0, 6, 99) == 1);
    CHECK(s.subset().size() == 4);
    s.beginWith(next);
    CHECK(s.subset().front().replica == wanted);
  }
}

TEST_CASE("a replica that leaves is replaced one for one and is no step") {
  scaling::Scaler s(7);
  s.setCandidates(warm(4));
  s.evaluate(0, 2);
  core::NameIndex const removed = s.subset().front().replica;
  std::vector<scaling::Candidate> rest;
  for (scaling::Candidate const& c : warm(4))
    if (c.replica != removed) rest.push_back(c);
  s.setCandidates(rest);
  CHECK(s.subset().size() == 2);
  for (scaling::Candidate const& c : s.subset()) CHECK(c.replica != removed);
  s.setCandidates({});
  CHECK(s.subset().empty());
  CHECK(s.cap() == 0);
  CHECK_FALSE(s.hasCapacity(false));
}

TEST_CASE("when all are slow and a widening did not help, no more are taken and the cap falls") {
  scaling::Scaler s(3);
  s.setCandidates(warm(9));
  core::Milliseconds now = 0;
  double const before = s.limit();
  for (int i = 0; i < 400; ++i) {
    now += 100;
    s.evaluate(now, 50);
    for (scaling::Candidate const& c : std::vector<scaling::Candidate>(s.subset())) {
      s.onSent(c.replica, false);
      s.onFirstByte(now, c.replica, 5000, 800);
      s.onEnded(c.replica, false);
    }
  }
  CHECK(s.areAllSlow());
  CHECK(s.subset().size() < 9);
  CHECK(s.limit() < before);
  for (int i = 0; i < 60; ++i)
    for (scaling::Candidate const& c : std::vector<scaling::Candidate>(s.subset())) {
      s.onSent(c.replica, false);
      s.onFirstByte(now, c.replica, 100, 800);
      s.onEnded(c.replica, false);
    }
  CHECK_FALSE(s.areAllSlow());
}

TEST_CASE("cold replicas count as part but not for the cap") {
  scaling::Scaler s(3);
  s.setCandidates({{0, true, 11}, {1, false, 12}});
  s.evaluate(0, 2);
  CHECK(s.subset().size() == 2);
  CHECK(s.cap() == scaling::defaultScalerParameters.initialLimit);
}

TEST_CASE("a prefix stays with its replica until that is too busy") {
  scaling::Scaler s(3);
  s.setCandidates(warm(3));
  s.evaluate(0, 9);
  s.evaluate(0, 9);
  std::vector<scaling::Candidate> const usable = s.subset();
  CHECK(scaling::chooseReplica(s, usable, 99, 2) == 2);
  for (int i = 0; i < scaling::defaultScalerParameters.prefixSlack; ++i) s.onSent(2, false);
  CHECK(scaling::chooseReplica(s, usable, 99, 2) == 2);
  s.onSent(2, false);
  CHECK(scaling::chooseReplica(s, usable, 99, 2) != 2);
  CHECK(scaling::chooseReplica(s, {}, 99, 2) == -1);
}

TEST_CASE("retries over any ten seconds stay under a fifth plus the allowance, under random demand") {
  for (std::uint64_t seed = 1; seed < 40; ++seed) {
    core::RandomGenerator rng(seed);
    scaling::RetryBudget b;
    std::vector<core::Milliseconds> firsts;
    std::vector<core::Milliseconds> retries;
    for (core::Milliseconds now = 0; now < 60000; now += static_cast<core::Milliseconds>(rng.below(60))) {
      if (rng.chance(0.5)) {
        b.onFirstAttempt(now);
        firsts.push_back(now);
      }
      if (b.takeRetry(now, 5)) retries.push_back(now);
    }
    REQUIRE_FALSE(retries.empty());
    for (core::Milliseconds const end : retries) {
      std::size_t f = 0;
      std::size_t r = 0;
      for (core::Milliseconds const t : firsts) f += t > end - 10000 && t <= end ? 1 : 0;
      for (core::Milliseconds const t : retries) r += t > end - 10000 && t <= end ? 1 : 0;
      REQUIRE(static_cast<double>(r) <= 0.2 * static_cast<double>(f) + 2.0 + 0.2 * 40);
    }
  }
}

TEST_CASE("no pool's requests pay for retries at another") {
  constexpr core::NameIndex large = 0;
  constexpr core::NameIndex small = 1;
  scaling::RetryBudgets b;
  std::vector<core::Milliseconds> firsts;
  std::vector<core::Milliseconds> retries;
  for (core::Milliseconds now = 0; now < 30000; ++now) {
    b.onFirstAttempt(now, large);
    if (now % 50 == 0) {
      b.onFirstAttempt(now, small);
      firsts.push_back(now);
    }
    if (now % 10 == 0 && b.takeRetry(now, small, 5)) retries.push_back(now);
  }
  for (core::Milliseconds const end : retries) {
    std::size_t f = 0;
    std::size_t r = 0;
    for (core::Milliseconds const t : firsts) f += t > end - 10000 && t <= end ? 1 : 0;
    for (core::Milliseconds const t : retries) r += t > end - 10000 && t <= end ? 1 : 0;
    REQUIRE(static_cast<double>(r) <= 0.2 * static_cast<double>(f) + 2.0 + 0.2 * 20);
  }
  CHECK(retries.size() > 100);
  for (int i = 0; i < 1000; ++i) b.onFirstAttempt(40000 + i * 2000, static_cast<core::NameIndex>(i));
  CHECK(b.size() < 40);
}

TEST_CASE("retries do not outlive a crowd that is gone") {
  scaling::RetryBudget b;
  for (core::Milliseconds now = 0; now < 2000; ++now) b.onFirstAttempt(now);
  int retries = 0;
  for (core::Milliseconds now = 5000; now < 12000; now += 10) retries += b.takeRetry(now, 5) ? 1 : 0;
  CHECK(retries <= 4);
}

TEST_CASE("a cold bucket never passes its rate and starts empty") {
  scaling::SlowStartBucket b(1000);
  int granted = 0;
  for (core::Milliseconds now = 1000; now <= 11000; now += 7) granted += b.takeToken(now, 2.0) ? 1 : 0;
  CHECK(granted <= 20);
  CHECK(granted >= 18);
  CHECK_FALSE(scaling::SlowStartBucket(0).hasToken(400, 2.0));
}

TEST_CASE("remembered prefixes stay bounded") {
  scaling::PrefixCacheIndex p(100);
  for (std::uint64_t i = 0; i < 10000; ++i) p.recordServed(i % 300, 1);
  CHECK(p.size() <= 100);
  CHECK(p.lastReplica(9999 % 300) == 1);
  CHECK(p.lastReplica(100000) == -1);
}

TEST_CASE("a scaler at rest that is not looked at does what one does that is looked at ten times a second") {
  int rested = 0;
  for (std::uint64_t seed = 1; seed < 60; ++seed) {
    CAPTURE(seed);
    core::RandomGenerator rng(seed);
    scaling::ScalerParameters f;
    f.width = 1.0;
    if (seed % 2 == 0) f.limitDecay = 0.9;
    f.minLimit = 0.5;
    f.steady = 0.7;
    scaling::Scaler looked(seed, f);
    scaling::Scaler skipped(seed, f);
    scaling::CompletionRate rateLooked;
    scaling::CompletionRate rateSkipped;
    std::vector<scaling::Candidate> all = warm(6);
    looked.setCandidates(all);
    skipped.setCandidates(all);
    bool asleep = false;
    std::vector<core::NameIndex> sent;
    for (core::Milliseconds now = 100; now < 240000; now += 50) {
      bool const busy = now / 20000 % 3 == 0;
      if (busy && rng.chance(0.4)) {
        if (asleep) rateSkipped.catchUp(now);
        asleep = false;
        bool const hasCapacity = looked.raiseLimitFor(false);
        REQUIRE(skipped.raiseLimitFor(false) == hasCapacity);
        if (hasCapacity && !looked.subset().empty()) {
          core::NameIndex const r = looked.subset()[rng.below(looked.subset().size())].replica;
          looked.onSent(r, false);
          skipped.onSent(r, false);
          sent.push_back(r);
        }
      }
      if (!sent.empty() && rng.chance(0.3)) {
        core::Milliseconds const took = static_cast<core::Milliseconds>(rng.below(900));
        looked.onFirstByte(now, sent.back(), took, 600);
        skipped.onFirstByte(now, sent.back(), took, 600);
        looked.onEnded(sent.back(), false);
        skipped.onEnded(sent.back(), false);
        rateLooked.onCompleted();
        rateSkipped.onCompleted();
        sent.pop_back();
      }
      if (rng.chance(0.01)) {
        all = warm(6);
        std::erase_if(all, [&](scaling::Candidate const&) { return rng.chance(0.4); });
        looked.setCandidates(all);
        skipped.setCandidates(all);
        if (asleep && !skipped.isAtRest()) {
          rateSkipped.catchUp(now);
          asleep = false;
        }
      }
      if (now % 100 != 0) continue;
      looked.setCandidates(all);
      rateLooked.closeWindow(now);
      int const step = looked.evaluate(now, 0);
      if (!asleep) {
        rateSkipped.closeWindow(now);
        REQUIRE(skipped.evaluate(now, 0) == step);
        asleep = skipped.isAtRest();
        rested += asleep ? 1 : 0;
      } else {
        REQUIRE(step == 0);
      }
      REQUIRE(skipped.subset() == looked.subset());
      REQUIRE(skipped.limit() == looked.limit());
      REQUIRE(skipped.areAllSlow() == looked.areAllSlow());
      scaling::CompletionRate caughtUp = rateSkipped;
      caughtUp.catchUp(now + 1);
      REQUIRE(caughtUp.perSecond() == rateLooked.perSecond());
    }
  }
  CHECK(rested > 100);
}
