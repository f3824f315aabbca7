#include <catch2/catch.hpp>

#include <QDateTime>
#include <QJsonArray>

#include <corkward/core/json.h>

#include "controller_harness.h"

namespace core = corkward::core;
namespace config = corkward::config;
namespace control = corkward::control;
using control::ControllerHarness;

namespace {

constexpr char const* page = "/v1/certificates";

std::int64_t wallTimeOf(char const* time) {
  return QDateTime::fromString(time, Qt::ISODate).toMSecsSinceEpoch();
}

QJsonObject certificate(char const* pool, char const* zone, char const* until) {
  return QJsonObject{{"regime", "health"}, {"carrier", "replicas"}, {"pool", pool}, {"zone", zone}, {"until", until}};
}

QJsonObject declarationOf(QJsonObject const& certificates) {
  return QJsonObject{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", "any"}}}}},
                     {"certificates", certificates}};
}

constexpr char const* farFuture = "2030-01-01T00:00:00Z";
constexpr char const* regulated = R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})";

/// Sends calls of operators and of the platform and waits for each response.
struct OperatorClient {
  ControllerHarness harness;
  control::OperatorResponse lastResponse;

  OperatorClient() {
    harness.controller.setWallTime(wallTimeOf("2026-06-01T00:00:00Z"));
    call("PUT", "/v1/platform/pools/model",
         R"({"generation":1,"replicas":[{"id":"r1","address":"10.0.0.1:80","zone":"z1","state":"serving"},
      {"id":"r2","address":"10.0.0.2:80","zone":"z2","state":"serving"}]})");
  }
  int call(std::string const& method, std::string const& path, std::string const& body = "",
           std::string const& ifMatch = "", std::string const& id = "") {
    std::uint64_t const t = harness.call(method, path, body, ifMatch, id);
    harness.run(700);
    lastResponse = harness.responses[t];
    return lastResponse.status;
  }
  int put(QJsonObject const& certificates, std::string const& ifMatch, std::string const& id = "") {
    return call("PUT", page, core::jsonText(declarationOf(certificates)), ifMatch, id);
  }
  std::string pointer() const { return core::toStdString(lastResponse.body.value("pointer").toString()); }
  qint64 revision() {
    call("GET", page);
    return lastResponse.body.value("stamp").toInteger();
  }
};

}  // namespace

TEST_CASE("certificates are declared, read, patched and revoked on the revision that a call names") {
  OperatorClient client;
  CHECK(client.call("GET", page) == 404);
  CHECK(client.put({}, "") == 428);
  CHECK(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0", "first") == 201);
  CHECK(client.lastResponse.body.value("inForce").toBool());
  CHECK(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0", "first") == 201);
  CHECK(client.lastResponse.body.value("replayed").toBool());
  CHECK(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0", "racing") == 412);
  CHECK(client.lastResponse.body.value("stamp").toInteger() == 1);
  CHECK(
      client.call(
          "PATCH", page,
          R"({"certificates":{"c2":{"regime":"health","carrier":"replicas","pool":"model","zone":"z2","until":"2030-01-01T00:00:00Z"}}})",
          "1") == 200);
  CHECK(client.call("GET", page) == 200);
  CHECK(client.lastResponse.body.value("spec").toObject().value("certificates").toObject().keys() ==
        QStringList{"c1", "c2"});
  CHECK(client.call("GET", std::string(page) + "/c2") == 200);
  CHECK(client.lastResponse.body.value("spec").toObject().value("zone").toString() == "z2");
  CHECK(client.call("DELETE", std::string(page) + "/c2", "", "", "gone") == 200);
  CHECK(client.call("DELETE", std::string(page) + "/c2", "", "", "gone") == 200);
  CHECK(client.lastResponse.body.value("replayed").toBool());
  CHECK(client.call("DELETE", std::string(page) + "/c2") == 404);
  CHECK(client.call("DELETE", std::string(page) + "/c1", "", "1") == 412);
  CHECK(client.call("DELETE", page, "", "3") == 405);
  CHECK(client.call("PUT", std::string(page) + "/c1", "{}", "3") == 405);
  CHECK(client.revision() == 3);
}

TEST_CASE("an invalid declaration of certificates changes nothing") {
  OperatorClient client;
  REQUIRE(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0") == 201);
  CHECK(client.call("PUT", page, "{", "1") == 400);
  CHECK(client.call("PUT", page, "[]", "1") == 400);
  CHECK(client.put({{"c1", certificate("model", "z1", "tomorrow")}}, "1") == 422);
  CHECK(client.pointer() == "/certificates/c1/until");
  CHECK(client.call("PATCH", page, R"({"regimes":{"health":null}})", "1") == 422);
  CHECK(client.pointer() == "/certificates/c1/regime");
  std::uint64_t const dry = client.harness.nextCallToken;
  corkward::transport::OperatorCall c;
  c.token = client.harness.nextCallToken++;
  c.method = "PUT";
  c.path = page;
  c.ifMatch = "1";
  c.changeId = "dry";
  c.dryRun = true;
  c.body = core::jsonText(declarationOf({}));
  client.harness.apply(client.harness.controller.onOperatorCall(client.harness.now, c));
  client.harness.run(700);
  CHECK(client.harness.responses[dry].body.value("dryRun").toBool());
  CHECK(client.revision() == 1);
}

TEST_CASE("a tenant whose regime no replica can serve is rejected with a pointer to the fault") {
  OperatorClient client;
  REQUIRE(client.call("PUT", "/v1/templates/desk", regulated, "0") == 201);
  std::string const tenant = "/v1/templates/desk/instances/nord";
  CHECK(client.call("PUT", tenant, "{}", "0") == 422);
  CHECK(client.pointer() == "/template/regime");
  REQUIRE(client.put({{"other", certificate("gateway", "z1", farFuture)}}, "0") == 201);
  CHECK(client.call("PUT", tenant, "{}", "0") == 422);
  CHECK(client.lastResponse.body.value("reason").toString() ==
        "regime health has no certificate in force for replicas of pool model");
  REQUIRE(client.put({{"old", certificate("model", "z1", "2026-01-01T00:00:00Z")}}, "1") == 200);
  CHECK(client.call("PUT", tenant, "{}", "0") == 422);
  REQUIRE(client.put({{"nowhere", certificate("model", "z9", farFuture)}}, "2") == 200);
  CHECK(client.call("PUT", tenant, "{}", "0") == 422);
  CHECK(client.lastResponse.body.value("reason").toString() ==
        "no replica on the list of pool model is certified for regime health");
  CHECK(client.call("PUT", tenant, R"({"regime":"export"})", "0") == 422);
  CHECK(client.pointer() == "/instances/nord/regime");
  REQUIRE(client.put({{"c1", certificate("model", "z1", farFuture)}}, "3") == 200);
  CHECK(client.call("PUT", tenant, "{}", "0") == 201);
  CHECK(client.call("GET", tenant) == 200);
}

TEST_CASE("certificates that tenants need can only be revoked by name, and the reply lists the uncovered tenants") {
  OperatorClient client;
  REQUIRE(client.put({{"c1", certificate("model", "z1", farFuture)}, {"c2", certificate("model", "z2", farFuture)}},
                     "0") == 201);
  REQUIRE(client.call("PUT", "/v1/templates/desk", regulated, "0") == 201);
  REQUIRE(client.call("PUT", "/v1/templates/desk/instances/nord", "{}", "0") == 201);
  CHECK(client.put({}, "1") == 422);
  CHECK(client.pointer() == "/certificates");
  CHECK(client.lastResponse.body.value("reason").toString().startsWith("desk.nord: regime health has no certificate"));
  CHECK(client.call("PATCH", page, R"({"certificates":{"c1":null}})", "1") == 200);
  CHECK(client.call("PATCH", page, R"({"certificates":{"c2":null}})", "2") == 422);
  CHECK(client.revision() == 2);
  CHECK(client.call("DELETE", std::string(page) + "/c2") == 200);
  CHECK(client.lastResponse.body.value("uncovered").toArray().size() == 1);
  CHECK(client.lastResponse.body.value("inForce").toBool());
  CHECK(client.call("GET", std::string(page) + "/c2") == 404);
  CHECK(client.call("PUT", "/v1/templates/desk/instances/sued", "{}", "0") == 422);
}

TEST_CASE("metrics show how long each certificate remains valid") {
  OperatorClient client;
  CHECK(client.harness.controller.metrics(client.harness.now).find("certificate_seconds_left") == std::string::npos);
  REQUIRE(client.put({{"c1", certificate("model", "z1", "2026-06-01T01:00:00Z")}}, "0") == 201);
  CHECK(client.harness.controller.metrics(client.harness.now)
            .find("corkward_substation_certificate_seconds_left{certificate=\"c1\",regime=\"health\"} 3540\n") !=
        std::string::npos);
}

TEST_CASE("only one of a patch and a revocation on the same revision is accepted") {
  OperatorClient client;
  REQUIRE(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0") == 201);
  std::uint64_t const a = client.harness.call("PATCH", page, R"({"certificates":{"c1":{"zone":"z2"}}})", "1");
  std::uint64_t const b = client.harness.call("DELETE", std::string(page) + "/c1", "", "1");
  client.harness.run(700);
  CHECK(client.harness.statusOf(a) + client.harness.statusOf(b) == 200 + 412);
  std::uint64_t const c = client.harness.call(
      "PATCH", page,
      R"({"certificates":{"c3":{"regime":"health","carrier":"replicas","pool":"model","zone":"z1","until":"2030-01-01T00:00:00Z"}}})",
      "2");
  std::uint64_t const e = client.harness.call("DELETE", std::string(page) + "/c1");
  client.harness.run(700);
  CHECK(client.harness.statusOf(c) == 200);
  CHECK(client.harness.statusOf(e) == 200);
  client.call("GET", page);
  CHECK(client.lastResponse.body.value("spec").toObject().value("certificates").toObject().keys() == QStringList{"c3"});
}

TEST_CASE("a revocation is acknowledged only once all routers that may still serve have it") {
  OperatorClient client;
  client.harness.runningRouters = {"a", "b", "c"};
  client.harness.run(6000);
  REQUIRE(client.put({{"c1", certificate("model", "z1", farFuture)}}, "0") == 201);
  client.harness.notReceivingRouters = {"c"};
  std::uint64_t const t = client.harness.call("DELETE", std::string(page) + "/c1");
  client.harness.run(1200);
  CHECK(client.harness.statusOf(t) == 0);
  client.harness.run(1300);
  CHECK(client.harness.statusOf(t) == 200);
  CHECK(client.harness.routerRevisions["a"][config::regimesKey] == 2);
  CHECK(client.harness.routerRevisions["c"][config::regimesKey] == 1);
  client.harness.notReceivingRouters = {"b", "c"};
  std::uint64_t const pending = client.harness.call("PUT", page, core::jsonText(declarationOf({})), "2");
  client.harness.run(5000);
  CHECK(client.harness.statusOf(pending) == 504);
  CHECK(client.harness.responses.at(pending).body.value("pending").toBool());
}
