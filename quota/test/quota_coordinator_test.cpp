#include <catch2/catch.hpp>

#include <corkward/quota/quota_coordinator.h>

namespace quota = corkward::quota;

namespace {

quota::UsageReport report(std::string const& link, std::string const& tenant) {
  quota::TenantUsage use;
  use.tenant = tenant;
  use.wanted = 5;
  return {link, 1, 9, {use}};
}

}  // namespace

TEST_CASE("a report in another's name is not taken; one of a tenant without a limit here is answered in full") {
  quota::QuotaCoordinator lender("c1", 1, quota::OverdraftAllowance{});
  lender.configure(0, {{"a", {1000, 1000}}});
  quota::MembershipView const standing;
  CHECK(lender.arrived(10, "n1", report("n2", "a"), standing).empty());
  std::vector<quota::Send> const sends = lender.arrived(10, "n1", report("n1", "free"), standing);
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].to == "n1");
  quota::QuotaGrants const loans = std::get<quota::QuotaGrants>(sends[0].message);
  CHECK(loans.reportNumber == 9);
  REQUIRE(loans.grants.size() == 1);
  CHECK(loans.grants[0].amount == 5);
}

TEST_CASE("who holds no term lends nothing and names nobody") {
  quota::QuotaCoordinator lender("c1", 1, quota::OverdraftAllowance{});
  lender.configure(0, {{"a", {1000, 1000}}});
  std::vector<quota::Send> const sends = lender.arrived(10, "n1", report("n1", "a"), quota::MembershipView{});
  REQUIRE(sends.size() == 1);
  quota::QuotaGrants const loans = std::get<quota::QuotaGrants>(sends[0].message);
  CHECK(loans.grants.empty());
  REQUIRE(loans.partitionOwners.size() == 1);
  CHECK(loans.partitionOwners[0].coordinator.empty());
}
