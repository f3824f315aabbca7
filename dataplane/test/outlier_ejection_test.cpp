#include <catch2/catch.hpp>

#include <set>

#include <corkward/dataplane/response_stream.h>

#include "load_fixture.h"

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
using corkward::dataplane::test::addressOf;
using corkward::dataplane::test::LoadFixture;
using corkward::dataplane::test::Outcome;

TEST_CASE("a replica that fails 30 % of its requests soon gets under a tenth of an equal fraction of them") {
  for (Outcome const outcome : {Outcome::connectionLost, Outcome::errorResponse, Outcome::slow})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CAPTURE(static_cast<int>(outcome), seed);
      LoadFixture load(10, seed);
      load.outcomeAt = [&](std::string const& a) {
        return a == addressOf(3) && load.rng.chance(0.3) ? outcome : Outcome::complete;
      };
      load.advance(20000, 5);
      load.dispatched.clear();
      load.advance(60000, 5);
      CHECK(load.fractionAt(3) < 0.1 * 0.1);
      CHECK(load.distrusts > 0);
    }
}

TEST_CASE("a replica that has recovered is trusted again") {
  LoadFixture load(10, 3);
  bool failing = true;
  load.outcomeAt = [&](std::string const& a) {
    return failing && a == addressOf(3) ? Outcome::connectionLost : Outcome::complete;
  };
  load.advance(20000, 5);
  failing = false;
  load.advance(20000, 5);
  load.dispatched.clear();
  load.advance(20000, 5);
  CHECK(load.fractionAt(3) > 0.08);
}

TEST_CASE("replicas that fail one request in fifty are distrusted less than once in 5000 requests") {
  std::size_t distrusts = 0;
  int requests = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadFixture load(10, seed);
    load.outcomeAt = [&](std::string const&) {
      return load.rng.chance(0.02) ? Outcome::connectionLost : Outcome::complete;
    };
    load.advance(100000, 5);
    distrusts += load.distrusts;
    requests += load.total();
    for (int r = 1; r <= 10; ++r) CHECK(load.fractionAt(r) > 0.08);
  }
  CAPTURE(distrusts, requests);
  CHECK(distrusts * 5000 < static_cast<std::size_t>(requests));
}

TEST_CASE("a replica that alternately fails and recovers refuses few connections") {
  LoadFixture load(10, 5);
  load.outcomeAt = [&](std::string const& a) {
    return a == addressOf(3) && (load.now / 700) % 2 == 0 ? Outcome::connectRefused : Outcome::complete;
  };
  load.advance(30000, 5);
  load.dispatched.clear();
  load.connects.clear();
  load.advance(60000, 5);
  int const refused = load.connects[addressOf(3)] - load.dispatched[addressOf(3)];
  CAPTURE(refused, load.dispatched[addressOf(3)]);
  CHECK(refused <= 20);
}

TEST_CASE("if all replicas fail equally often, none is ejected") {
  LoadFixture load(9, 6);
  load.outcomeAt = [&](std::string const&) {
    return load.rng.chance(0.7) ? Outcome::connectionLost : Outcome::complete;
  };
  load.advance(10000, 5);
  load.dispatched.clear();
  load.advance(20000, 5);
  CHECK(load.distrusts > 9);
  CHECK(std::all_of(load.rejected.begin(), load.rejected.end(),
                    [](dataplane::Reject const& d) { return d.status == 502; }));
  for (int r = 1; r <= 9; ++r) CHECK(load.fractionAt(r) > 0.5 / 9);
}

TEST_CASE("at most a third of a pool's replicas are ejected at the same time") {
  LoadFixture load(10, 7);
  std::set<std::string> const failing{addressOf(1), addressOf(2), addressOf(3), addressOf(4), addressOf(5)};
  load.outcomeAt = [&](std::string const& a) {
    return failing.count(a) > 0 ? Outcome::connectionLost : Outcome::complete;
  };
  load.advance(20000, 5);
  int used = 0;
  for (int i = 0; i < 40; ++i) {
    load.dispatched.clear();
    load.advance(500, 5);
    used = std::max(used, static_cast<int>(load.dispatched.size()));
    CHECK(load.dispatched.size() >= 7);
  }
  CHECK(used <= 10);
  for (int replicas = 1; replicas <= 2; ++replicas) {
    LoadFixture few(replicas, 8);
    few.outcomeAt = [&](std::string const& a) {
      return a == addressOf(1) ? Outcome::connectionLost : Outcome::complete;
    };
    few.advance(20000, 5);
    few.dispatched.clear();
    few.advance(2000, 5);
    CHECK(few.fractionAt(1) > 0.3);
  }
}

TEST_CASE("an ejected replica is replaced in the subset, whose size stays the same") {
  dataplane::RouterTuning tuning = LoadFixture::tuning(3);
  LoadFixture load(10, 9, tuning);
  load.outcomeAt = [&](std::string const&) { return Outcome::complete; };
  load.advance(1000, 40);
  REQUIRE(load.reducer.subsetSizes("model").at(0).first == 3);
  std::string const failing = load.dispatched.begin()->first;
  load.outcomeAt = [&](std::string const& a) { return a == failing ? Outcome::connectionLost : Outcome::complete; };
  load.advance(3000, 40);
  CHECK(load.distrusts == 1);
  CHECK(load.reducer.subsetSizes("model").at(0).first == 3);
  load.dispatched.clear();
  load.advance(5000, 40);
  CHECK(load.dispatched.count(failing) == 0);
  CHECK(load.dispatched.size() == 3);
}

TEST_CASE("slow responses count against a replica only if other replicas are faster") {
  LoadFixture load(9, 10);
  load.outcomeAt = [&](std::string const&) { return Outcome::slow; };
  load.advance(20000, 100);
  CHECK(load.total() > 100);
  CHECK(load.distrusts <= 1);
}

TEST_CASE("a stale reused connection does not count against its replica") {
  LoadFixture load(10, 11);
  load.outcomeAt = [&](std::string const& a) {
    return a == addressOf(3) && load.rng.chance(0.5) ? Outcome::staleConnection : Outcome::complete;
  };
  load.path = "/again/";
  load.advance(20000, 5);
  CHECK(load.distrusts == 0);
  CHECK(load.fractionAt(3) > 0.08);
}

TEST_CASE("an idempotent request is retried on another replica after an error, and the last error is forwarded") {
  LoadFixture load(4, 12);
  bool allFailing = false;
  std::set<std::string> first;
  load.outcomeAt = [&](std::string const& a) {
    if (first.empty()) first.insert(a);
    return allFailing || first.count(a) > 0 ? Outcome::errorResponse : Outcome::complete;
  };
  SECTION("a retry is left") {
    load.path = "/again/";
    load.sendRequest();
    load.advance(200, 0);
    CHECK(load.forwardedErrors == 0);
    CHECK(load.total() == 2);
    CHECK(load.dispatched.size() == 2);
  }
  SECTION("no attempt is left") {
    allFailing = true;
    load.path = "/again/";
    load.sendRequest();
    load.advance(200, 0);
    CHECK(load.forwardedErrors == 1);
    CHECK(load.total() == 2);
  }
  SECTION("a request that must not run twice is not retried") {
    load.sendRequest();
    load.advance(200, 0);
    CHECK(load.forwardedErrors == 1);
    CHECK(load.total() == 1);
  }
  CHECK(load.rejected.empty());
  CHECK(load.reducer.pendingCount() == 0);
}

TEST_CASE("a request that fails on the only replica of the subset is retried on another replica of the pool") {
  dataplane::RouterTuning tuning = LoadFixture::tuning(1);
  LoadFixture load(4, 13, tuning);
  std::set<std::string> first;
  load.outcomeAt = [&](std::string const& a) {
    if (first.empty()) first.insert(a);
    return first.count(a) > 0 ? Outcome::errorResponse : Outcome::complete;
  };
  load.path = "/again/";
  load.sendRequest();
  load.advance(200, 0);
  CHECK(load.forwardedErrors == 0);
  CHECK(load.dispatched.size() == 2);
}

TEST_CASE("an error response is reported before any of it is forwarded, and another replica can be tried") {
  dataplane::ResponseStream s;
  s.onConnecting(false);
  dataplane::StreamSteps const failed = s.onHead({.status = 502, .length = 3, .failed = true});
  CHECK(failed.failed);
  CHECK_FALSE(failed.begin);
  SECTION("the error response is forwarded") {
    dataplane::StreamSteps const chunk = s.onChunk("bad");
    REQUIRE(chunk.begin);
    CHECK(chunk.begin->status == 502);
    CHECK(chunk.chunk == "bad");
    CHECK(s.onEnd(core::BodyEnd::framed).finish);
  }
  SECTION("another replica is tried") {
    s.onConnecting(false);
    CHECK_FALSE(s.onHead({.status = 200, .length = 2}).failed);
    dataplane::StreamSteps const chunk = s.onChunk("ok");
    REQUIRE(chunk.begin);
    CHECK(chunk.begin->status == 200);
    CHECK(s.onEnd(core::BodyEnd::framed).finish);
  }
}

TEST_CASE("an event stream whose resume gets an error response can be resumed on another replica") {
  dataplane::ResponseStream s;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead({.status = 200, .events = true});
  REQUIRE(s.onChunk("id: 1\ndata: a\n\n").begin);
  s.onEnd(core::BodyEnd::incomplete);
  s.onConnecting(true);
  CHECK(s.onHead({.status = 500, .failed = true}).ended == dataplane::UpstreamResult::connectionLost);
}
