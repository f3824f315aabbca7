#include <catch2/catch.hpp>

#include <corkward/quota/partition_lease_grants.h>

namespace quota = corkward::quota;
using corkward::core::Milliseconds;
using quota::GrantPermission;
using quota::partitionLeaseDuration;

namespace {

quota::PartitionLeaseRequest request(std::string const& link, std::uint64_t term, Milliseconds sentAt,
                                     std::uint64_t incarnation = 1) {
  return {sentAt, link, incarnation, false, {{3, term}}};
}

bool granted(quota::PartitionLeaseReply const& reply) {
  return reply.decisions.at(0).granted;
}

}  // namespace

TEST_CASE("a member grants a partition to one holder at a time, under a rising term") {
  quota::PartitionLeaseGrants grants;
  CHECK(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::all)));
  CHECK(grants.holder(1100, 3) == "c1");
  quota::PartitionLeaseReply const rejected = grants.onRequest(1100, request("c2", 6, 1090), GrantPermission::all);
  CHECK_FALSE(granted(rejected));
  CHECK(rejected.decisions[0].holder == "c1");
  CHECK(rejected.decisions[0].term == 5);
  Milliseconds const renewed = 1000 + partitionLeaseDuration - 100;
  Milliseconds const expired = renewed + partitionLeaseDuration;
  CHECK(granted(grants.onRequest(renewed, request("c1", 5, renewed - 10), GrantPermission::all)));
  CHECK_FALSE(granted(grants.onRequest(expired - 1, request("c2", 6, 0), GrantPermission::all)));
  CHECK_FALSE(granted(grants.onRequest(expired, request("c2", 5, 0), GrantPermission::all)));
  CHECK(granted(grants.onRequest(expired, request("c2", 6, 0), GrantPermission::all)));
}

TEST_CASE("a member that may have forgotten its grants grants nothing; one with a new membership renews only") {
  quota::PartitionLeaseGrants grants;
  CHECK_FALSE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::none)));
  CHECK_FALSE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::renewals)));
  CHECK(granted(grants.onRequest(1100, request("c1", 5, 1090), GrantPermission::all)));
  CHECK(granted(grants.onRequest(1200, request("c1", 5, 1190), GrantPermission::renewals)));
  CHECK_FALSE(granted(grants.onRequest(1300, request("c1", 5, 1290), GrantPermission::none)));
  CHECK_FALSE(granted(grants.onRequest(1300, request("c1", 5, 1290, 2), GrantPermission::all)));
}

TEST_CASE("a released lease is free at once, and only its holder can release it") {
  quota::PartitionLeaseGrants grants;
  REQUIRE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::all)));
  quota::PartitionLeaseRequest stranger = request("c2", 5, 990);
  stranger.release = true;
  grants.onRequest(1010, stranger, GrantPermission::all);
  CHECK(grants.holder(1010, 3) == "c1");
  quota::PartitionLeaseRequest own = request("c1", 5, 990);
  own.release = true;
  grants.onRequest(1020, own, GrantPermission::all);
  CHECK(grants.holder(1020, 3).empty());
  CHECK(granted(grants.onRequest(1030, request("c2", 6, 1020), GrantPermission::all)));
}
