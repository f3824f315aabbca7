#include <catch2/catch.hpp>

#include <map>
#include <set>

#include <corkward/dataplane/tenants.h>

namespace config = corkward::config;
namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace transport = corkward::transport;

namespace {

config::Tenant tenant(std::string const& name, std::string const& key, double perSecond) {
  config::Tenant out;
  out.name = name;
  out.keys = {key};
  out.perSecond = perSecond;
  out.burst = perSecond;
  return out;
}

std::vector<std::string> const controllers{"c1", "c2", "c3", "c4"};

/// Sends one request of the tenant and returns to which controller it is reported.
std::string reportedTo(dataplane::Tenants& tenants, core::Tick now, config::Tenant const& of) {
  tenants.admit(now, of, 5);
  tenants.used(of.name, 5);
  std::vector<transport::Send> const sends = tenants.clockEvent(now, controllers);
  REQUIRE(sends.size() == 1);
  auto const& report = std::get<transport::QuotaReport>(sends[0].message);
  CHECK(report.link == "n1");
  REQUIRE(report.uses.size() == 1);
  CHECK(report.uses[0].tenant == of.name);
  CHECK(report.uses[0].demanded == 5);
  CHECK(report.uses[0].admitted == 5);
  return sends[0].to;
}

}  // namespace

TEST_CASE("a key belongs to the tenant of the configuration in force, and to nobody once it is taken away") {
  dataplane::Tenants tenants("n1", 1);
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
  t.plainTokens = 200;
  CHECK(dataplane::Tenants::amountOf(t, 500) == 500.0);
  CHECK(dataplane::Tenants::amountOf(t, std::nullopt) == 200.0);
}

TEST_CASE("all routers report a tenant to the same controller, and tenants spread over the controllers") {
  std::set<std::string> used;
  for (int i = 0; i < 40; ++i) {
    config::Tenant const t = tenant("t" + std::to_string(i), "k", 1000);
    std::set<std::string> at;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      dataplane::Tenants tenants("n1", seed);
      tenants.configure({t});
      at.insert(reportedTo(tenants, 1000, t));
    }
    CHECK(at.size() == 1);
    used.insert(at.begin(), at.end());
  }
  CHECK(used.size() == controllers.size());
}

TEST_CASE("a controller that does not answer reports is passed over for the next one, and comes back") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants("n1", 1);
  tenants.configure({t});
  std::string const first = reportedTo(tenants, 1000, t);
  std::string const second = reportedTo(tenants, 1500, t);
  CHECK(second != first);
  tenants.arrived(1510, second, {{{"a", transport::wholeShare, 10}}});
  CHECK(reportedTo(tenants, 2000, t) == second);
  tenants.arrived(2010, second, {{{"a", transport::wholeShare, 10}}});
  CHECK(reportedTo(tenants, 3600, t) == first);
}

TEST_CASE("the share that a meter answers with is admitted, and nothing else is believed") {
  config::Tenant const t = tenant("a", "k", 1000);
  dataplane::Tenants tenants("n1", 1);
  tenants.configure({t});
  tenants.arrived(900, "c1", {{{"a", 0, 10}}});
  std::string const keeper = reportedTo(tenants, 1000, t);
  tenants.arrived(1010, "stranger", {{{"a", 0, 10}}});
  CHECK(tenants.admit(1020, t, 5));
  tenants.arrived(1030, keeper, {{{"a", 0, 10}}});
  for (int i = 0; i < 50; ++i) CHECK_FALSE(tenants.admit(1040, t, 5));
  tenants.arrived(1050, keeper, {{{"a", transport::wholeShare / 2, 10}}});
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) admitted += tenants.admit(1060, t, 5) ? 1 : 0;
  CHECK(admitted > 400);
  CHECK(admitted < 600);
}
