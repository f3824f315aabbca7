#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include <corkward/core/json.h>
#include <corkward/http/upstream_connection.h>

#include "clock.h"
#include "fleet.h"
#include "traffic.h"

namespace core = corkward::core;
namespace http = corkward::http;
namespace programs = corkward::programs;
namespace testing = corkward::testing;

namespace {

constexpr char const* page = "/v1/certificates";
constexpr char const* regulated = "fault-desk.nord";
constexpr char const* pilot =
    R"({"regime":"health","paths":[{"path":"tale","pool":"model","class":"long","events":true,"resumable":true}]})";

QJsonObject certificate(std::string const& pool, std::string const& zone) {
  return QJsonObject{{"regime", "health"},
                     {"carrier", "replicas"},
                     {"pool", core::toQString(pool)},
                     {"zone", core::toQString(zone)},
                     {"until", "2099-01-01T00:00:00Z"}};
}

/// A fleet in which the tenant nord is of a regime, and of the models those in z1 alone are certified.
struct Ward {
  testing::Fleet fleet;
  int changes = 0;

  Ward() : fleet(testing::deployments[2]) {
    fleet.withRegimes();
    fleet.startAll();
    fleet.until("ready controllers", [&] {
      for (testing::Node& n : fleet.controllers())
        if (fleet.get(n.http, "/readyz").status != 200) return false;
      return true;
    });
    lists();
    QFile example(CORKWARD_SOURCE "/examples/fault-desk.json");
    REQUIRE(example.open(QIODevice::ReadOnly));
    change("PUT", "/v1/templates/fault-desk", example.readAll().toStdString(), "0");
    QJsonObject const spec{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", "any"}, {"reserve", 1}}}}},
                           {"certificates", QJsonObject{{"model-z1", certificate("model", "z1")},
                                                        {"gateway", certificate("gateway", "z2")}}}};
    change("PUT", page, core::jsonText(spec), "0");
    change("PUT", "/v1/templates/fault-desk/instances/nord", R"({"parameters":{"site":"nord"},"regime":"health"})",
           "0");
    change("PUT", "/v1/templates/fault-desk/instances/sued", R"({"parameters":{"site":"sued"}})", "0");
    change("PUT", "/v1/templates/pilot", pilot, "0");
    change("PUT", "/v1/templates/pilot/instances/n", "{}", "0");
    fleet.untilReady(fleet.routers().size());
  }
  /// The platform gives its lists until they are acknowledged.
  void lists() {
    fleet.until("the lists to be acknowledged", [&] {
      try {
        fleet.publishEndpointLists();
        return true;
      } catch (testing::FleetError const&) {
        return false;
      }
    });
  }
  /// Reads a page until a controller can.
  testing::Reply read(std::string const& path) {
    testing::Reply out;
    fleet.until(path + " to be read", [&] {
      out = call("GET", path);
      return out.status == 200;
    });
    return out;
  }
  /// Sends a change, under one id, until it is acknowledged.
  testing::Reply change(std::string const& method, std::string const& path, std::string const& body,
                        std::string const& ifMatch) {
    std::string const id = "change-" + std::to_string(++changes);
    testing::Reply out;
    fleet.until(method + " " + path + " to be acknowledged", [&] {
      out = fleet.call(fleet.firstController(), method, path, body, ifMatch, id);
      if (out.status == 400 || out.status == 404 || out.status == 422)
        throw testing::FleetError(path + ": " + core::jsonText(out.body));
      return out.status == 200 || out.status == 201;
    });
    return out;
  }
  testing::Reply call(std::string const& method, std::string const& path, std::string const& body = "",
                      std::string const& ifMatch = "") {
    return fleet.call(fleet.firstController(), method, path, body, ifMatch);
  }
  bool certified(testing::Node const& replica) const { return replica.pool != "model" || replica.zone == "z1"; }
};

struct Line {
  core::Milliseconds tick = 0;
  std::string what;
  std::string id;
};

/// What a replica wrote down of whom it ran.
std::vector<Line> recordOf(std::string const& file) {
  std::ifstream in(file);
  std::vector<Line> out;
  std::string text;
  while (std::getline(in, text)) {
    std::istringstream arguments(text);
    Line line;
    std::string run;
    arguments >> line.tick >> line.what >> run >> line.id;
    if (line.id != "-") out.push_back(line);
  }
  return out;
}

/// Whether somebody asked for its incarnation.
bool wasQueried(std::string const& file) {
  std::ifstream in(file);
  std::string const all((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  return all.find(" asked ") != std::string::npos;
}

std::set<std::string> regulatedIds(testing::Traffic const& traffic) {
  std::set<std::string> out;
  for (testing::CallerRecord const& r : traffic.records())
    if (r.instance == regulated) out.insert(r.id);
  return out;
}

/// One caller of a row of events.
struct Tale {
  std::unique_ptr<http::UpstreamConnection> forwarder;
  std::string got;
  int status = 0;
  bool over = false;
  bool complete = false;

  void begin(std::string const& node, std::string const& id) {
    http::UpstreamConnection::Events e;
    e.connected = [this, id] {
      forwarder->send(
          http::ReplicaRequest{"POST", "/v1/pilot.n/tale", {{"corkward-request-id", id}, {"corkward-attempt", "1"}}},
          "{}");
    };
    e.connectFailed = [this] { over = true; };
    e.head = [this](http::ReplicaHead const& head) { status = head.status; };
    e.chunk = [this](std::string bytes) { got += bytes; };
    e.ended = [this](bool end) {
      complete = end;
      over = true;
    };
    forwarder = std::make_unique<http::UpstreamConnection>(node, std::move(e), nullptr);
  }
};

std::string taleOf(std::string const& id, int events) {
  std::string out;
  for (int i = 1; i <= events; ++i)
    out += "id: " + std::to_string(i) + "\ndata: " + id + " " + std::to_string(i) + "\n\n";
  return out;
}

/// One application for all tests of the program.
void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

}  // namespace

TEST_CASE(
    "no regulated request reaches an uncertified process, though certified ones are busy, die, and lose their "
    "addresses",
    "[regimes]") {
  application();
  Ward ward;
  testing::Fleet& fleet = ward.fleet;
  testing::Traffic traffic(fleet, 11, 1.0);
  traffic.startCalling();
  fleet.runFor(4000);

  ward.change("DELETE", std::string(page) + "/model-z1", "", "");
  core::Milliseconds const revokedFrom = programs::now();
  fleet.runFor(1500);
  core::Milliseconds const revokedUntil = programs::now();
  testing::Reply const left = ward.read(page);
  std::string const revision = std::to_string(left.body.value("stamp").toInteger());
  std::string const again =
      core::jsonText(QJsonObject{{"certificates", QJsonObject{{"model-z1", certificate("model", "z1")}}}});
  ward.change("PATCH", page, again, revision);
  testing::Reply late;
  fleet.until("a late change to be judged", [&] {
    late = ward.call("PATCH", page, again, revision);
    return late.status != 503 && late.status != 504;
  });
  CHECK(late.status == 412);
  fleet.runFor(2000);

  testing::Node& lost = fleet.replicas().front();
  REQUIRE(ward.certified(lost));
  REQUIRE(lost.pool == "model");
  fleet.kill9(lost);
  testing::Node imposter;
  imposter.name = "imposter";
  imposter.record = fleet.folder() + "/imposter.record";
  imposter.program = lost.program;
  imposter.flags = {"--http", core::toQString(lost.http), "--record", core::toQString(imposter.record)};
  fleet.start(imposter);
  fleet.until("a regulated request to be meant for the address", [&] { return wasQueried(imposter.record); });
  fleet.runFor(1000);
  fleet.kill9(imposter);
  fleet.start(lost);
  fleet.runFor(500);
  ward.lists();
  fleet.runFor(3000);
  traffic.stopCalling();
  fleet.until("the last answers", [&] { return traffic.open() == 0; });

  std::set<std::string> const ids = regulatedIds(traffic);
  std::size_t ran = 0;
  std::size_t uncertified = 0;
  for (testing::Node const& r : fleet.replicas())
    for (Line const& l : recordOf(r.record)) {
      if (ids.count(l.id) == 0) {
        uncertified += ward.certified(r) ? 0 : 1;
        continue;
      }
      ran += l.what == "run" ? 1 : 0;
      INFO(r.name << " " << l.what << " " << l.id);
      CHECK(ward.certified(r));
      CHECK_FALSE((l.what == "run" && r.pool == "model" && l.tick > revokedFrom && l.tick < revokedUntil));
    }
  for (Line const& l : recordOf(imposter.record)) CHECK(ids.count(l.id) == 0);
  CHECK(ran > 50);
  CHECK(uncertified > 50);
  testing::Report const report = traffic.report();
  CHECK(report.runTwice == 0);
  CHECK(report.badBodies == 0);
  CHECK(report.rejectedButRan == 0);

  std::vector<std::string> arguments{"regime", "report", "--json"};
  for (testing::Node& n : fleet.routers()) {
    QJsonObject const head = fleet.get(n.http, "/v1/state").body.value("audit").toObject();
    arguments.push_back("--head");
    arguments.push_back(n.link + "=" + std::to_string(head.value("n").toInteger()) + ":" +
                        core::toStdString(head.value("hash").toString()));
    CHECK(fleet.stop(n) == 0);
  }
  for (testing::Node const& n : fleet.routers()) arguments.push_back(fleet.auditFolder(n));
  testing::Fleet::Tool const auditReport = fleet.tool("corkward", arguments);
  INFO(auditReport.out << auditReport.err);
  CHECK(auditReport.code == 0);
  QJsonObject const out = core::parseJson(auditReport.out).toObject();
  std::size_t handed = 0;
  std::size_t rejected = 0;
  for (QJsonValue const s : out.value("regimes").toObject().value("health").toArray())
    for (QJsonValue const v : s.toObject().value("counts").toArray()) {
      QJsonObject const c = v.toObject();
      auto const n = static_cast<std::size_t>(c.value("count").toInteger());
      if (c.value("what") == "denied") rejected += n;
      if (c.value("what") != "handed-over") continue;
      handed += n;
      CHECK(c.value("certificate") == (c.value("pool") == "model" ? "model-z1" : "gateway"));
    }
  CHECK(handed >= ran);
  CHECK(rejected > 0);
  QFile file(core::toQString(fleet.auditFolder(fleet.routers().front()) + "/audit-000000000001"));
  REQUIRE(file.open(QIODevice::ReadWrite));
  file.seek(70);
  file.write("x");
  file.close();
  CHECK(fleet.tool("corkward", arguments).code == 1);
}

TEST_CASE("a row of events of a regime goes on once, at its place, at another certified replica, else ends broken",
          "[regimes]") {
  application();
  Ward ward;
  testing::Fleet& fleet = ward.fleet;
  std::vector<testing::Node*> certified;
  for (testing::Node& r : fleet.replicas())
    if (r.pool == "model" && ward.certified(r)) certified.push_back(&r);
  REQUIRE(certified.size() == 2);
  for (int round = 0; round < 2; ++round) {
    std::string const id = "tale-" + std::to_string(round);
    Tale tale;
    tale.begin(fleet.routers().front().http, id);
    fleet.until("some events", [&] { return tale.got.size() > 300 || tale.over; });
    REQUIRE_FALSE(tale.over);
    for (testing::Node* const r : certified)
      for (Line const& l : recordOf(r->record))
        if (l.id == id && r->process) fleet.kill9(*r);
    fleet.until("the end", [&] { return tale.over; });
    CHECK(tale.complete == (round == 0));
    if (round == 0) CHECK(tale.got == taleOf(id, 60));
    CHECK(taleOf(id, 60).rfind(tale.got, 0) == 0);
  }
  for (testing::Node const& r : fleet.replicas())
    if (!ward.certified(r))
      for (Line const& l : recordOf(r.record)) CHECK(l.id.rfind("tale-", 0) != 0);
  Tale rejected;
  rejected.begin(fleet.routers().front().http, "tale-denied");
  fleet.until("a rejection", [&] { return rejected.over; });
  CHECK(rejected.status == 503);
}

TEST_CASE("a router whose records cannot be kept serves nothing of a regime and everything else", "[regimes]") {
  application();
  Ward ward;
  testing::Fleet& fleet = ward.fleet;
  std::string const http = fleet.routers().front().http;
  REQUIRE(fleet.stop(fleet.routers().front()) == 0);
  std::string const folder = fleet.auditFolder(fleet.routers().front());
  fleet.routers().front().flags += {"--audit", ""};
  fleet.start(fleet.routers().front());
  fleet.untilReady(fleet.routers().size());
  Tale tale;
  tale.begin(http, "tale-1");
  fleet.until("a rejection", [&] { return tale.over; });
  CHECK(tale.status == 503);
  testing::Node at;
  at.http = http;
  CHECK(fleet.call(at, "POST", "/v1/fault-desk.sued/pitch", "{}").status == 200);
  CHECK(fleet.call(at, "POST", "/v1/fault-desk.nord/pitch", "{}").status == 503);
}
