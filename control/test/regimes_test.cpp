#include <catch2/catch.hpp>

#include <QDateTime>
#include <QJsonArray>

#include <corkward/core/json.h>

#include "rig.h"

namespace core = corkward::core;
namespace config = corkward::config;
namespace control = corkward::control;
using control::Rig;

namespace {

constexpr char const* page = "/v1/certificates";

std::int64_t at(char const* time) {
  return QDateTime::fromString(time, Qt::ISODate).toMSecsSinceEpoch();
}

QJsonObject certificate(char const* pool, char const* zone, char const* until) {
  return QJsonObject{{"regime", "health"}, {"carrier", "replicas"}, {"pool", pool}, {"zone", zone}, {"until", until}};
}

QJsonObject declared(QJsonObject const& certificates) {
  return QJsonObject{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", "any"}}}}},
                     {"certificates", certificates}};
}

constexpr char const* farAway = "2030-01-01T00:00:00Z";
constexpr char const* regulated = R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})";

/// Synchronous calls of operators and the platform.
struct OperatorClient {
  Rig rig;
  control::OperatorResponse last;

  OperatorClient() {
    rig.reducer.setWallTime(at("2026-06-01T00:00:00Z"));
    call("PUT", "/v1/platform/pools/model",
         R"({"generation":1,"replicas":[{"id":"r1","address":"10.0.0.1:80","zone":"z1","state":"serving"},
      {"id":"r2","address":"10.0.0.2:80","zone":"z2","state":"serving"}]})");
  }
  int call(std::string const& method, std::string const& path, std::string const& body = "",
           std::string const& ifMatch = "", std::string const& id = "") {
    std::uint64_t const t = rig.call(method, path, body, ifMatch, id);
    rig.run(700);
    last = rig.answers[t];
    return last.status;
  }
  int put(QJsonObject const& certificates, std::string const& ifMatch, std::string const& id = "") {
    return call("PUT", page, core::jsonText(declared(certificates)), ifMatch, id);
  }
  std::string pointer() const { return core::toStdString(last.body.value("pointer").toString()); }
  qint64 revision() {
    call("GET", page);
    return last.body.value("stamp").toInteger();
  }
};

}  // namespace

TEST_CASE("certificates are put, read, patched and revoked under their own revision") {
  OperatorClient d;
  CHECK(d.call("GET", page) == 404);
  CHECK(d.put({}, "") == 428);
  CHECK(d.put({{"c1", certificate("model", "z1", farAway)}}, "0", "first") == 201);
  CHECK(d.last.body.value("inForce").toBool());
  CHECK(d.put({{"c1", certificate("model", "z1", farAway)}}, "0", "first") == 201);
  CHECK(d.last.body.value("replayed").toBool());
  CHECK(d.put({{"c1", certificate("model", "z1", farAway)}}, "0", "racing") == 412);
  CHECK(d.last.body.value("stamp").toInteger() == 1);
  CHECK(
      d.call(
          "PATCH", page,
          R"({"certificates":{"c2":{"regime":"health","carrier":"replicas","pool":"model","zone":"z2","until":"2030-01-01T00:00:00Z"}}})",
          "1") == 200);
  CHECK(d.call("GET", page) == 200);
  CHECK(d.last.body.value("spec").toObject().value("certificates").toObject().keys() == QStringList{"c1", "c2"});
  CHECK(d.call("GET", std::string(page) + "/c2") == 200);
  CHECK(d.last.body.value("spec").toObject().value("zone").toString() == "z2");
  CHECK(d.call("DELETE", std::string(page) + "/c2", "", "", "gone") == 200);
  CHECK(d.call("DELETE", std::string(page) + "/c2", "", "", "gone") == 200);
  CHECK(d.last.body.value("replayed").toBool());
  CHECK(d.call("DELETE", std::string(page) + "/c2") == 404);
  CHECK(d.call("DELETE", std::string(page) + "/c1", "", "1") == 412);
  CHECK(d.call("DELETE", page, "", "3") == 405);
  CHECK(d.call("PUT", std::string(page) + "/c1", "{}", "3") == 405);
  CHECK(d.revision() == 3);
}

TEST_CASE("a bad declaration of certificates changes nothing") {
  OperatorClient d;
  REQUIRE(d.put({{"c1", certificate("model", "z1", farAway)}}, "0") == 201);
  CHECK(d.call("PUT", page, "{", "1") == 400);
  CHECK(d.call("PUT", page, "[]", "1") == 400);
  CHECK(d.put({{"c1", certificate("model", "z1", "tomorrow")}}, "1") == 422);
  CHECK(d.pointer() == "/certificates/c1/until");
  CHECK(d.call("PATCH", page, R"({"regimes":{"health":null}})", "1") == 422);
  CHECK(d.pointer() == "/certificates/c1/regime");
  std::uint64_t const dry = d.rig.next;
  corkward::transport::OperatorCall c;
  c.token = d.rig.next++;
  c.method = "PUT";
  c.path = page;
  c.ifMatch = "1";
  c.changeId = "dry";
  c.dryRun = true;
  c.body = core::jsonText(declared({}));
  d.rig.apply(d.rig.reducer.onOperatorCall(d.rig.now, c));
  d.rig.run(700);
  CHECK(d.rig.answers[dry].body.value("dryRun").toBool());
  CHECK(d.revision() == 1);
}

TEST_CASE("a tenant whose regime nobody could serve is rejected at once, with a pointer to the fault") {
  OperatorClient d;
  REQUIRE(d.call("PUT", "/v1/templates/desk", regulated, "0") == 201);
  std::string const tenant = "/v1/templates/desk/instances/nord";
  CHECK(d.call("PUT", tenant, "{}", "0") == 422);
  CHECK(d.pointer() == "/template/regime");
  REQUIRE(d.put({{"other", certificate("gateway", "z1", farAway)}}, "0") == 201);
  CHECK(d.call("PUT", tenant, "{}", "0") == 422);
  CHECK(d.last.body.value("reason").toString() ==
        "regime health has no certificate in force for replicas of pool model");
  REQUIRE(d.put({{"old", certificate("model", "z1", "2026-01-01T00:00:00Z")}}, "1") == 200);
  CHECK(d.call("PUT", tenant, "{}", "0") == 422);
  REQUIRE(d.put({{"nowhere", certificate("model", "z9", farAway)}}, "2") == 200);
  CHECK(d.call("PUT", tenant, "{}", "0") == 422);
  CHECK(d.last.body.value("reason").toString() ==
        "no replica on the list of pool model is certified for regime health");
  CHECK(d.call("PUT", tenant, R"({"regime":"export"})", "0") == 422);
  CHECK(d.pointer() == "/instances/nord/regime");
  REQUIRE(d.put({{"c1", certificate("model", "z1", farAway)}}, "3") == 200);
  CHECK(d.call("PUT", tenant, "{}", "0") == 201);
  CHECK(d.call("GET", tenant) == 200);
}

TEST_CASE("certificates that tenants need stay, unless they are revoked by name, which lists the uncovered tenants") {
  OperatorClient d;
  REQUIRE(d.put({{"c1", certificate("model", "z1", farAway)}, {"c2", certificate("model", "z2", farAway)}}, "0") ==
          201);
  REQUIRE(d.call("PUT", "/v1/templates/desk", regulated, "0") == 201);
  REQUIRE(d.call("PUT", "/v1/templates/desk/instances/nord", "{}", "0") == 201);
  CHECK(d.put({}, "1") == 422);
  CHECK(d.pointer() == "/certificates");
  CHECK(d.last.body.value("reason").toString().startsWith("desk.nord: regime health has no certificate"));
  CHECK(d.call("PATCH", page, R"({"certificates":{"c1":null}})", "1") == 200);
  CHECK(d.call("PATCH", page, R"({"certificates":{"c2":null}})", "2") == 422);
  CHECK(d.revision() == 2);
  CHECK(d.call("DELETE", std::string(page) + "/c2") == 200);
  CHECK(d.last.body.value("uncovered").toArray().size() == 1);
  CHECK(d.last.body.value("inForce").toBool());
  CHECK(d.call("GET", std::string(page) + "/c2") == 404);
  CHECK(d.call("PUT", "/v1/templates/desk/instances/sued", "{}", "0") == 422);
}

TEST_CASE("metrics show how long each certificate remains valid") {
  OperatorClient d;
  CHECK(d.rig.reducer.metrics(d.rig.now).find("certificate_seconds_left") == std::string::npos);
  REQUIRE(d.put({{"c1", certificate("model", "z1", "2026-06-01T01:00:00Z")}}, "0") == 201);
  CHECK(d.rig.reducer.metrics(d.rig.now).find(
            "corkward_substation_certificate_seconds_left{certificate=\"c1\",regime=\"health\"} 3540\n") !=
        std::string::npos);
}

TEST_CASE("of two changes on one revision one is accepted, a revocation among them") {
  OperatorClient d;
  REQUIRE(d.put({{"c1", certificate("model", "z1", farAway)}}, "0") == 201);
  std::uint64_t const a = d.rig.call("PATCH", page, R"({"certificates":{"c1":{"zone":"z2"}}})", "1");
  std::uint64_t const b = d.rig.call("DELETE", std::string(page) + "/c1", "", "1");
  d.rig.run(700);
  CHECK(d.rig.statusOf(a) + d.rig.statusOf(b) == 200 + 412);
  std::uint64_t const c = d.rig.call(
      "PATCH", page,
      R"({"certificates":{"c3":{"regime":"health","carrier":"replicas","pool":"model","zone":"z1","until":"2030-01-01T00:00:00Z"}}})",
      "2");
  std::uint64_t const e = d.rig.call("DELETE", std::string(page) + "/c1");
  d.rig.run(700);
  CHECK(d.rig.statusOf(c) == 200);
  CHECK(d.rig.statusOf(e) == 200);
  d.call("GET", page);
  CHECK(d.last.body.value("spec").toObject().value("certificates").toObject().keys() == QStringList{"c3"});
}

TEST_CASE("a revocation is acknowledged only when its rollout to every router that may still serve is complete") {
  OperatorClient d;
  d.rig.alive = {"a", "b", "c"};
  d.rig.run(6000);
  REQUIRE(d.put({{"c1", certificate("model", "z1", farAway)}}, "0") == 201);
  d.rig.deaf = {"c"};
  std::uint64_t const t = d.rig.call("DELETE", std::string(page) + "/c1");
  d.rig.run(1200);
  CHECK(d.rig.statusOf(t) == 0);
  d.rig.run(1300);
  CHECK(d.rig.statusOf(t) == 200);
  CHECK(d.rig.have["a"][config::regimesKey] == 2);
  CHECK(d.rig.have["c"][config::regimesKey] == 1);
  d.rig.deaf = {"b", "c"};
  std::uint64_t const pending = d.rig.call("PUT", page, core::jsonText(declared({})), "2");
  d.rig.run(5000);
  CHECK(d.rig.statusOf(pending) == 504);
  CHECK(d.rig.answers.at(pending).body.value("pending").toBool());
}
