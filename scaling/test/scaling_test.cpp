#include <catch2/catch.hpp>

#include <corkward/scaling/scaling.h>

namespace core = corkward::core;
namespace scaling = corkward::scaling;

namespace {

std::vector<scaling::Candidate> readyCandidates(int n) {
  std::vector<scaling::Candidate> out;
  for (int i = 0; i < n; ++i)
    out.push_back({static_cast<core::NameIndex>(i), false, core::stableHash(std::to_string(i))});
  return out;
}

}  // namespace

TEST_CASE("excess demand adds one replica per evaluation, and 5 s of low demand remove one") {
  scaling::Scaler s(7);
  s.setCandidates(readyCandidates(9));
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

TEST_CASE("a growing subset adds the preferred replica first, one replica at a time and only at excess demand") {
  scaling::Scaler s(7);
  s.setCandidates(readyCandidates(9));
  core::NameIndex preferred = 0;
  while (s.has(preferred)) ++preferred;
  scaling::Scaler other = s;
  other.evaluate(0, 2);
  if (other.has(preferred)) ++preferred;
  REQUIRE_FALSE(s.has(preferred));
  CHECK(s.evaluate(0, 1, static_cast<std::int64_t>(preferred)) == 0);
  CHECK_FALSE(s.has(preferred));
  CHECK(s.evaluate(0, 2, static_cast<std::int64_t>(preferred)) == 1);
  CHECK(s.has(preferred));
  CHECK(s.subset().size() == 2);
  CHECK(s.evaluate(0, 4, static_cast<std::int64_t>(preferred)) == 1);
  CHECK(s.subset().size() == 3);
  CHECK(s.evaluate(0, 6, 99) == 1);
  CHECK(s.subset().size() == 4);
}

TEST_CASE(
    "a subset begins with the preferred replica, and a growth adds the replica preferred then, or another one if that "
    "is already in the subset or not a candidate") {
  for (core::NameIndex preferred = 0; preferred < 9; ++preferred) {
    scaling::Scaler s(7);
    s.setCandidates(readyCandidates(9));
    s.beginWith(preferred);
    REQUIRE(s.subset().size() == 1);
    CHECK(s.subset().front().replica == preferred);
    core::NameIndex const next = (preferred + 4) % 9;
    CHECK(s.evaluate(0, 1, next) == 0);
    CHECK(s.evaluate(0, 2, next) == 1);
    REQUIRE(s.subset().size() == 2);
    CHECK(s.subset().back().replica == next);
    CHECK(s.evaluate(0, 4, next) == 1);
    CHECK(s.subset().size() == 3);
    CHECK(s.evaluate(0, 6, 99) == 1);
    CHECK(s.subset().size() == 4);
    s.beginWith(next);
    CHECK(s.subset().front().replica == preferred);
  }
}

TEST_CASE("a replica that is no longer a candidate is replaced one for one") {
  scaling::Scaler s(7);
  s.setCandidates(readyCandidates(4));
  s.evaluate(0, 2);
  core::NameIndex const removed = s.subset().front().replica;
  std::vector<scaling::Candidate> remaining;
  for (scaling::Candidate const& c : readyCandidates(4))
    if (c.replica != removed) remaining.push_back(c);
  s.setCandidates(remaining);
  CHECK(s.subset().size() == 2);
  for (scaling::Candidate const& c : s.subset()) CHECK(c.replica != removed);
  s.setCandidates({});
  CHECK(s.subset().empty());
  CHECK(s.cap() == 0);
  CHECK_FALSE(s.hasCapacity(false));
}

TEST_CASE("when all replicas are slow and growth did not help, the subset stops growing and the limit falls") {
  scaling::Scaler s(3);
  s.setCandidates(readyCandidates(9));
  core::Milliseconds now = 0;
  double const before = s.limit();
  for (int i = 0; i < 400; ++i) {
    now += 100;
    s.evaluate(now, 50);
    for (scaling::Candidate const& c : std::vector<scaling::Candidate>(s.subset())) {
      s.onSent(0, c.replica, false);
      s.onFirstByte(now, c.replica, 5000, 800);
      s.onEnded(c.replica, false);
    }
  }
  CHECK(s.areAllSlow());
  CHECK(s.subset().size() < 9);
  CHECK(s.limit() < before);
  for (int i = 0; i < 60; ++i)
    for (scaling::Candidate const& c : std::vector<scaling::Candidate>(s.subset())) {
      s.onSent(0, c.replica, false);
      s.onFirstByte(now, c.replica, 100, 800);
      s.onEnded(c.replica, false);
    }
  CHECK_FALSE(s.areAllSlow());
}

TEST_CASE("replicas that warm up count as members of the subset but not for the cap") {
  scaling::Scaler s(3);
  s.setCandidates({{0, true, 11}, {1, false, 12}});
  s.evaluate(0, 2);
  CHECK(s.subset().size() == 2);
  CHECK(s.cap() == scaling::defaultScalerParameters.initialLimit);
}

TEST_CASE("a prefix stays on its replica until that replica has too many requests in flight") {
  scaling::Scaler s(3);
  s.setCandidates(readyCandidates(3));
  s.evaluate(0, 9);
  s.evaluate(0, 9);
  std::vector<scaling::Candidate> const usable = s.subset();
  CHECK(scaling::chooseReplica(s, usable, 99, 2) == 2);
  for (int i = 0; i < scaling::defaultScalerParameters.prefixSlack; ++i) s.onSent(0, 2, false);
  CHECK(scaling::chooseReplica(s, usable, 99, 2) == 2);
  s.onSent(0, 2, false);
  CHECK(scaling::chooseReplica(s, usable, 99, 2) != 2);
  CHECK(scaling::chooseReplica(s, {}, 99, 2) == -1);
}

TEST_CASE("retries within any ten seconds stay under a fifth of first attempts plus the allowance, at random demand") {
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
      std::size_t firstAttempts = 0;
      std::size_t retried = 0;
      for (core::Milliseconds const t : firsts) firstAttempts += t > end - 10000 && t <= end ? 1 : 0;
      for (core::Milliseconds const t : retries) retried += t > end - 10000 && t <= end ? 1 : 0;
      REQUIRE(static_cast<double>(retried) <= 0.2 * static_cast<double>(firstAttempts) + 2.0 + 0.2 * 40);
    }
  }
}

TEST_CASE("requests to one pool earn no retries for another, and budgets of idle pools are removed") {
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
    std::size_t firstAttempts = 0;
    std::size_t retried = 0;
    for (core::Milliseconds const t : firsts) firstAttempts += t > end - 10000 && t <= end ? 1 : 0;
    for (core::Milliseconds const t : retries) retried += t > end - 10000 && t <= end ? 1 : 0;
    REQUIRE(static_cast<double>(retried) <= 0.2 * static_cast<double>(firstAttempts) + 2.0 + 0.2 * 20);
  }
  CHECK(retries.size() > 100);
  for (int i = 0; i < 1000; ++i) b.onFirstAttempt(40000 + i * 2000, static_cast<core::NameIndex>(i));
  CHECK(b.size() < 40);
}

TEST_CASE("retries stop soon after a burst of requests has ended") {
  scaling::RetryBudget b;
  for (core::Milliseconds now = 0; now < 2000; ++now) b.onFirstAttempt(now);
  int retries = 0;
  for (core::Milliseconds now = 5000; now < 12000; now += 10) retries += b.takeRetry(now, 5) ? 1 : 0;
  CHECK(retries <= 4);
}

namespace {

/// A scaler whose replicas were late until its limit allowed no request at all.
scaling::Scaler scalerWithoutCapacity(core::Milliseconds& now) {
  scaling::ScalerParameters parameters;
  parameters.minLimit = 0.05;
  parameters.limitDecay = 0.9;
  parameters.limitRaiseLatencyRatio = 0.7;
  parameters.initialSubset = 3;
  scaling::Scaler scaler(3, parameters);
  scaler.setCandidates(readyCandidates(3));
  while (scaler.hasCapacity(false)) {
    core::NameIndex const replica = scaler.subset().front().replica;
    now += parameters.limitCutInterval;
    scaler.onSent(now, replica, false);
    scaler.onFirstByte(now, replica, 5000, 800);
    scaler.onEnded(replica, false);
    scaler.evaluate(now, 0);
  }
  REQUIRE(scaler.limit() < 1.0);
  REQUIRE_FALSE(scaler.raiseLimitFor(false));
  return scaler;
}

}  // namespace

// Guards against a limit below one request that only a response can raise, and that lets no request through.
TEST_CASE("a limit that allows no request lets one probe through at each interval") {
  core::Milliseconds now = 0;
  scaling::Scaler scaler = scalerWithoutCapacity(now);
  core::Milliseconds const interval = scaler.parameters().probeInterval;
  core::NameIndex const replica = scaler.subset().front().replica;
  CHECK_FALSE(scaler.isProbeDue(now));
  CHECK(scaler.isProbeDue(now + interval));

  scaler.onSent(now + interval, replica, false);
  scaler.onFirstByte(now + interval, replica, 900, 800);
  scaler.onEnded(replica, false);
  CHECK_FALSE(scaler.isProbeDue(now + 2 * interval - 1));
  CHECK(scaler.isProbeDue(now + 2 * interval));
}

TEST_CASE("a probe that gets no response does not keep the next one back") {
  core::Milliseconds now = 0;
  scaling::Scaler scaler = scalerWithoutCapacity(now);
  core::Milliseconds const interval = scaler.parameters().probeInterval;
  now += interval;
  scaler.onSent(now, scaler.subset().front().replica, false);
  CHECK_FALSE(scaler.isProbeDue(now + interval - 1));
  CHECK(scaler.isProbeDue(now + interval));
}

TEST_CASE("a probe whose response is in time is followed by the next request at once") {
  core::Milliseconds now = 0;
  scaling::Scaler scaler = scalerWithoutCapacity(now);
  core::NameIndex const replica = scaler.subset().front().replica;
  now += scaler.parameters().probeInterval;
  scaler.onSent(now, replica, false);
  scaler.onFirstByte(now, replica, 20, 800);
  scaler.onEnded(replica, false);
  CHECK((scaler.hasCapacity(false) || scaler.isProbeDue(now)));
}

TEST_CASE("a limit of one request or more per replica allows no probes beyond it") {
  scaling::Scaler scaler(3);
  scaler.setCandidates(readyCandidates(1));
  while (scaler.hasCapacity(false)) scaler.onSent(0, scaler.subset().front().replica, false);
  CHECK_FALSE(scaler.isProbeDue(1000000));
}

TEST_CASE("a slow start bucket starts empty and never exceeds its rate") {
  scaling::SlowStartBucket b(1000);
  int granted = 0;
  for (core::Milliseconds now = 1000; now <= 11000; now += 7) granted += b.takeToken(now, 2.0) ? 1 : 0;
  CHECK(granted <= 20);
  CHECK(granted >= 18);
  CHECK_FALSE(scaling::SlowStartBucket(0).hasToken(400, 2.0));
}

TEST_CASE("the number of remembered prefixes is bounded, and the most recent prefix stays") {
  scaling::PrefixCacheIndex p(100);
  for (std::uint64_t i = 0; i < 10000; ++i) p.recordServed(i % 300, 1);
  CHECK(p.size() <= 100);
  CHECK(p.lastReplica(9999 % 300) == 1);
  CHECK(p.lastReplica(100000) == -1);
}

TEST_CASE("an idle scaler that is not evaluated behaves like a scaler that is evaluated every 100 ms") {
  int idlePeriods = 0;
  for (std::uint64_t seed = 1; seed < 60; ++seed) {
    CAPTURE(seed);
    core::RandomGenerator rng(seed);
    scaling::ScalerParameters parameters;
    parameters.excessPerReplica = 1.0;
    if (seed % 2 == 0) parameters.limitDecay = 0.9;
    parameters.minLimit = 0.5;
    parameters.limitRaiseLatencyRatio = 0.7;
    scaling::Scaler evaluated(seed, parameters);
    scaling::Scaler skipped(seed, parameters);
    scaling::CompletionRate rateEvaluated;
    scaling::CompletionRate rateSkipped;
    std::vector<scaling::Candidate> all = readyCandidates(6);
    evaluated.setCandidates(all);
    skipped.setCandidates(all);
    bool skipping = false;
    std::vector<core::NameIndex> sent;
    for (core::Milliseconds now = 100; now < 240000; now += 50) {
      bool const busy = now / 20000 % 3 == 0;
      if (busy && rng.chance(0.4)) {
        if (skipping) rateSkipped.catchUp(now);
        skipping = false;
        bool const hasCapacity = evaluated.raiseLimitFor(false);
        REQUIRE(skipped.raiseLimitFor(false) == hasCapacity);
        bool const probeDue = evaluated.isProbeDue(now);
        REQUIRE(skipped.isProbeDue(now) == probeDue);
        if ((hasCapacity || probeDue) && !evaluated.subset().empty()) {
          core::NameIndex const r = evaluated.subset()[rng.below(evaluated.subset().size())].replica;
          evaluated.onSent(now, r, false);
          skipped.onSent(now, r, false);
          sent.push_back(r);
        }
      }
      if (!sent.empty() && rng.chance(0.3)) {
        core::Milliseconds const took = static_cast<core::Milliseconds>(rng.below(900));
        evaluated.onFirstByte(now, sent.back(), took, 600);
        skipped.onFirstByte(now, sent.back(), took, 600);
        evaluated.onEnded(sent.back(), false);
        skipped.onEnded(sent.back(), false);
        rateEvaluated.onCompleted();
        rateSkipped.onCompleted();
        sent.pop_back();
      }
      if (rng.chance(0.01)) {
        all = readyCandidates(6);
        std::erase_if(all, [&](scaling::Candidate const&) { return rng.chance(0.4); });
        evaluated.setCandidates(all);
        skipped.setCandidates(all);
        if (skipping && !skipped.isIdle()) {
          rateSkipped.catchUp(now);
          skipping = false;
        }
      }
      if (now % 100 != 0) continue;
      evaluated.setCandidates(all);
      rateEvaluated.closeWindow(now);
      int const step = evaluated.evaluate(now, 0);
      if (!skipping) {
        rateSkipped.closeWindow(now);
        REQUIRE(skipped.evaluate(now, 0) == step);
        skipping = skipped.isIdle();
        idlePeriods += skipping ? 1 : 0;
      } else {
        REQUIRE(step == 0);
      }
      REQUIRE(skipped.subset() == evaluated.subset());
      REQUIRE(skipped.limit() == evaluated.limit());
      REQUIRE(skipped.areAllSlow() == evaluated.areAllSlow());
      scaling::CompletionRate caughtUp = rateSkipped;
      caughtUp.catchUp(now + 1);
      REQUIRE(caughtUp.perSecond() == rateEvaluated.perSecond());
    }
  }
  CHECK(idlePeriods > 100);
}
