#include <catch2/catch.hpp>

#include "held_responses.h"

namespace core = corkward::core;
using corkward::programs::HeldResponses;

namespace {

constexpr std::uint64_t kilobyte = 1024;

}  // namespace

TEST_CASE("the response that has held much for longest is given up once all take more than their part") {
  core::MemoryAccount const account(4000 * kilobyte);
  HeldResponses events(account);
  REQUIRE(events.limit() == 1000 * kilobyte);
  events.update(1, 300 * kilobyte, 100);
  events.update(2, 300 * kilobyte, 50);
  events.update(3, 400 * kilobyte, 200);
  CHECK_FALSE(events.excess());
  events.update(3, 401 * kilobyte, 300);
  CHECK(events.excess() == 2);

  SECTION("what was given up no longer counts") {
    events.remove(2);
    CHECK_FALSE(events.excess());
  }
  SECTION("an event that follows a complete one is younger than the others") {
    events.update(2, kilobyte, 400);
    CHECK_FALSE(events.excess());
    events.update(2, 900 * kilobyte, 400);
    CHECK(events.excess() == 1);
  }
}

TEST_CASE("responses that hold little are never given up, however many there are") {
  core::MemoryAccount const account(4000 * kilobyte);
  HeldResponses events(account);
  for (std::uint64_t request = 1; request <= 1000; ++request) events.update(request, 16 * kilobyte, 100);
  CHECK_FALSE(events.excess());
}
