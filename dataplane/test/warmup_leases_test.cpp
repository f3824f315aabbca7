#include <catch2/catch.hpp>

#include <corkward/dataplane/warmup_leases.h>

using corkward::dataplane::WarmupLeases;

namespace {

std::vector<std::string> const members{"a", "b", "c"};
constexpr corkward::core::Milliseconds duration = 1000;

}  // namespace

TEST_CASE("a warm-up lease is held once a majority of the members granted the same request") {
  WarmupLeases leases;
  CHECK_FALSE(leases.grant(110, 1, 100, "a", members, duration));
  CHECK_FALSE(leases.grant(120, 1, 100, "a", members, duration));
  CHECK_FALSE(leases.grant(120, 1, 101, "b", members, duration));
  CHECK_FALSE(leases.grant(120, 1, 100, "stranger", members, duration));
  CHECK_FALSE(leases.holds(120, 1));
  CHECK(leases.grant(120, 1, 100, "c", members, duration));
  CHECK(leases.expiresAt(1) == 1100);
  CHECK(leases.holds(1099, 1));
  CHECK_FALSE(leases.holds(1100, 1));
}

TEST_CASE("a renewal extends the lease and does not count as an acquisition") {
  WarmupLeases leases;
  leases.grant(100, 1, 100, "a", members, duration);
  CHECK(leases.grant(100, 1, 100, "b", members, duration));
  leases.grant(500, 1, 500, "a", members, duration);
  CHECK_FALSE(leases.grant(500, 1, 500, "b", members, duration));
  CHECK(leases.expiresAt(1) == 1500);
}

TEST_CASE("an unowned lease is requested after the delay, which restarts when another router's lease expires") {
  WarmupLeases leases;
  CHECK_FALSE(leases.shouldRequest(0, 1, 50));
  CHECK(leases.shouldRequest(50, 1, 50));
  leases.deny(1, 200);
  CHECK_FALSE(leases.shouldRequest(249, 1, 50));
  CHECK(leases.shouldRequest(250, 1, 50));
}

TEST_CASE("a held lease is renewed without delay") {
  WarmupLeases leases;
  leases.grant(0, 1, 0, "a", members, duration);
  leases.grant(0, 1, 0, "b", members, duration);
  CHECK(leases.shouldRequest(10, 1, 5000));
}

TEST_CASE("a withdrawn lease is requested again only after a new delay") {
  WarmupLeases leases;
  leases.shouldRequest(0, 1, 50);
  leases.grant(0, 1, 0, "a", members, duration);
  leases.grant(0, 1, 0, "b", members, duration);
  CHECK(leases.withdraw(10, 1));
  CHECK_FALSE(leases.withdraw(11, 1));
  CHECK_FALSE(leases.holds(11, 1));
  CHECK_FALSE(leases.shouldRequest(100, 1, 50));
}

TEST_CASE("requests to a replica that is warming up need the lease and a token of its rate") {
  WarmupLeases leases;
  CHECK_FALSE(leases.hasToken(0, 1, 10.0));
  leases.grant(0, 1, 0, "a", members, duration);
  leases.grant(0, 1, 0, "b", members, duration);
  int tokens = 0;
  while (tokens < 100 && leases.hasToken(0, 1, 10.0) && leases.takeToken(0, 1, 10.0)) ++tokens;
  CHECK(tokens < 100);
  CHECK_FALSE(leases.takeToken(0, 1, 10.0));
  CHECK(leases.hasToken(900, 1, 10.0));
  CHECK_FALSE(leases.hasToken(1000, 1, 10.0));
}

TEST_CASE("releaseAll returns the replicas whose lease was held, once") {
  WarmupLeases leases;
  for (corkward::core::NameIndex const replica : {3U, 1U, 2U}) {
    leases.grant(0, replica, 0, "a", members, duration);
    if (replica != 2) leases.grant(0, replica, 0, "b", members, duration);
  }
  CHECK(leases.releaseAll(10) == std::vector<corkward::core::NameIndex>{1, 3});
  CHECK(leases.releaseAll(10).empty());
}
