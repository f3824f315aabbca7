#include <catch2/catch.hpp>

#include <corkward/dataplane/wall_clock.h>

using corkward::dataplane::WallClock;

TEST_CASE("wall time is unknown until it is set") {
  WallClock clock;
  CHECK_FALSE(clock.at(5));
  CHECK(clock.set(10, 5000));
  CHECK(*clock.at(15) == 5005);
}

TEST_CASE("wall time never goes back, and a jump of more than a second ahead is reported") {
  WallClock clock;
  clock.set(0, 5000);
  CHECK_FALSE(clock.set(10, 4000));
  CHECK(*clock.at(10) == 5010);
  CHECK_FALSE(clock.set(20, 6020));
  CHECK(*clock.at(20) == 6020);
  CHECK(clock.set(30, 7031));
  CHECK(*clock.at(30) == 7031);
}
