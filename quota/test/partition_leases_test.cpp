#include <catch2/catch.hpp>

#include <corkward/quota/partition_leases.h>

namespace quota = corkward::quota;
using corkward::core::Milliseconds;

TEST_CASE("a lease is valid for its duration from when a majority of the members was asked for it") {
  std::vector<std::string> const members{"c1", "c2", "c3", "c4", "c5"};
  quota::PartitionLeases leases;
  leases.contend(1000, 3, 9);
  CHECK(leases.term(3) == 9);
  auto const grant = [&](std::string const& member, Milliseconds requestSentAt) {
    leases.onReply(member, {requestSentAt, {{3, 9, true, "c1"}}});
  };
  grant("c1", 1000);
  grant("c2", 1300);
  CHECK(leases.validUntil(3, members) <= 1000);
  grant("stranger", 1300);
  CHECK(leases.validUntil(3, members) <= 1000);
  grant("c4", 1200);
  CHECK(leases.validUntil(3, members) == 1000 + quota::partitionLeaseDuration);
  grant("c1", 1500);
  CHECK(leases.validUntil(3, members) == 1200 + quota::partitionLeaseDuration);
  CHECK(leases.validUntil(3, {"c2", "c4", "c5"}) == 1200 + quota::partitionLeaseDuration);
  CHECK(leases.validUntil(3, {"c5", "c6", "c2"}) <= 1000);
}

TEST_CASE("a controller whose term is superseded contends under a higher term") {
  quota::PartitionLeases leases;
  leases.contend(1000, 3, 9);
  leases.onReply("c2", {1000, {{3, 12, false, "c7"}}});
  leases.contend(1300, 3, 9);
  CHECK(leases.term(3) == 13);
  leases.onReply("c2", {1300, {{3, 4, false, ""}}});
  leases.contend(1600, 3, 9);
  CHECK(leases.term(3) == 13);
}
