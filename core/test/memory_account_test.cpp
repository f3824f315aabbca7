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

TEST_CASE("smaller holdings have more of the limit") {
  core::MemoryAccount account(800);
  core::MemoryCharge charge(account);
  charge.set(600);
  CHECK_FALSE(account.hasRoomFor(1, core::HoldingSize::large));
  CHECK(account.hasRoomFor(100, core::HoldingSize::small));
  CHECK_FALSE(account.hasRoomFor(101, core::HoldingSize::small));
  CHECK(account.hasRoomFor(200, core::HoldingSize::tiny));
  CHECK_FALSE(account.hasRoomFor(201, core::HoldingSize::tiny));
}

TEST_CASE("a fall of what is held is reported once, from the most since the last report") {
  core::MemoryAccount account(1000);
  core::MemoryCharge charge(account);
  charge.set(700);
  charge.set(650);
  CHECK(account.takeFall(100) == 0);
  charge.set(500);
  CHECK(account.takeFall(100) == 200);
  CHECK(account.takeFall(100) == 0);
  charge.set(550);
  charge.set(440);
  CHECK(account.takeFall(100) == 110);
}

TEST_CASE("holders are asked one after the other, until there is room") {
  core::MemoryAccount account(800);
  core::MemoryCharge first(account);
  core::MemoryCharge second(account);
  first.set(100);
  second.set(700);
  std::vector<std::uint64_t> asked;
  account.addReclaimer(&first, [&](std::uint64_t bytes) {
    asked.push_back(bytes);
    first.set(0);
  });
  account.addReclaimer(&second, [&](std::uint64_t bytes) {
    asked.push_back(bytes);
    second.set(700 - bytes);
  });
  CHECK(account.reclaim(50, core::HoldingSize::tiny));
  CHECK(asked == std::vector<std::uint64_t>{50});
  CHECK(account.reclaim(50, core::HoldingSize::small));
  CHECK(asked == std::vector<std::uint64_t>{50, 50, 50});
  CHECK_FALSE(account.reclaim(801, core::HoldingSize::tiny));
  account.removeReclaimer(&first);
  account.removeReclaimer(&second);
  CHECK_FALSE(account.reclaim(400, core::HoldingSize::tiny));
  CHECK(asked.size() == 3);
}
