#include <catch2/catch.hpp>

#include <corkward/control/quota_meters.h>

namespace config = corkward::config;
namespace control = corkward::control;
namespace transport = corkward::transport;

namespace {

config::Tenant tenant(std::string const& name, double perSecond) {
  config::Tenant out;
  out.name = name;
  out.perSecond = perSecond;
  out.burst = perSecond;
  return out;
}

transport::QuotaReport report(std::string const& link, std::uint64_t amount) {
  return {link, {{"a", amount, amount}}};
}

transport::QuotaShare shareIn(std::vector<transport::Send> const& sends, std::string const& to) {
  for (transport::Send const& s : sends)
    if (s.to == to) return std::get<transport::QuotaShares>(s.message).shares.at(0);
  FAIL("nothing is sent to " << to);
  return {};
}

}  // namespace

TEST_CASE("a meter sums up what all routers report, and tells the others of a share that falls") {
  control::QuotaMeters meters({});
  meters.configure(0, {tenant("a", 1000)});
  CHECK(shareIn(meters.arrived(1000, "n1", report("n1", 100)), "n1").share == transport::wholeShare);
  CHECK(meters.clockEvent(1000).empty());
  CHECK(meters.clockEvent(1060).empty());
  transport::QuotaShare const hot = shareIn(meters.arrived(1100, "n2", report("n2", 5000)), "n2");
  CHECK(hot.tenant == "a");
  CHECK(hot.share == 0);
  CHECK(hot.demand > 5000);
  std::vector<transport::Send> const told = meters.clockEvent(1160);
  REQUIRE(told.size() == 1);
  CHECK(shareIn(told, "n1").share == 0);
  CHECK(meters.clockEvent(1220).empty());
  std::vector<transport::Send> const calm = meters.clockEvent(9000);
  CHECK(shareIn(calm, "n1").share == transport::wholeShare);
  CHECK(shareIn(calm, "n2").share == transport::wholeShare);
}

TEST_CASE("a report is answered even when its tenant has no limit here; one in another's name is not taken") {
  control::QuotaMeters meters({});
  CHECK(meters.arrived(0, "n1", report("n1", 5)).size() == 1);
  CHECK(meters.meters() == 0);
  meters.configure(0, {tenant("a", 1000)});
  CHECK(meters.arrived(0, "n1", report("n2", 5)).empty());
  CHECK(meters.meters() == 0);
}

TEST_CASE("meters go with their tenants, and a limit that changes binds at once") {
  control::QuotaMeters meters({});
  meters.configure(0, {tenant("a", 1000)});
  meters.arrived(0, "n1", report("n1", 500));
  CHECK(meters.meters() == 1);
  meters.configure(0, {tenant("a", 10)});
  CHECK(shareIn(meters.arrived(100, "n1", report("n1", 500)), "n1").share < transport::wholeShare / 10);
  meters.configure(0, {tenant("b", 10)});
  CHECK(meters.meters() == 0);
}
