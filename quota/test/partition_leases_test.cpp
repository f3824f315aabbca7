#include <catch2/catch.hpp>

#include <corkward/quota/partition_leases.h>

namespace quota = corkward::quota;
using corkward::core::Tick;

namespace {

quota::PartitionLeaseRequest ask(std::string const& link, std::uint64_t epoch, Tick tick, std::uint64_t life = 1) {
  return {tick, link, life, false, {{3, epoch}}};
}

bool granted(quota::PartitionLeaseReply const& grant) {
  return grant.decisions.at(0).granted;
}

}  // namespace

TEST_CASE("a member grants a part to one at a time, under a rising epoch") {
  quota::PartitionLeaseGrants grants;
  CHECK(granted(grants.onRequest(1000, ask("c1", 5, 990), true, true)));
  CHECK(grants.holder(1100, 3) == "c1");
  quota::PartitionLeaseReply const refused = grants.onRequest(1100, ask("c2", 6, 1090), true, true);
  CHECK_FALSE(granted(refused));
  CHECK(refused.decisions[0].holder == "c1");
  CHECK(refused.decisions[0].epoch == 5);
  Tick const renewed = 1000 + quota::partitionLeaseDuration - 100;
  CHECK(granted(grants.onRequest(renewed, ask("c1", 5, renewed - 10), true, true)));
  CHECK_FALSE(granted(grants.onRequest(renewed + quota::partitionLeaseDuration - 1, ask("c2", 6, 0), true, true)));
  CHECK_FALSE(granted(grants.onRequest(renewed + quota::partitionLeaseDuration, ask("c2", 5, 0), true, true)));
  CHECK(granted(grants.onRequest(renewed + quota::partitionLeaseDuration, ask("c2", 6, 0), true, true)));
}

TEST_CASE(
    "a member that may have forgotten what it granted grants nothing; one that sees a new membership only renews") {
  quota::PartitionLeaseGrants grants;
  CHECK_FALSE(granted(grants.onRequest(1000, ask("c1", 5, 990), false, false)));
  CHECK_FALSE(granted(grants.onRequest(1000, ask("c1", 5, 990), false, true)));
  CHECK(granted(grants.onRequest(1100, ask("c1", 5, 1090), true, true)));
  CHECK(granted(grants.onRequest(1200, ask("c1", 5, 1190), false, true)));
  CHECK_FALSE(granted(grants.onRequest(1300, ask("c1", 5, 1290), false, false)));
  CHECK_FALSE(granted(grants.onRequest(1300, ask("c1", 5, 1290, 2), true, true)));
}

TEST_CASE("a lender that gives up makes room at once, and nobody else can do so for it") {
  quota::PartitionLeaseGrants grants;
  REQUIRE(granted(grants.onRequest(1000, ask("c1", 5, 990), true, true)));
  quota::PartitionLeaseRequest stranger = ask("c2", 5, 990);
  stranger.release = true;
  grants.onRequest(1010, stranger, true, true);
  CHECK(grants.holder(1010, 3) == "c1");
  quota::PartitionLeaseRequest own = ask("c1", 5, 990);
  own.release = true;
  grants.onRequest(1020, own, true, true);
  CHECK(grants.holder(1020, 3).empty());
  CHECK(granted(grants.onRequest(1030, ask("c2", 6, 1020), true, true)));
}

TEST_CASE("a term counts from when a majority of the members was asked") {
  std::vector<std::string> const members{"c1", "c2", "c3", "c4", "c5"};
  quota::PartitionLeases terms;
  terms.seek(1000, 3, 9);
  CHECK(terms.epoch(3) == 9);
  auto const answer = [&](std::string const& member, Tick tick) {
    terms.answered(member, {tick, {{3, 9, true, "c1"}}});
  };
  answer("c1", 1000);
  answer("c2", 1300);
  CHECK(terms.heldUntil(3, members) <= 1000);
  answer("stranger", 1300);
  CHECK(terms.heldUntil(3, members) <= 1000);
  answer("c4", 1200);
  CHECK(terms.heldUntil(3, members) == 1000 + quota::partitionLeaseDuration);
  answer("c1", 1500);
  CHECK(terms.heldUntil(3, members) == 1200 + quota::partitionLeaseDuration);
  CHECK(terms.heldUntil(3, {"c2", "c4", "c5"}) == 1200 + quota::partitionLeaseDuration);
  CHECK(terms.heldUntil(3, {"c5", "c6", "c2"}) <= 1000);
}

TEST_CASE("one that is outbid asks under a higher epoch") {
  quota::PartitionLeases terms;
  terms.seek(1000, 3, 9);
  terms.answered("c2", {1000, {{3, 12, false, "c7"}}});
  terms.seek(1300, 3, 9);
  CHECK(terms.epoch(3) == 13);
  terms.answered("c2", {1300, {{3, 4, false, ""}}});
  terms.seek(1600, 3, 9);
  CHECK(terms.epoch(3) == 13);
}
