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

/// One node of its own seed before a pool that keeps parts of prompts.
struct Node {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;
  std::uint64_t open = 1;

  static dataplane::RouterTuning tuning() {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters.excessPerReplica = 0.005;
    t.scalerParameters.initialLimit = 1.0;
    t.scalerParameters.minLimit = 0.05;
    t.scalerParameters.maxLimit = 1000;
    t.scalerParameters.limitRaiseLatencyRatio = 0.7;
    t.scalerParameters.limitDecay = 0.9;
    return t;
  }

  explicit Node(int replicas, std::uint64_t seed) : reducer(self(seed), {"s1"}, seed, tuning()) {
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

  /// All that is in flight ends whole.
  void end() {
    for (; open < next; ++open) {
      reducer.onFirstByte(now, open, true);
      reducer.onUpstreamFinished(now, open, dataplane::UpstreamResult::complete);
    }
  }

  /// Address that a prompt of these parts is sent to; it stays in flight there.
  std::string sendRequest(std::uint64_t shared, std::int64_t sharedTokens, std::int64_t own) {
    dataplane::Request r;
    r.call = next++;
    r.host = "h";
    r.target = "/p/x";
    r.id = "r" + std::to_string(r.call);
    r.attempt = 1;
    r.segments = {{1, 300}, {shared, sharedTokens}, {1000000 + r.call, own}};
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

TEST_CASE("nodes that know nothing of each other send a shared part to the same replica from its first request on") {
  for (std::uint64_t shared = 10; shared < 40; ++shared) {
    std::set<std::string> at;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      Node node(60, seed);
      at.insert(node.sendRequest(shared, 5000, 1000));
    }
    CHECK(at.size() == 1);
  }
}

TEST_CASE("prompts that cannot be read within their aim go to a share of the pool's replicas, which gets no others") {
  std::set<std::string> apart;
  std::set<std::string> others;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Node node(60, seed);
    for (std::uint64_t shared = 10; shared < 410; ++shared) {
      bool const tooLong = shared % 40 == 0;
      (tooLong ? apart : others).insert(node.sendRequest(shared, 500, tooLong ? 40000 : 2000));
      node.now += 20;
      node.reducer.onTimer(node.now);
      node.end();
    }
  }
  CHECK(apart.size() <= 5);
  CHECK(others.size() >= 50);
  for (std::string const& a : apart) CHECK(others.count(a) == 0);
}

TEST_CASE("a pool of few replicas takes no prompts apart") {
  Node few(9, 1);
  std::set<std::string> at;
  for (std::uint64_t shared = 10; shared < 210; ++shared) {
    at.insert(few.sendRequest(shared, 500, 40000));
    few.end();
  }
  CHECK(at.size() == 9);
  Node one(1, 1);
  CHECK(one.sendRequest(10, 500, 40000) == "10.0.0.1:80");
}
