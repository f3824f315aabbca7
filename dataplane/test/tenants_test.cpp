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

config::Tenant tenant(std::string const& name, std::string const& key, double perSecond) {
  config::Tenant out;
  out.name = name;
  out.keys = {key};
  out.ratePerSecond = perSecond;
  out.burst = perSecond;
  return out;
}

std::vector<std::string> const controllers{"c1", "c2", "c3", "c4"};

dataplane::Tenants tenantsOf(config::Tenant const& of, std::uint64_t seed = 1) {
  dataplane::Tenants tenants("n1", 7, seed, quota::OverdraftAllowance{});
  tenants.configure({of});
  tenants.setMembers(controllers, 3);
  return tenants;
}

struct Asked {
  std::string to;
  quota::UsageReport report;
};

/// Sends one request of the tenant, for which nothing was lent, and returns what is asked of whom.
Asked askedFor(dataplane::Tenants& tenants, core::Milliseconds now, config::Tenant const& of, std::uint64_t call = 1) {
  std::vector<transport::Send> sends;
  REQUIRE(tenants.admit(now, call, of, 5, sends) == dataplane::Admission::pending);
  REQUIRE(sends.size() == 1);
  Asked const asked{sends[0].to, std::get<quota::UsageReport>(sends[0].message)};
  CHECK(asked.report.link == "n1");
  CHECK(asked.report.incarnation == 7);
  REQUIRE(asked.report.usages.size() == 1);
  CHECK(asked.report.usages[0].tenant == of.name);
  CHECK(asked.report.usages[0].requestedAmount == 5);
  return asked;
}

quota::QuotaGrants answer(Asked const& asked, std::uint64_t amount, std::uint64_t share = quota::fractionUnits,
                          std::uint64_t fraction = 0) {
  return {asked.report.reportNumber, {{"a", 1, 1, fraction, amount, share}}, {}};
}

}  // namespace

TEST_CASE("a key belongs to the tenant of the configuration in force, and to nobody once it is taken away") {
  dataplane::Tenants tenants("n1", 7, 1, quota::OverdraftAllowance{});
  CHECK_FALSE(tenants.required());
  tenants.configure({tenant("a", "ka", 0), tenant("b", "kb", 0)});
  CHECK(tenants.required());
  REQUIRE(tenants.byKey("kb") != nullptr);
  CHECK(tenants.byKey("kb")->name == "b");
  CHECK(tenants.byKey("") == nullptr);
  CHECK(tenants.byKey("kc") == nullptr);
  tenants.configure({tenant("a", "kb", 0)});
  CHECK(tenants.byKey("kb")->name == "a");
  CHECK(tenants.byKey("ka") == nullptr);
}

TEST_CASE("a request counts as its tokens, as what stands for them when it does not say, or as one request") {
  config::Tenant t = tenant("a", "k", 10);
  CHECK(dataplane::Tenants::amountOf(t, 500) == 1.0);
  t.inTokens = true;
  t.defaultTokens = 200;
  CHECK(dataplane::Tenants::amountOf(t, 500) == 500.0);
  CHECK(dataplane::Tenants::amountOf(t, std::nullopt) == 200.0);
}

TEST_CASE("all routers ask the same controller for a tenant, and tenants spread over the controllers") {
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    config::Tenant const t = tenant("t" + std::to_string(i), "k", 1000);
    std::set<std::string> at;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      dataplane::Tenants tenants = tenantsOf(t, seed);
      at.insert(askedFor(tenants, 1000, t).to);
    }
    CHECK(at.size() == 1);
    used.insert(at.begin(), at.end());
  }
  CHECK(used.size() == controllers.size());
}

TEST_CASE("a controller that does not answer is passed over for the next one, and comes back") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  std::string const first = askedFor(tenants, 1000, t).to;
  tenants.onTimer(1500, sends);
  Asked const second = askedFor(tenants, 1510, t, 2);
  CHECK(second.to != first);
  tenants.onMessage(1520, second.to, {second.report.reportNumber, {}, {}}, sends);
  CHECK(askedFor(tenants, 1530, t, 3).to == second.to);
  CHECK(askedFor(tenants, 3600, t, 4).to == first);
}

TEST_CASE("a request waits for its amount: all of it is lent, nothing is left, or another lends") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  Asked const granted = askedFor(tenants, 1000, t, 1);
  std::vector<dataplane::QuotaDecision> decisions = tenants.onMessage(1004, granted.to, answer(granted, 5), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].call == 1);
  CHECK(decisions[0].admission == dataplane::Admission::granted);
  CHECK(decisions[0].amountTakenAt == 1000);

  Asked const elsewhere = askedFor(tenants, 1100, t, 2);
  std::string const other = elsewhere.to == "c1" ? "c2" : "c1";
  sends.clear();
  CHECK(
      tenants
          .onMessage(1104, elsewhere.to, {elsewhere.report.reportNumber, {}, {{quota::partitionOf("a"), other}}}, sends)
          .empty());
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].to == other);

  sends.clear();
  Asked const refused = askedFor(tenants, 1200, t, 3);
  decisions = tenants.onMessage(1204, refused.to, answer(refused, 0), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission == dataplane::Admission::rejectedByCoordinator);
}

TEST_CASE("nobody is believed but the controller that was asked, and only for the report that it answers") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  Asked const asked = askedFor(tenants, 1000, t);
  CHECK(tenants.onMessage(1002, "stranger", answer(asked, 5), sends).empty());
  quota::QuotaGrants other = answer(asked, 5);
  other.reportNumber += 17;
  CHECK(tenants.onMessage(1002, asked.to, other, sends).empty());
  CHECK(tenants.onMessage(1004, asked.to, answer(asked, 5), sends).size() == 1);
  CHECK(tenants.onMessage(1006, asked.to, answer(asked, 5), sends).empty());
}

TEST_CASE("a request without an answer is decided on within a quarter of a second, by what no loan is needed for") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  askedFor(tenants, 1000, t);
  CHECK(tenants.onTimer(1240, sends).empty());
  std::vector<dataplane::QuotaDecision> const decisions = tenants.onTimer(1260, sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission == dataplane::Admission::rejectedWithoutCoordinator);
}

TEST_CASE("answers to reports from before a claim was made count no more") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  Asked const asked = askedFor(tenants, 1000, t);
  transport::Send const claim = tenants.onMessage(1001, "c9", quota::AllocationQuery{{{quota::partitionOf("a"), 4}}});
  CHECK(claim.to == "c9");
  CHECK(std::get<quota::AllocationReport>(claim.message).usages.empty());
  std::vector<dataplane::QuotaDecision> const decisions = tenants.onMessage(1004, asked.to, answer(asked, 5), sends);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].admission != dataplane::Admission::granted);
}

TEST_CASE("the share that a lender answers with is admitted") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants = tenantsOf(t);
  std::vector<transport::Send> sends;
  Asked asked = askedFor(tenants, 1020, t);
  tenants.onMessage(1030, asked.to, answer(asked, 5, 0), sends);
  for (std::uint64_t i = 0; i < 50; ++i)
    CHECK(tenants.admit(1040, 100 + i, t, 5, sends) == dataplane::Admission::rejectedByAllocation);
  dataplane::Tenants half = tenantsOf(t);
  asked = askedFor(half, 1020, t);
  half.onMessage(1030, asked.to, answer(asked, 100000, quota::fractionUnits / 2, quota::fractionUnits), sends);
  int admitted = 0;
  for (std::uint64_t i = 0; i < 1000; ++i)
    admitted += half.admit(1040, 200 + i, t, 0.01, sends) == dataplane::Admission::granted ? 1 : 0;
  CHECK(admitted > 400);
  CHECK(admitted < 600);
}
