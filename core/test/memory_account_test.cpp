#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include <corkward/core/memory_account.h>

namespace core = corkward::core;

TEST_CASE("an account's sum follows its charges and returns to zero with them") {
  core::MemoryAccount account(1000);
  {
    core::MemoryCharge first(account);
    std::vector<core::MemoryCharge> others;
    first.set(300);
    others.emplace_back(account);
    others.back().set(500);
    CHECK(account.used() == 800);
    first.set(100);
    CHECK(account.used() == 600);
    core::MemoryCharge const moved = std::move(first);
    CHECK(account.used() == 600);
    others.back() = core::MemoryCharge(account);
    CHECK(account.used() == 100);
  }
  CHECK(account.used() == 0);
  CHECK(account.peak() == 800);
}

TEST_CASE("reservations leave a quarter of the limit for small requests") {
  core::MemoryAccount account(1000);
  core::MemoryCharge charge(account);
  CHECK(account.canReserve(750));
  CHECK_FALSE(account.canReserve(751));
  charge.set(700);
  CHECK(account.canReserve(50));
  CHECK_FALSE(account.canReserve(51));
  CHECK(account.hasRoomFor(300));
  CHECK_FALSE(account.hasRoomFor(301));
  CHECK(account.isBusy());
}

TEST_CASE("a limit that is lowered below what is held is exceeded until holders give up") {
  core::MemoryAccount account(1000);
  core::MemoryCharge charge(account);
  charge.set(800);
  account.setLimit(500);
  CHECK(account.isExceeded());
  CHECK_FALSE(account.hasRoomFor(1));
  CHECK_FALSE(account.canReserve(1));
  charge.set(200);
  CHECK_FALSE(account.isExceeded());
  CHECK(account.used() == 200);
}
