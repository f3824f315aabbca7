#include <catch2/catch.hpp>

#include <QJsonArray>
#include <functional>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/control/validator.h>

#include "operators.h"

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace consensus = corkward::consensus;
namespace config = corkward::config;
namespace control = corkward::control;
using control::Membership;
using control::page;
using control::patchOf;
using control::pathSpec;
using control::Rig;
using control::spec;

namespace {

/// Synchronous calls on the page of the fleet configuration.
struct OperatorClient {
  Rig rig;
  control::OperatorResponse last;

  int call(std::string const& method, std::string const& body = "", std::string const& ifMatch = "",
           std::string const& id = "") {
    std::uint64_t const t = rig.call(method, page, body, ifMatch, id);
    rig.run(700);
    last = rig.answers[t];
    return last.status;
  }
  int put(QJsonObject const& value, std::string const& ifMatch, std::string const& id = "") {
    return call("PUT", core::jsonText(value), ifMatch, id);
  }
  int patch(QJsonObject const& value, std::string const& ifMatch, std::string const& id = "") {
    return call("PATCH", core::jsonText(value), ifMatch, id);
  }
  qint64 version() {
    call("GET");
    return last.body.value("version").toInteger();
  }
};

}  // namespace

TEST_CASE("the fleet configuration is put, read and patched under its own version") {
  OperatorClient d;
  d.rig.alive = {"a", "b", "c"};
  d.rig.run(6000);
  CHECK(d.call("GET") == 404);
  CHECK(d.patch(patchOf(5, {"b"}), "0") == 404);
  CHECK(d.put(spec(5), "") == 428);
  CHECK(d.put(spec(5), "1") == 412);
  REQUIRE(d.put(spec(5), "0", "first") == 201);
  CHECK(d.last.body.value("version").toInteger() == 5);
  CHECK(d.last.body.value("stamp").toInteger() == 1);
  CHECK(d.last.body.value("inForce").toBool());
  CHECK(d.call("GET") == 200);
  CHECK(d.last.body.value("spec").toObject() == spec(5));
  CHECK((d.last.body.value("version").toInteger() == 5 && d.last.body.value("stamp").toInteger() == 1));
  CHECK(d.patch(patchOf(9, {"b"}), "\"5\"", "second") == 200);
  CHECK((d.last.body.value("version").toInteger() == 9 && d.last.body.value("stamp").toInteger() == 2));
  CHECK(d.call("GET") == 200);
  CHECK(d.last.body.value("spec").toObject() == spec(9, {"a", "b"}));
  CHECK(d.put(spec(20), "5") == 412);
  CHECK((d.last.body.value("version").toInteger() == 9 && d.last.body.value("stamp").toInteger() == 2));
  CHECK(d.patch(patchOf(20, {"c"}), "2") == 412);
  CHECK(d.call("DELETE", "", "9") == 405);
  CHECK(d.version() == 9);
  QJsonObject const stored = d.rig.reducer.registers().committed().at(config::fleetConfigurationKey).value;
  CHECK(stored.keys() == QStringList{"changes", "spec", "taken"});
  std::uint64_t const statusToken = d.rig.call("GET", "/v1/changes/second");
  CHECK((d.rig.statusOf(statusToken) == 200 && d.rig.answers[statusToken].body.value("version").toInteger() == 9));
}

TEST_CASE("an invalid change of the fleet configuration changes nothing") {
  OperatorClient d;
  REQUIRE(d.put(spec(5), "0") == 201);
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
    CHECK(d.call(r.method, r.body, "5") == r.status);
    CHECK(core::toStdString(d.last.body.value("pointer").toString()) == r.pointer);
    CHECK(d.call(r.method, r.body, "4") >= 400);
  }
  CHECK(d.call("GET") == 200);
  CHECK(d.last.body.value("spec").toObject() == spec(5));
  CHECK(d.last.body.value("stamp").toInteger() == 1);
}

TEST_CASE("a resent change of the fleet configuration gets its first reply") {
  OperatorClient d;
  REQUIRE(d.put(spec(5), "0", "one") == 201);
  REQUIRE(d.patch(patchOf(6, {"b"}), "5", "two") == 200);
  REQUIRE(d.put(spec(7, {"c"}), "6", "three") == 200);
  CHECK(d.put(spec(5), "0", "one") == 201);
  CHECK((d.last.body.value("replayed").toBool() && d.last.body.value("version").toInteger() == 5 &&
         d.last.body.value("stamp").toInteger() == 1));
  CHECK(d.patch(patchOf(6, {"b"}), "5", "two") == 200);
  CHECK((d.last.body.value("replayed").toBool() && d.last.body.value("version").toInteger() == 6));
  CHECK(d.patch(patchOf(6, {"x"}), "5", "two") == 409);
  CHECK(d.patch(patchOf(8, {"b"}), "7", "two") == 409);
  for (char const* ifMatch : {"0", "5", "6", "7", "99"}) {
    CHECK(d.put(spec(7, {"c"}), ifMatch) == 200);
    CHECK((d.last.body.value("replayed").toBool() && d.last.body.value("version").toInteger() == 7 &&
           d.last.body.value("stamp").toInteger() == 3));
  }
  CHECK(d.put(spec(6, {"b"}), "5") == 412);
  CHECK(d.put(spec(7, {"d"}), "6") == 412);
  CHECK(d.version() == 7);
}

TEST_CASE("of two changes on one version of the fleet configuration one is accepted") {
  OperatorClient d;
  REQUIRE(d.put(spec(5), "0") == 201);
  std::uint64_t const one = d.rig.call("PUT", page, core::jsonText(spec(6, {"x"})), "5");
  std::uint64_t const two = d.rig.call("PATCH", page, core::jsonText(patchOf(8, {"y"})), "5");
  std::uint64_t const three = d.rig.call("PUT", page, core::jsonText(spec(6, {"z"})), "5");
  d.rig.run(700);
  CHECK(d.rig.statusOf(one) == 200);
  CHECK(d.rig.statusOf(two) == 412);
  CHECK(d.rig.statusOf(three) == 412);
  CHECK(d.version() == 6);
}

TEST_CASE("a dry run checks the fleet configuration and changes nothing") {
  OperatorClient d;
  transport::OperatorCall c;
  c.token = 77;
  c.method = "PUT";
  c.path = page;
  c.ifMatch = "0";
  c.changeId = "dry";
  c.dryRun = true;
  c.body = core::jsonText(spec(5));
  d.rig.apply(d.rig.reducer.onOperatorCall(d.rig.now, c));
  d.rig.run(700);
  CHECK(d.rig.statusOf(77) == 200);
  CHECK((d.rig.answers[77].body.value("dryRun").toBool() && d.rig.answers[77].body.value("version").toInteger() == 5));
  CHECK(d.call("GET") == 404);
}

TEST_CASE("bodies of the fleet configuration may be larger than others, and it stays within its limit") {
  OperatorClient d;
  QJsonObject large = spec(5);
  large.insert("extra", QJsonObject{{"text", QString(3 << 20, 'x')}});
  CHECK(d.put(large, "0") == 201);
  std::uint64_t const other = d.rig.call("PUT", "/v1/templates/t", std::string((2 << 20) + 1, ' '), "0");
  CHECK(d.rig.statusOf(other) == 413);
  CHECK(d.call("PUT", std::string(control::maxFleetConfigurationBytes + 1, ' '), "5") == 413);
  std::vector<int> statuses;
  for (int i = 0; i < 4; ++i) {
    QJsonObject path = pathSpec("p" + std::to_string(i));
    path.insert("extra", QJsonObject{{"text", QString(2 << 20, 'x')}});
    statuses.push_back(d.patch(QJsonObject{{"version", 6 + i}, {"set", QJsonObject{{"paths", QJsonArray{path}}}}},
                               std::to_string(5 + i)));
  }
  CHECK(statuses == std::vector<int>{200, 200, 413, 412});
  QJsonObject path = pathSpec("p0");
  path.insert("extra", QJsonObject{{"text", QString(2 << 20, 'y')}});
  CHECK(d.patch(QJsonObject{{"version", 8}, {"set", QJsonObject{{"paths", QJsonArray{path}}}}}, "7") == 200);
  CHECK(d.version() == 8);
}

TEST_CASE("a family may name pools of the committed fleet configuration") {
  OperatorClient d;
  constexpr char const* body = R"({"paths":[{"path":"a","pool":"big","class":"short"}]})";
  auto const put = [&](char const* path, char const* text) {
    std::uint64_t const t = d.rig.call("PUT", path, text, "0");
    d.rig.run(700);
    return d.rig.statusOf(t);
  };
  CHECK(put("/v1/templates/t", body) == 201);
  CHECK(put("/v1/templates/t/instances/i", "{}") == 422);
  REQUIRE(d.put(spec(5), "0") == 201);
  CHECK(put("/v1/templates/t/instances/i", "{}") == 201);
  QJsonObject other = spec(6, {});
  other.insert("pools", QJsonArray{QJsonObject{{"name", "new"}}});
  REQUIRE(d.put(other, "5") == 200);
  CHECK(put("/v1/templates/t/instances/j", "{}") == 422);
}

TEST_CASE("two thousand paths are put and patched") {
  std::vector<std::string> names;
  for (int i = 0; i < 2000; ++i) names.push_back("p" + std::to_string(i));
  OperatorClient d;
  REQUIRE(d.put(spec(5, names), "0") == 201);
  CHECK(d.patch(QJsonObject{{"version", 6},
                            {"set", QJsonObject{{"paths", QJsonArray{pathSpec("new")}}}},
                            {"drop", QJsonObject{{"paths", QJsonArray{"p7"}}}}},
                "5") == 200);
  REQUIRE(d.call("GET") == 200);
  QJsonArray const cases = d.last.body.value("spec").toObject().value("paths").toArray();
  REQUIRE(cases.size() == 2000);
  CHECK(cases.at(7).toObject().value("name") == "p8");
  CHECK(cases.last().toObject().value("name") == "new");
}

TEST_CASE("without waiting for rollouts a change is answered as soon as it is on a majority of the disks") {
  control::ControllerTuning tuning;
  tuning.awaitRollout = false;
  for (bool const await : {true, false}) {
    tuning.awaitRollout = await;
    Rig rig(tuning);
    rig.alive = {"a", "b", "c"};
    rig.run(6000);
    rig.deaf = {"a", "b", "c"};
    std::uint64_t const t = rig.call("PUT", page, core::jsonText(spec(5)), "0", "one");
    CHECK(rig.statusOf(t) == (await ? 0 : 201));
    std::uint64_t const statusToken = rig.call("GET", "/v1/changes/one");
    CHECK(rig.statusOf(statusToken) == (await ? 504 : 200));
    if (await) continue;
    CHECK_FALSE(rig.answers[t].body.contains("inForce"));
    CHECK_FALSE(rig.answers[statusToken].body.contains("inForce"));
    std::uint64_t const again = rig.call("PUT", page, core::jsonText(spec(5)), "0", "one");
    rig.run(200);
    CHECK(rig.statusOf(again) == 201);
    CHECK(rig.answers[again].body.value("replayed").toBool());
  }
}

TEST_CASE("under random load and failures the fleet configuration's version rises by accepted changes alone") {
  std::size_t most = 0;
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Membership c(seed);
    while (c.now < 40000) {
      c.step();
      if (c.now > 4000 && c.rng.chance(0.05)) c.operate();
      if (c.now > 4000 && c.rng.chance(0.02)) c.read();
      if (c.now > 6000 && c.rng.chance(0.001))
        c.start(std::next(c.members.begin(), static_cast<std::ptrdiff_t>(c.rng.below(3)))->first);
    }
    c.calm = true;
    for (core::Milliseconds const until = c.now + 15000; c.now < until;) c.step();
    for (auto const& [link, member] : c.members) CHECK(member.lastSeenRevision == c.chain.rbegin()->first);
    c.checkInvariants();
    most = std::max(most, c.chain.size());
    for (auto const& [token, change] : c.changes) accepted += change.status == 200 || change.status == 201 ? 1 : 0;
  }
  CHECK(most > 20);
  CHECK(accepted > 200);
}
