#include <catch2/catch.hpp>

#include <corkward/quota/quota_coordinator.h>

namespace quota = corkward::quota;

namespace {

quota::UsageReport report(std::string const& link, std::string const& tenant) {
  quota::TenantUsage usage;
  usage.tenant = tenant;
  usage.requestedAmount = 5;
  return {link, 1, 9, {usage}};
}

quota::QuotaCoordinator coordinator() {
  quota::QuotaCoordinator out("c1", 1, quota::OverdraftAllowance{});
  out.configure(0, {{"a", {1000, 1000}}});
  return out;
}

}  // namespace

TEST_CASE(
    "a report with another sender's address is ignored, and a tenant without a limit is granted the full amount") {
  quota::QuotaCoordinator coordinator = ::coordinator();
  quota::MembershipView const view;
  CHECK(coordinator.onMessage(10, "n1", report("n2", "a"), view).empty());
  std::vector<quota::Send> const sends = coordinator.onMessage(10, "n1", report("n1", "free"), view);
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].to == "n1");
  quota::QuotaGrants const reply = std::get<quota::QuotaGrants>(sends[0].message);
  CHECK(reply.reportNumber == 9);
  REQUIRE(reply.grants.size() == 1);
  CHECK(reply.grants[0].grantedAmount == 5);
}

TEST_CASE("a controller that owns no partition grants nothing and names no owner") {
  quota::QuotaCoordinator coordinator = ::coordinator();
  std::vector<quota::Send> const sends = coordinator.onMessage(10, "n1", report("n1", "a"), quota::MembershipView{});
  REQUIRE(sends.size() == 1);
  quota::QuotaGrants const reply = std::get<quota::QuotaGrants>(sends[0].message);
  CHECK(reply.grants.empty());
  REQUIRE(reply.partitionOwners.size() == 1);
  CHECK(reply.partitionOwners[0].coordinator.empty());
}
