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

TEST_CASE("a member grants the lease on a partition to one holder at a time, under rising terms") {
  quota::PartitionLeaseGrants grants;
  CHECK(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::all)));
  CHECK(grants.holder(1100, 3) == "c1");
  quota::PartitionLeaseReply const rejected = grants.onRequest(1100, request("c2", 6, 1090), GrantPermission::all);
  CHECK_FALSE(granted(rejected));
  CHECK(rejected.decisions[0].holder == "c1");
  CHECK(rejected.decisions[0].term == 5);
  Milliseconds const renewedAt = 1000 + partitionLeaseDuration - 100;
  Milliseconds const expiresAt = renewedAt + partitionLeaseDuration;
  CHECK(granted(grants.onRequest(renewedAt, request("c1", 5, renewedAt - 10), GrantPermission::all)));
  CHECK_FALSE(granted(grants.onRequest(expiresAt - 1, request("c2", 6, 0), GrantPermission::all)));
  CHECK_FALSE(granted(grants.onRequest(expiresAt, request("c2", 5, 0), GrantPermission::all)));
  CHECK(granted(grants.onRequest(expiresAt, request("c2", 6, 0), GrantPermission::all)));
}

TEST_CASE("a member grants no lease if it may have forgotten grants, and only renews leases under a new membership") {
  quota::PartitionLeaseGrants grants;
  CHECK_FALSE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::none)));
  CHECK_FALSE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::renewals)));
  CHECK(granted(grants.onRequest(1100, request("c1", 5, 1090), GrantPermission::all)));
  CHECK(granted(grants.onRequest(1200, request("c1", 5, 1190), GrantPermission::renewals)));
  CHECK_FALSE(granted(grants.onRequest(1300, request("c1", 5, 1290), GrantPermission::none)));
  CHECK_FALSE(granted(grants.onRequest(1300, request("c1", 5, 1290, 2), GrantPermission::all)));
}

TEST_CASE("a lease that its holder releases can be granted at once, and no other controller can release it") {
  quota::PartitionLeaseGrants grants;
  REQUIRE(granted(grants.onRequest(1000, request("c1", 5, 990), GrantPermission::all)));
  quota::PartitionLeaseRequest releaseByOther = request("c2", 5, 990);
  releaseByOther.release = true;
  grants.onRequest(1010, releaseByOther, GrantPermission::all);
  CHECK(grants.holder(1010, 3) == "c1");
  quota::PartitionLeaseRequest releaseByHolder = request("c1", 5, 990);
  releaseByHolder.release = true;
  grants.onRequest(1020, releaseByHolder, GrantPermission::all);
  CHECK(grants.holder(1020, 3).empty());
  CHECK(granted(grants.onRequest(1030, request("c2", 6, 1020), GrantPermission::all)));
}
