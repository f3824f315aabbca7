#include <catch2/catch.hpp>

#include <map>
#include <set>

#include <corkward/dataplane/tenants.h>

namespace config = corkward::config;
namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace quota = corkward::quota;
namespace transport = corkward::transport;

namespace {

config::Tenant makeTenant(std::string const& name, std::string const& key, double perSecond) {
  config::Tenant result;
  result.name = name;
  result.keys = {key};
  result.ratePerSecond = perSecond;
  result.burst = perSecond;
  return result;
}

std::vector<std::string> const controllers{"c1", "c2", "c3", "c4"};

dataplane::Tenants tenantsWith(config::Tenant const& tenant, std::uint64_t seed = 1) {
  dataplane::Tenants tenants("n1", 7, seed, quota::OverdraftAllowance{});
  tenants.configure({tenant});
  tenants.setMembers(controllers, 3);
  return tenants;
}

/// A usage report and the controller that it was sent to.
struct SentReport {
  std::string to;
  quota::UsageReport report;
};

/// Admits one request of the tenant, for which the router has no allocation. Returns the report that requests the
/// amount.
SentReport requestAmount(dataplane::Tenants& tenants, core::Milliseconds now, config::Tenant const& tenant,
                         std::uint64_t call = 1) {
  std::vector<transport::Send> sends;
  REQUIRE(tenants.admit(now, call, tenant, 5, sends) == dataplane::Admission::pending);
  REQUIRE(sends.size() == 1);
  SentReport const sent{sends[0].to, std::get<quota::UsageReport>(sends[0].message)};
  CHECK(sent.report.link == "n1");
  CHECK(sent.report.incarnation == 7);
  REQUIRE(sent.report.usages.size() == 1);
  CHECK(sent.report.usages[0].tenant == tenant.name);
  CHECK(sent.report.usages[0].requestedAmount == 5);
  return sent;
}

/// The coordinator's reply to a report about the tenant "a".
quota::QuotaGrants replyTo(SentReport const& sent, std::uint64_t grantedAmount,
                           std::uint64_t admissionShare = quota::fractionUnits, std::uint64_t allocatedFraction = 0) {
  return {sent.report.reportNumber, {{"a", 1, 1, allocatedFraction, grantedAmount, admissionShare}}, {}};
}

}  // namespace

TEST_CASE("a key belongs to the tenant that the newest configuration gives it to, or to none") {
  dataplane::Tenants tenants("n1", 7, 1, quota::OverdraftAllowance{});
  CHECK_FALSE(tenants.required());
  tenants.configure({makeTenant("a", "ka", 0), makeTenant("b", "kb", 0)});
  CHECK(tenants.required());
  REQUIRE(tenants.byKey("kb") != nullptr);
  CHECK(tenants.byKey("kb")->name == "b");
  CHECK(tenants.byKey("") == nullptr);
  CHECK(tenants.byKey("kc") == nullptr);
  tenants.configure({makeTenant("a", "kb", 0)});
  CHECK(tenants.byKey("kb")->name == "a");
  CHECK(tenants.byKey("ka") == nullptr);
}

TEST_CASE("a request counts as one request, or as its tokens if the tenant's limit is in tokens") {
  config::Tenant limitedTenant = makeTenant("a", "k", 10);
  CHECK(dataplane::Tenants::amountOf(limitedTenant, 500) == 1.0);
  limitedTenant.inTokens = true;
  limitedTenant.defaultTokens = 200;
  CHECK(dataplane::Tenants::amountOf(limitedTenant, 500) == 500.0);
  CHECK(dataplane::Tenants::amountOf(limitedTenant, std::nullopt) == 200.0);
}

TEST_CASE("all routers send a tenant's reports to the same controller, and tenants spread over the controllers") {
  std::set<std::string> allTargets;
  for (int i = 0; i < 40; ++i) {
    config::Tenant const limitedTenant = makeTenant("t" + std::to_string(i), "k", 1000);
    std::set<std::string> targets;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      dataplane::Tenants tenants = tenantsWith(limitedTenant, seed);
      targets.insert(requestAmount(tenants, 1000, limitedTenant).to);
    }
    CHECK(targets.size() == 1);
    allTargets.insert(targets.begin(), targets.end());
  }
  CHECK(allTargets.size() == controllers.size());
}

TEST_CASE("reports go to another controller while the preferred one is unresponsive") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  std::string const preferred = requestAmount(tenants, 1000, limitedTenant).to;
  tenants.onTimer(1500, sends);
  SentReport const toOther = requestAmount(tenants, 1510, limitedTenant, 2);
  CHECK(toOther.to != preferred);
  tenants.onMessage(1520, toOther.to, {toOther.report.reportNumber, {}, {}}, sends);
  CHECK(requestAmount(tenants, 1530, limitedTenant, 3).to == toOther.to);
  CHECK(requestAmount(tenants, 3600, limitedTenant, 4).to == preferred);
}

TEST_CASE("a waiting request is granted, rejected, or sent to the announced owner, as the reply says") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  SentReport const granted = requestAmount(tenants, 1000, limitedTenant, 1);
  std::vector<dataplane::QuotaDecision> decisions = tenants.onMessage(1004, granted.to, replyTo(granted, 5), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].call == 1);
  CHECK(decisions[0].admission == dataplane::Admission::granted);
  CHECK(decisions[0].amountTakenAt == 1000);

  SentReport const redirected = requestAmount(tenants, 1100, limitedTenant, 2);
  std::string const owner = redirected.to == "c1" ? "c2" : "c1";
  sends.clear();
  CHECK(tenants
            .onMessage(1104, redirected.to, {redirected.report.reportNumber, {}, {{quota::partitionOf("a"), owner}}},
                       sends)
            .empty());
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].to == owner);

  sends.clear();
  SentReport const rejected = requestAmount(tenants, 1200, limitedTenant, 3);
  decisions = tenants.onMessage(1204, rejected.to, replyTo(rejected, 0), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission == dataplane::Admission::rejectedByCoordinator);
}

TEST_CASE("a reply counts once, and only from the controller that the report was sent to") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  SentReport const sent = requestAmount(tenants, 1000, limitedTenant);
  CHECK(tenants.onMessage(1002, "stranger", replyTo(sent, 5), sends).empty());
  quota::QuotaGrants toUnknownReport = replyTo(sent, 5);
  toUnknownReport.reportNumber += 17;
  CHECK(tenants.onMessage(1002, sent.to, toUnknownReport, sends).empty());
  CHECK(tenants.onMessage(1004, sent.to, replyTo(sent, 5), sends).size() == 1);
  CHECK(tenants.onMessage(1006, sent.to, replyTo(sent, 5), sends).empty());
}

TEST_CASE("without a reply a request is decided on after a quarter of a second, without an allocation") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  requestAmount(tenants, 1000, limitedTenant);
  CHECK(tenants.onTimer(1240, sends).empty());
  std::vector<dataplane::QuotaDecision> const decisions = tenants.onTimer(1260, sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission == dataplane::Admission::rejectedWithoutCoordinator);
}

TEST_CASE("a reply to a report that was sent before an allocation query is ignored") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  SentReport const sent = requestAmount(tenants, 1000, limitedTenant);
  transport::Send const allocations =
      tenants.onMessage(1001, "c9", quota::AllocationQuery{{{quota::partitionOf("a"), 4}}});
  CHECK(allocations.to == "c9");
  CHECK(std::get<quota::AllocationReport>(allocations.message).usages.empty());
  std::vector<dataplane::QuotaDecision> const decisions = tenants.onMessage(1004, sent.to, replyTo(sent, 5), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission != dataplane::Admission::granted);
}

TEST_CASE("the fraction of requests that the coordinator's reply states is admitted") {
  config::Tenant const limitedTenant = makeTenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsWith(limitedTenant);
  std::vector<transport::Send> sends;
  SentReport sent = requestAmount(tenants, 1020, limitedTenant);
  tenants.onMessage(1030, sent.to, replyTo(sent, 5, 0), sends);
  for (std::uint64_t i = 0; i < 50; ++i)
    CHECK(tenants.admit(1040, 100 + i, limitedTenant, 5, sends) == dataplane::Admission::rejectedByAllocation);
  dataplane::Tenants half = tenantsWith(limitedTenant);
  sent = requestAmount(half, 1020, limitedTenant);
  half.onMessage(1030, sent.to, replyTo(sent, 100000, quota::fractionUnits / 2, quota::fractionUnits), sends);
  int admitted = 0;
  for (std::uint64_t i = 0; i < 1000; ++i)
    admitted += half.admit(1040, 200 + i, limitedTenant, 0.01, sends) == dataplane::Admission::granted ? 1 : 0;
  CHECK(admitted > 400);
  CHECK(admitted < 600);
}
