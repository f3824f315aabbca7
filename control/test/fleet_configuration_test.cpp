#include <catch2/catch.hpp>

#include <QJsonArray>
#include <algorithm>
#include <functional>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/control/validator.h>

#include "simulated_cluster.h"

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace consensus = corkward::consensus;
namespace config = corkward::config;
namespace control = corkward::control;
using control::ControllerHarness;
using control::page;
using control::patchOf;
using control::pathSpec;
using control::SimulatedCluster;
using control::spec;

namespace {

/// Sends calls on the fleet configuration and waits for each response.
struct OperatorClient {
  ControllerHarness harness;
  control::OperatorResponse lastResponse;

  int call(std::string const& method, std::string const& body = "", std::string const& ifMatch = "",
           std::string const& id = "") {
    std::uint64_t const t = harness.call(method, page, body, ifMatch, id);
    harness.run(700);
    lastResponse = harness.responses[t];
    return lastResponse.status;
  }
  int put(QJsonObject const& value, std::string const& ifMatch, std::string const& id = "") {
    return call("PUT", core::jsonText(value), ifMatch, id);
  }
  int patch(QJsonObject const& value, std::string const& ifMatch, std::string const& id = "") {
    return call("PATCH", core::jsonText(value), ifMatch, id);
  }
  qint64 version() {
    call("GET");
    return lastResponse.body.value("version").toInteger();
  }
};

}  // namespace

TEST_CASE("the fleet configuration is created, read and patched on the version that a call names") {
  OperatorClient client;
  client.harness.runningRouters = {"a", "b", "c"};
  client.harness.run(6000);
  CHECK(client.call("GET") == 404);
  CHECK(client.patch(patchOf(5, {"b"}), "0") == 404);
  CHECK(client.put(spec(5), "") == 428);
  CHECK(client.put(spec(5), "1") == 412);
  REQUIRE(client.put(spec(5), "0", "first") == 201);
  CHECK(client.lastResponse.body.value("version").toInteger() == 5);
  CHECK(client.lastResponse.body.value("stamp").toInteger() == 1);
  CHECK(client.lastResponse.body.value("inForce").toBool());
  CHECK(client.call("GET") == 200);
  CHECK(client.lastResponse.body.value("spec").toObject() == spec(5));
  CHECK((client.lastResponse.body.value("version").toInteger() == 5 &&
         client.lastResponse.body.value("stamp").toInteger() == 1));
  CHECK(client.patch(patchOf(9, {"b"}), "\"5\"", "second") == 200);
  CHECK((client.lastResponse.body.value("version").toInteger() == 9 &&
         client.lastResponse.body.value("stamp").toInteger() == 2));
  CHECK(client.call("GET") == 200);
  CHECK(client.lastResponse.body.value("spec").toObject() == spec(9, {"a", "b"}));
  CHECK(client.put(spec(20), "5") == 412);
  CHECK((client.lastResponse.body.value("version").toInteger() == 9 &&
         client.lastResponse.body.value("stamp").toInteger() == 2));
  CHECK(client.patch(patchOf(20, {"c"}), "2") == 412);
  CHECK(client.call("DELETE", "", "9") == 405);
  CHECK(client.version() == 9);
  QJsonObject const stored = client.harness.controller.registers().committed().at(config::fleetConfigurationKey).value;
  CHECK(stored.keys() == QStringList{"changes", "spec", "taken"});
  std::uint64_t const statusToken = client.harness.call("GET", "/v1/changes/second");
  CHECK((client.harness.statusOf(statusToken) == 200 &&
         client.harness.responses[statusToken].body.value("version").toInteger() == 9));
}

TEST_CASE("an invalid change of the fleet configuration changes nothing") {
  OperatorClient client;
  REQUIRE(client.put(spec(5), "0") == 201);
  struct RejectedChange {
    char const* method;
    std::string body;
    int status;
    char const* pointer;
  };
  QJsonObject unknownPool = spec(6);
  unknownPool.insert("paths", QJsonArray{pathSpec("a", "nowhere")});
  RejectedChange const cases[] = {
      {"PUT", "", 400, "/"},
      {"PUT", "{", 400, "/"},
      {"PUT", "[]", 400, "/"},
      {"PUT", R"({"version":6,"version":7})", 400, "/"},
      {"PUT", R"({"version":99999999999999999999})", 400, "/"},
      {"PUT", "{}", 422, "/version"},
      {"PUT", core::jsonText(spec(4)), 422, "/version"},
      {"PUT", core::jsonText(spec(5, {"other"})), 422, "/version"},
      {"PUT", R"({"version":"6","paths":[],"pools":[]})", 422, "/version"},
      {"PUT", R"({"version":6.5,"paths":[],"pools":[]})", 422, "/version"},
      {"PUT", R"({"version":6,"paths":[]})", 422, "/pools"},
      {"PUT", R"({"version":6,"paths":[],"pools":[],"surprise":1})", 422, "/surprise"},
      {"PUT", core::jsonText(unknownPool), 422, "/paths/0/pool"},
      {"PUT", core::jsonText(spec(6, {"a", "a"})), 422, "/paths/1/name"},
      {"PATCH", "7", 400, "/"},
      {"PATCH", "{}", 422, "/version"},
      {"PATCH", core::jsonText(patchOf(5, {"b"})), 422, "/version"},
      {"PATCH", R"({"version":6,"surprise":1})", 422, "/surprise"},
      {"PATCH", R"({"version":6,"drop":{"pools":["big"]}})", 422, "/paths/0/pool"},
      {"PATCH", R"({"version":6,"set":{"paths":[{"name":"b"}]}})", 422, "/paths/1/host"},
      {"PATCH",
       R"({"version":6,"set":{"paths":[{"name":"b","host":"h","prefix":"/a/","kind":"once","deadlineMs":1,"pool":"big"}]}})",
       422, "/paths/1/prefix"},
      {"PATCH", R"({"version":6,"door":7})", 422, "/door"}};
  for (RejectedChange const& r : cases) {
    INFO(r.method << " " << r.body);
    CHECK(client.call(r.method, r.body, "5") == r.status);
    CHECK(core::toStdString(client.lastResponse.body.value("pointer").toString()) == r.pointer);
    CHECK(client.call(r.method, r.body, "4") >= 400);
  }
  CHECK(client.call("GET") == 200);
  CHECK(client.lastResponse.body.value("spec").toObject() == spec(5));
  CHECK(client.lastResponse.body.value("stamp").toInteger() == 1);
}

TEST_CASE("a resent change of the fleet configuration gets its first reply") {
  OperatorClient client;
  REQUIRE(client.put(spec(5), "0", "one") == 201);
  REQUIRE(client.patch(patchOf(6, {"b"}), "5", "two") == 200);
  REQUIRE(client.put(spec(7, {"c"}), "6", "three") == 200);
  CHECK(client.put(spec(5), "0", "one") == 201);
  CHECK((client.lastResponse.body.value("replayed").toBool() &&
         client.lastResponse.body.value("version").toInteger() == 5 &&
         client.lastResponse.body.value("stamp").toInteger() == 1));
  CHECK(client.patch(patchOf(6, {"b"}), "5", "two") == 200);
  CHECK((client.lastResponse.body.value("replayed").toBool() &&
         client.lastResponse.body.value("version").toInteger() == 6));
  CHECK(client.patch(patchOf(6, {"x"}), "5", "two") == 409);
  CHECK(client.patch(patchOf(8, {"b"}), "7", "two") == 409);
  for (char const* ifMatch : {"0", "5", "6", "7", "99"}) {
    CHECK(client.put(spec(7, {"c"}), ifMatch) == 200);
    CHECK((client.lastResponse.body.value("replayed").toBool() &&
           client.lastResponse.body.value("version").toInteger() == 7 &&
           client.lastResponse.body.value("stamp").toInteger() == 3));
  }
  CHECK(client.put(spec(6, {"b"}), "5") == 412);
  CHECK(client.put(spec(7, {"d"}), "6") == 412);
  CHECK(client.version() == 7);
}

TEST_CASE("only one of several changes on the same version of the fleet configuration is accepted") {
  OperatorClient client;
  REQUIRE(client.put(spec(5), "0") == 201);
  std::uint64_t const one = client.harness.call("PUT", page, core::jsonText(spec(6, {"x"})), "5");
  std::uint64_t const two = client.harness.call("PATCH", page, core::jsonText(patchOf(8, {"y"})), "5");
  std::uint64_t const three = client.harness.call("PUT", page, core::jsonText(spec(6, {"z"})), "5");
  client.harness.run(700);
  CHECK(client.harness.statusOf(one) == 200);
  CHECK(client.harness.statusOf(two) == 412);
  CHECK(client.harness.statusOf(three) == 412);
  CHECK(client.version() == 6);
}

TEST_CASE("a dry run validates the fleet configuration and changes nothing") {
  OperatorClient client;
  transport::OperatorCall c;
  c.token = 77;
  c.method = "PUT";
  c.path = page;
  c.ifMatch = "0";
  c.changeId = "dry";
  c.dryRun = true;
  c.body = core::jsonText(spec(5));
  client.harness.apply(client.harness.controller.onOperatorCall(client.harness.now, c));
  client.harness.run(700);
  CHECK(client.harness.statusOf(77) == 200);
  CHECK((client.harness.responses[77].body.value("dryRun").toBool() &&
         client.harness.responses[77].body.value("version").toInteger() == 5));
  CHECK(client.call("GET") == 404);
}

TEST_CASE("the fleet configuration allows larger bodies than other keys and stays within its size limit") {
  OperatorClient client;
  QJsonObject large = spec(5);
  large.insert("extra", QJsonObject{{"text", QString(3 << 20, 'x')}});
  CHECK(client.put(large, "0") == 201);
  std::uint64_t const other = client.harness.call("PUT", "/v1/templates/t", std::string((2 << 20) + 1, ' '), "0");
  CHECK(client.harness.statusOf(other) == 413);
  CHECK(client.call("PUT", std::string(control::maxFleetConfigurationBytes + 1, ' '), "5") == 413);
  std::vector<int> statuses;
  for (int i = 0; i < 4; ++i) {
    QJsonObject path = pathSpec("p" + std::to_string(i));
    path.insert("extra", QJsonObject{{"text", QString(2 << 20, 'x')}});
    statuses.push_back(client.patch(QJsonObject{{"version", 6 + i}, {"set", QJsonObject{{"paths", QJsonArray{path}}}}},
                                    std::to_string(5 + i)));
  }
  CHECK(statuses == std::vector<int>{200, 200, 413, 412});
  QJsonObject path = pathSpec("p0");
  path.insert("extra", QJsonObject{{"text", QString(2 << 20, 'y')}});
  CHECK(client.patch(QJsonObject{{"version", 8}, {"set", QJsonObject{{"paths", QJsonArray{path}}}}}, "7") == 200);
  CHECK(client.version() == 8);
}

TEST_CASE("a family may name pools of the committed fleet configuration") {
  OperatorClient client;
  constexpr char const* body = R"({"paths":[{"path":"a","pool":"big","class":"short"}]})";
  auto const put = [&](char const* path, char const* text) {
    std::uint64_t const t = client.harness.call("PUT", path, text, "0");
    client.harness.run(700);
    return client.harness.statusOf(t);
  };
  CHECK(put("/v1/templates/t", body) == 201);
  CHECK(put("/v1/templates/t/instances/i", "{}") == 422);
  REQUIRE(client.put(spec(5), "0") == 201);
  CHECK(put("/v1/templates/t/instances/i", "{}") == 201);
  QJsonObject other = spec(6, {});
  other.insert("pools", QJsonArray{QJsonObject{{"name", "new"}}});
  REQUIRE(client.put(other, "5") == 200);
  CHECK(put("/v1/templates/t/instances/j", "{}") == 422);
}

TEST_CASE("a fleet configuration with two thousand paths is created and patched") {
  std::vector<std::string> names;
  for (int i = 0; i < 2000; ++i) names.push_back("p" + std::to_string(i));
  OperatorClient client;
  REQUIRE(client.put(spec(5, names), "0") == 201);
  CHECK(client.patch(QJsonObject{{"version", 6},
                                 {"set", QJsonObject{{"paths", QJsonArray{pathSpec("new")}}}},
                                 {"drop", QJsonObject{{"paths", QJsonArray{"p7"}}}}},
                     "5") == 200);
  REQUIRE(client.call("GET") == 200);
  QJsonArray const cases = client.lastResponse.body.value("spec").toObject().value("paths").toArray();
  REQUIRE(cases.size() == 2000);
  CHECK(cases.at(7).toObject().value("name") == "p8");
  CHECK(cases.last().toObject().value("name") == "new");
}

TEST_CASE("without waiting for rollouts a change is answered as soon as it is on a majority of the disks") {
  control::ControllerTuning tuning;
  tuning.awaitRollout = false;
  for (bool const await : {true, false}) {
    tuning.awaitRollout = await;
    ControllerHarness harness(tuning);
    harness.runningRouters = {"a", "b", "c"};
    harness.run(6000);
    harness.notReceivingRouters = {"a", "b", "c"};
    std::uint64_t const t = harness.call("PUT", page, core::jsonText(spec(5)), "0", "one");
    CHECK(harness.statusOf(t) == (await ? 0 : 201));
    std::uint64_t const statusToken = harness.call("GET", "/v1/changes/one");
    CHECK(harness.statusOf(statusToken) == (await ? 504 : 200));
    if (await) continue;
    CHECK_FALSE(harness.responses[t].body.contains("inForce"));
    CHECK_FALSE(harness.responses[statusToken].body.contains("inForce"));
    std::uint64_t const again = harness.call("PUT", page, core::jsonText(spec(5)), "0", "one");
    harness.run(200);
    CHECK(harness.statusOf(again) == 201);
    CHECK(harness.responses[again].body.value("replayed").toBool());
  }
}

TEST_CASE("under random load and failures only accepted changes raise the fleet configuration's version") {
  std::size_t mostRevisions = 0;
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    SimulatedCluster cluster(seed);
    while (cluster.now < 40000) {
      cluster.step();
      if (cluster.now > 4000 && cluster.rng.chance(0.05)) cluster.sendRandomChange();
      if (cluster.now > 4000 && cluster.rng.chance(0.02)) cluster.sendRead();
      if (cluster.now > 6000 && cluster.rng.chance(0.001))
        cluster.start(std::next(cluster.members.begin(), static_cast<std::ptrdiff_t>(cluster.rng.below(3)))->first);
    }
    cluster.faultFree = true;
    for (core::Milliseconds const until = cluster.now + 15000; cluster.now < until;) cluster.step();
    for (auto const& [link, member] : cluster.members)
      CHECK(member.lastSeenRevision == cluster.committedConfigurations.rbegin()->first);
    cluster.checkInvariants();
    mostRevisions = std::max(mostRevisions, cluster.committedConfigurations.size());
    for (auto const& [token, change] : cluster.changes)
      accepted += change.status == 200 || change.status == 201 ? 1 : 0;
  }
  CHECK(mostRevisions > 20);
  CHECK(accepted > 200);
}

TEST_CASE("a controller starts on a disk whose configuration has two spellings of one host, and can be corrected") {
  // Guards against review case 2's other side: an earlier release accepted such configurations and left them on disks.
  QJsonObject accepted = spec(5, {"a"});
  QJsonObject other = pathSpec("a");
  other.insert("name", "cap");
  other.insert("host", "g");
  accepted.insert("paths", QJsonArray{pathSpec("a"), other});
  std::map<std::string, std::string> disk;
  {
    OperatorClient client;
    client.harness.run(6000);
    REQUIRE(client.put(accepted, "0") == 201);
    disk = client.harness.disk;
  }
  std::string const sentHost = R"("host":"g")";
  auto const record = std::find_if(disk.begin(), disk.end(),
                                   [&](auto const& entry) { return entry.second.find(sentHost) != std::string::npos; });
  REQUIRE(record != disk.end());
  record->second.replace(record->second.find(sentHost), sentHost.size(), R"("host":"H")");
  OperatorClient client{ControllerHarness({}, disk), {}};
  client.harness.run(6000);
  CHECK(client.version() == 5);
  CHECK(client.lastResponse.body.value("spec").toObject().value("paths").toArray().at(1)["host"].toString() == "H");
  CHECK(client.patch(patchOf(6, {"b"}), "5") == 422);
  CHECK(client.patch(QJsonObject{{"version", 6}, {"drop", QJsonObject{{"paths", QJsonArray{"cap"}}}}}, "5") == 200);
  CHECK(client.version() == 6);
}
