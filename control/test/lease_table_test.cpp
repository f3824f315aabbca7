#include <catch2/catch.hpp>

#include <corkward/control/lease_table.h>

namespace control = corkward::control;
using control::LeaseTable;

namespace {

LeaseTable::Claim claimOf(std::string const& holder, std::uint64_t incarnation = 1) {
  return LeaseTable::Claim{"role", holder, incarnation, 1000};
}

}  // namespace

TEST_CASE("a lease has one holder until it expires") {
  LeaseTable leases;
  LeaseTable::Grant const first = *leases.acquire(0, claimOf("a"));
  CHECK(first.granted);
  CHECK(first.term == 1);
  LeaseTable::Grant const denied = *leases.acquire(999, claimOf("b"));
  CHECK_FALSE(denied.granted);
  CHECK(denied.holder == "a");
  LeaseTable::Grant const next = *leases.acquire(1000, claimOf("b"));
  CHECK(next.granted);
  CHECK(next.term == 2);
}

TEST_CASE("a renewal keeps the term, and another incarnation of the holder waits for the lease to expire") {
  LeaseTable leases;
  leases.acquire(0, claimOf("a"));
  CHECK(leases.acquire(900, claimOf("a"))->term == 1);
  CHECK_FALSE(leases.acquire(1500, claimOf("a", 2))->granted);
  CHECK(leases.acquire(1900, claimOf("a", 2))->term == 2);
}

TEST_CASE("only the named successor of a released lease can acquire it during the lease's duration") {
  LeaseTable leases;
  leases.acquire(0, claimOf("a"));
  leases.release(100, claimOf("b"), "b");
  CHECK_FALSE(leases.acquire(100, claimOf("b"))->granted);
  leases.release(100, claimOf("a"), "c");
  CHECK_FALSE(leases.acquire(1000, claimOf("b"))->granted);
  CHECK(leases.acquire(1000, claimOf("c", 7))->term == 2);
  leases.release(1100, claimOf("c", 7), "");
  CHECK(leases.acquire(1100, claimOf("b"))->term == 3);
}

TEST_CASE("contenders are the processes that were denied within the lease's duration") {
  LeaseTable leases;
  leases.acquire(0, claimOf("a"));
  leases.addContender(0, claimOf("c"));
  leases.addContender(500, claimOf("b"));
  CHECK(leases.contenders(1000, claimOf("a")) == std::vector<std::string>{"b", "c"});
  CHECK(leases.contenders(1001, claimOf("a")) == std::vector<std::string>{"b"});
  leases.acquire(1001, claimOf("b"));
  CHECK(leases.contenders(1001, claimOf("a")).empty());
}

TEST_CASE("a full table grants the leases that it has and rejects new names") {
  LeaseTable leases;
  for (std::size_t name = 0; name < LeaseTable::maxLeases; ++name)
    leases.acquire(0, LeaseTable::Claim{std::to_string(name), "a", 1, 1000});
  CHECK(leases.isFull("new"));
  CHECK_FALSE(leases.acquire(0, LeaseTable::Claim{"new", "a", 1, 1000}));
  CHECK_FALSE(leases.isFull("0"));
  CHECK(leases.acquire(0, LeaseTable::Claim{"0", "a", 1, 1000})->granted);
}
