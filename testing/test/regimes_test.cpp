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

constexpr char const* certificatesPath = "/v1/certificates";
constexpr char const* regulated = "fault-desk.nord";
constexpr char const* pilotTemplate =
    R"({"regime":"health","paths":[{"path":"tale","pool":"model","class":"long","events":true,"resumable":true}]})";

QJsonObject certificate(std::string const& pool, std::string const& zone) {
  return QJsonObject{{"regime", "health"},
                     {"carrier", "replicas"},
                     {"pool", core::toQString(pool)},
                     {"zone", core::toQString(zone)},
                     {"until", "2099-01-01T00:00:00Z"}};
}

/// A fleet in which the tenant nord is under a regime and, of the model replicas, only those in z1 are certified.
struct RegimeFleet {
  testing::Fleet fleet;
  int changes = 0;

  RegimeFleet() : fleet(testing::deployments[2]) {
    fleet.enableRegimes();
    fleet.startAll();
    fleet.until("ready controllers", [&] {
      for (testing::Node& n : fleet.controllers())
        if (fleet.get(n.http, "/readyz").status != 200) return false;
      return true;
    });
    publishLists();
    QFile example(CORKWARD_SOURCE "/examples/fault-desk.json");
    REQUIRE(example.open(QIODevice::ReadOnly));
    change("PUT", "/v1/templates/fault-desk", example.readAll().toStdString(), "0");
    QJsonObject const spec{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", "any"}, {"reserve", 1}}}}},
                           {"certificates", QJsonObject{{"model-z1", certificate("model", "z1")},
                                                        {"gateway", certificate("gateway", "z2")}}}};
    change("PUT", certificatesPath, core::jsonText(spec), "0");
    change("PUT", "/v1/templates/fault-desk/instances/nord", R"({"parameters":{"site":"nord"},"regime":"health"})",
           "0");
    change("PUT", "/v1/templates/fault-desk/instances/sued", R"({"parameters":{"site":"sued"}})", "0");
    change("PUT", "/v1/templates/pilot", pilotTemplate, "0");
    change("PUT", "/v1/templates/pilot/instances/n", "{}", "0");
    fleet.untilReady(fleet.routers().size());
  }
  /// Publishes the endpoint lists until they are acknowledged.
  void publishLists() {
    fleet.until("the lists to be acknowledged", [&] {
      try {
        fleet.publishEndpointLists();
        return true;
      } catch (testing::FleetError const&) {
        return false;
      }
    });
  }
  /// Repeats a GET until a controller returns 200.
  testing::Reply read(std::string const& path) {
    testing::Reply out;
    fleet.until(path + " to be read", [&] {
      out = call("GET", path);
      return out.status == 200;
    });
    return out;
  }
  /// Repeats a change with the same id until it is acknowledged.
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
  bool isCertified(testing::Node const& replica) const { return replica.pool != "model" || replica.zone == "z1"; }
};

struct RecordLine {
  core::Milliseconds time = 0;
  std::string what;
  std::string id;
};

/// Returns the entries of a replica's record file that have a request id.
std::vector<RecordLine> recordOf(std::string const& file) {
  std::ifstream in(file);
  std::vector<RecordLine> out;
  std::string text;
  while (std::getline(in, text)) {
    std::istringstream arguments(text);
    RecordLine line;
    std::string run;
    arguments >> line.time >> line.what >> run >> line.id;
    if (line.id != "-") out.push_back(line);
  }
  return out;
}

/// Returns whether a router has queried the replica's incarnation.
bool wasIncarnationQueried(std::string const& file) {
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

/// Caller of an event stream.
struct EventStreamCaller {
  std::unique_ptr<http::UpstreamConnection> forwarder;
  std::string receivedBytes;
  int status = 0;
  bool ended = false;
  bool complete = false;

  void begin(std::string const& node, std::string const& id) {
    http::UpstreamConnection::Events e;
    e.connected = [this, id] {
      forwarder->send(
          http::ReplicaRequest{"POST", "/v1/pilot.n/tale", {{"corkward-request-id", id}, {"corkward-attempt", "1"}}},
          "{}");
    };
    e.connectFailed = [this] { ended = true; };
    e.head = [this](http::ReplicaHead const& head) { status = head.status; };
    e.chunk = [this](std::string bytes) { receivedBytes += bytes; };
    e.ended = [this](core::BodyEnd end) {
      complete = end == core::BodyEnd::framed;
      ended = true;
    };
    forwarder = std::make_unique<http::UpstreamConnection>(node, std::move(e), nullptr);
  }
};

std::string eventsOf(std::string const& id, int events) {
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
    "no request under a regime reaches an uncertified replica while certified ones are busy, are killed or lose their "
    "addresses",
    "[regimes]") {
  application();
  RegimeFleet regimeFleet;
  testing::Fleet& fleet = regimeFleet.fleet;
  testing::Traffic traffic(fleet, 11, 1.0);
  traffic.startCalling();
  fleet.runFor(4000);

  regimeFleet.change("DELETE", std::string(certificatesPath) + "/model-z1", "", "");
  core::Milliseconds const revokedFrom = programs::now();
  fleet.runFor(1500);
  core::Milliseconds const revokedUntil = programs::now();
  testing::Reply const left = regimeFleet.read(certificatesPath);
  std::string const revision = std::to_string(left.body.value("stamp").toInteger());
  std::string const again =
      core::jsonText(QJsonObject{{"certificates", QJsonObject{{"model-z1", certificate("model", "z1")}}}});
  regimeFleet.change("PATCH", certificatesPath, again, revision);
  testing::Reply late;
  fleet.until("a conclusive response to a late change", [&] {
    late = regimeFleet.call("PATCH", certificatesPath, again, revision);
    return late.status != 503 && late.status != 504;
  });
  CHECK(late.status == 412);
  fleet.runFor(2000);

  testing::Node& lost = fleet.replicas().front();
  REQUIRE(regimeFleet.isCertified(lost));
  REQUIRE(lost.pool == "model");
  fleet.crash(lost);
  testing::Node impostor;
  impostor.name = "imposter";
  impostor.record = fleet.directory() + "/imposter.record";
  impostor.program = lost.program;
  impostor.flags = {"--http", core::toQString(lost.http), "--record", core::toQString(impostor.record)};
  fleet.start(impostor);
  fleet.until("the process at the address to be asked for its incarnation",
              [&] { return wasIncarnationQueried(impostor.record); });
  fleet.runFor(1000);
  fleet.crash(impostor);
  fleet.start(lost);
  fleet.runFor(500);
  regimeFleet.publishLists();
  fleet.runFor(3000);
  traffic.stopCalling();
  fleet.until("the last responses", [&] { return traffic.open() == 0; });

  std::set<std::string> const ids = regulatedIds(traffic);
  std::size_t ran = 0;
  std::size_t uncertified = 0;
  for (testing::Node const& r : fleet.replicas())
    for (RecordLine const& l : recordOf(r.record)) {
      if (ids.count(l.id) == 0) {
        uncertified += regimeFleet.isCertified(r) ? 0 : 1;
        continue;
      }
      ran += l.what == "run" ? 1 : 0;
      INFO(r.name << " " << l.what << " " << l.id);
      CHECK(regimeFleet.isCertified(r));
      CHECK_FALSE((l.what == "run" && r.pool == "model" && l.time > revokedFrom && l.time < revokedUntil));
    }
  for (RecordLine const& l : recordOf(impostor.record)) CHECK(ids.count(l.id) == 0);
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
  for (testing::Node const& n : fleet.routers()) arguments.push_back(fleet.auditDirectory(n));
  testing::Fleet::ProgramResult const auditReport = fleet.runProgram("corkward", arguments);
  INFO(auditReport.out << auditReport.err);
  CHECK(auditReport.code == 0);
  QJsonObject const out = core::parseJson(auditReport.out).toObject();
  std::size_t dispatched = 0;
  std::size_t rejected = 0;
  for (QJsonValue const s : out.value("regimes").toObject().value("health").toArray())
    for (QJsonValue const v : s.toObject().value("counts").toArray()) {
      QJsonObject const c = v.toObject();
      auto const n = static_cast<std::size_t>(c.value("count").toInteger());
      if (c.value("what") == "denied") rejected += n;
      if (c.value("what") != "handed-over") continue;
      dispatched += n;
      CHECK(c.value("certificate") == (c.value("pool") == "model" ? "model-z1" : "gateway"));
    }
  CHECK(dispatched >= ran);
  CHECK(rejected > 0);
  QFile file(core::toQString(fleet.auditDirectory(fleet.routers().front()) + "/audit-000000000001"));
  REQUIRE(file.open(QIODevice::ReadWrite));
  file.seek(70);
  file.write("x");
  file.close();
  CHECK(fleet.runProgram("corkward", arguments).code == 1);
}

namespace {

/// Returns the running replica that has recorded the request; null if there is none.
testing::Node* runningHolderOf(std::string const& id, std::vector<testing::Node*> const& replicas) {
  for (testing::Node* const replica : replicas)
    for (RecordLine const& line : recordOf(replica->record))
      if (line.id == id && replica->process) return replica;
  return nullptr;
}

}  // namespace

TEST_CASE("an event stream under a regime is resumed once at another certified replica and otherwise ends truncated",
          "[regimes]") {
  application();
  RegimeFleet regimeFleet;
  testing::Fleet& fleet = regimeFleet.fleet;
  std::vector<testing::Node*> certified;
  for (testing::Node& r : fleet.replicas())
    if (r.pool == "model" && regimeFleet.isCertified(r)) certified.push_back(&r);
  REQUIRE(certified.size() == 2);
  for (int round = 0; round < 2; ++round) {
    std::string const id = "tale-" + std::to_string(round);
    EventStreamCaller caller;
    caller.begin(fleet.routers().front().http, id);
    fleet.until("some events", [&] { return caller.receivedBytes.size() > 300 || caller.ended; });
    REQUIRE_FALSE(caller.ended);
    // Selected before the crash: after it the stream goes on at the other replica, whose record then has it, too.
    testing::Node* const holder = runningHolderOf(id, certified);
    REQUIRE(holder != nullptr);
    fleet.crash(*holder);
    fleet.until("the end", [&] { return caller.ended; });
    CHECK(caller.complete == (round == 0));
    if (round == 0) CHECK(caller.receivedBytes == eventsOf(id, 60));
    CHECK(eventsOf(id, 60).rfind(caller.receivedBytes, 0) == 0);
  }
  for (testing::Node const& r : fleet.replicas())
    if (!regimeFleet.isCertified(r))
      for (RecordLine const& l : recordOf(r.record)) CHECK(l.id.rfind("tale-", 0) != 0);
  EventStreamCaller rejected;
  rejected.begin(fleet.routers().front().http, "tale-denied");
  fleet.until("a rejection", [&] { return rejected.ended; });
  CHECK(rejected.status == 503);
}

TEST_CASE("a router without audit records rejects requests under a regime and serves all others", "[regimes]") {
  application();
  RegimeFleet regimeFleet;
  testing::Fleet& fleet = regimeFleet.fleet;
  std::string const http = fleet.routers().front().http;
  REQUIRE(fleet.stop(fleet.routers().front()) == 0);
  std::string const folder = fleet.auditDirectory(fleet.routers().front());
  fleet.routers().front().flags += {"--audit", ""};
  fleet.start(fleet.routers().front());
  fleet.untilReady(fleet.routers().size());
  EventStreamCaller caller;
  caller.begin(http, "tale-1");
  fleet.until("a rejection", [&] { return caller.ended; });
  CHECK(caller.status == 503);
  testing::Node at;
  at.http = http;
  CHECK(fleet.call(at, "POST", "/v1/fault-desk.sued/pitch", "{}").status == 200);
  CHECK(fleet.call(at, "POST", "/v1/fault-desk.nord/pitch", "{}").status == 503);
}
