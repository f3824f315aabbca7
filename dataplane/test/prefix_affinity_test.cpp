#include <catch2/catch.hpp>

#include <QJsonArray>
#include <set>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>

namespace config = corkward::config;
namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace transport = corkward::transport;

namespace {

/// A router with its own random seed, and one pool whose replicas cache prompt prefixes.
struct RouterFixture {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t nextCall = 1;
  /// First call that has not ended yet.
  std::uint64_t firstOpenCall = 1;

  static dataplane::RouterTuning tuning() {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters = corkward::scaling::sharedReplicasParameters;
    return t;
  }

  explicit RouterFixture(int replicas, std::uint64_t seed) : reducer(self(seed), {"s1"}, seed, tuning()) {
    reducer.started(0);
    QJsonArray list;
    for (int i = 1; i <= replicas; ++i)
      list.append(QJsonObject{
          {"address", core::toQString("10.0.0." + std::to_string(i) + ":80")}, {"zone", "z1"}, {"state", "serving"}});
    QJsonObject const spec =
        core::parseJson(R"({"version":1,"pools":[{"name":"model","slots":24,"tokens":400000}],"paths":[
      {"name":"s","host":"h","prefix":"/p/","kind":"stream","deadlineMs":12000,"aimMs":600,"pool":"model","affine":true}]})")
            .toObject();
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{config::fleetConfigurationKey, 1, QJsonObject{{"spec", spec}}},
                      {"pool:model", 1, QJsonObject{{"generation", 1}, {"replicas", list}}}};
    reducer.onMessage(now, "s1", update);
  }

  static transport::Contact self(std::uint64_t seed) {
    transport::Contact c;
    c.link = "n" + std::to_string(seed);
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }

  /// Completes all requests that are in flight.
  void completeAll() {
    for (; firstOpenCall < nextCall; ++firstOpenCall) {
      reducer.onFirstByte(now, firstOpenCall, true);
      reducer.onUpstreamFinished(now, firstOpenCall, dataplane::UpstreamResult::complete);
    }
  }

  /// Sends a request whose prompt has these segments. Returns the address of its replica, where it stays in flight.
  std::string sendRequest(std::uint64_t shared, std::int64_t sharedTokens, std::int64_t ownTokens) {
    dataplane::Request r;
    r.call = nextCall++;
    r.host = core::HostName("h");
    r.target = "/p/x";
    r.id = "r" + std::to_string(r.call);
    r.attempt = 1;
    r.segments = {{1, 300}, {shared, sharedTokens}, {1000000 + r.call, ownTokens}};
    for (dataplane::CallCommand const& c : reducer.onRequest(now, r).calls)
      if (dataplane::Connect const* const m = std::get_if<dataplane::Connect>(&c)) {
        std::string const address = m->address;
        reducer.onConnected(now, r.call);
        return address;
      }
    return "";
  }
};

}  // namespace

TEST_CASE(
    "routers without contact to each other send a shared prompt segment to the same replica from the first request "
    "on") {
  for (std::uint64_t shared = 10; shared < 40; ++shared) {
    std::set<std::string> addresses;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      RouterFixture router(60, seed);
      addresses.insert(router.sendRequest(shared, 5000, 1000));
    }
    CHECK(addresses.size() == 1);
  }
}

TEST_CASE("prompts too long for the latency target go to a few reserved replicas, which get no other prompts") {
  std::set<std::string> reserved;
  std::set<std::string> others;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RouterFixture router(60, seed);
    for (std::uint64_t shared = 10; shared < 410; ++shared) {
      bool const tooLong = shared % 40 == 0;
      (tooLong ? reserved : others).insert(router.sendRequest(shared, 500, tooLong ? 40000 : 2000));
      router.now += 20;
      router.reducer.onTimer(router.now);
      router.completeAll();
    }
  }
  CHECK(reserved.size() <= 5);
  CHECK(others.size() >= 50);
  for (std::string const& a : reserved) CHECK(others.count(a) == 0);
}

TEST_CASE("a pool with few replicas reserves none for long prompts") {
  RouterFixture few(9, 1);
  std::set<std::string> addresses;
  for (std::uint64_t shared = 10; shared < 210; ++shared) {
    addresses.insert(few.sendRequest(shared, 500, 40000));
    few.completeAll();
  }
  CHECK(addresses.size() == 9);
  RouterFixture one(1, 1);
  CHECK(one.sendRequest(10, 500, 40000) == "10.0.0.1:80");
}
