#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QHostAddress>
#include <QTcpSocket>
#include <iostream>

#include <corkward/core/json.h>

#include "chaos.h"
#include <corkward/http/server.h>

#include "fleet.h"
#include "traffic.h"

namespace core = corkward::core;
namespace http = corkward::http;
namespace testing = corkward::testing;

namespace {

/// Exit codes of `corkward`: the controllers ask to retry later, or no controller responds.
constexpr int exitRetryLater = 5;
constexpr int exitNoController = 7;

testing::Deployment const& deploymentNamed(std::string const& name) {
  for (testing::Deployment const& d : testing::deployments)
    if (name == d.name) return d;
  throw testing::FleetError("no deployment " + name);
}

/// One application for all tests of the program.
void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

void startFleet(testing::Fleet& fleet) {
  fleet.startAll();
  fleet.until("ready controllers", [&] {
    for (testing::Node& n : fleet.controllers())
      if (fleet.get(n.http, "/readyz").status != 200) return false;
    return true;
  });
  fleet.publishEndpointLists();
  fleet.loadConfigurations();
  fleet.untilReady(fleet.routers().size());
}

struct RawResponse {
  std::string got;
  bool closed = false;
};

/// Sends raw bytes and waits until the connection is closed or the expected text has arrived.
RawResponse sendRaw(testing::Fleet& fleet, std::string const& address, std::string const& bytes,
                    std::string const& expectedText) {
  http::SocketAddress const at = http::parseSocketAddress(address);
  QTcpSocket socket;
  RawResponse out;
  socket.connectToHost(QHostAddress(core::toQString(at.host)), at.port);
  fleet.until("a connection", [&] { return socket.state() == QAbstractSocket::ConnectedState; });
  socket.write(QByteArray::fromStdString(bytes));
  fleet.until("a response to raw bytes", [&] {
    out.got += socket.readAll().toStdString();
    out.closed = socket.state() != QAbstractSocket::ConnectedState;
    return out.closed || (!expectedText.empty() && out.got.find(expectedText) != std::string::npos);
  });
  return out;
}

std::string post(std::string const& path, std::string const& fields, std::string const& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::size_t linesWith(std::string const& file, std::string const& text) {
  QFile f(core::toQString(file));
  if (!f.open(QIODevice::ReadOnly)) return 0;
  std::size_t n = 0;
  for (QByteArray const& line : f.readAll().split('\n')) n += line.contains(core::toQString(text).toUtf8()) ? 1 : 0;
  return n;
}

std::size_t runsOf(testing::Fleet& fleet, std::string const& id) {
  std::size_t n = 0;
  for (testing::Node const& r : fleet.replicas()) n += linesWith(r.record, " " + id + " ");
  return n;
}

void checkReport(testing::Report const& report) {
  CHECK(report.runTwice == 0);
  CHECK(report.badBodies == 0);
  CHECK(report.rejectedButRan == 0);
  CHECK(report.outcomes.count("served") == 1);
}

void drainTraffic(testing::Fleet& fleet, testing::Traffic& traffic) {
  traffic.stopCalling();
  fleet.until(
      "the last responses", [&] { return traffic.open() == 0; }, 90000);
}

}  // namespace

TEST_CASE("invalid input gets an error response, changes nothing and stops no process", "[input]") {
  application();
  testing::Fleet fleet(deploymentNamed("small"));
  startFleet(fleet);
  testing::Node& controller = fleet.firstController();
  testing::Node& router = fleet.routers().front();
  std::string const t = "/v1/templates/fault-desk";
  testing::Reply const before = fleet.call(controller, "GET", t);
  REQUIRE(before.status == 200);
  std::string const revision = std::to_string(before.body.value("stamp").toInteger());
  constexpr char const* good = R"({"paths":[{"path":"a","pool":"model","class":"short"}]})";
  CHECK(fleet.call(controller, "PUT", t, "{", revision).status == 400);
  CHECK(fleet.call(controller, "PUT", t, R"({"paths":[]})", revision).status == 422);
  CHECK(fleet.call(controller, "PUT", t, R"({"surprise":1})", revision).body.value("pointer").toString() ==
        "/template/surprise");
  CHECK(fleet.call(controller, "PUT", t, good).status == 428);
  CHECK(fleet.call(controller, "PUT", t, good, "12345").status == 412);
  CHECK(fleet.call(controller, "PUT", t, std::string(3 << 20, ' '), revision).status == 413);
  CHECK(fleet.call(controller, "PUT", t + "/instances/neu", R"({"parameters":{}})", "0").status == 422);
  CHECK(fleet.call(controller, "PUT", t + "/instances/neu", R"({"parameters":{"site":"x","extra":1}})", "0").status ==
        422);
  CHECK(fleet.call(controller, "PUT", "/v1/templates/none/instances/neu", "{}", "0").status == 404);
  CHECK(fleet.call(controller, "GET", "/v1/templates/none").status == 404);
  CHECK(fleet.call(controller, "DELETE", t, "", revision).status == 422);
  CHECK(fleet.call(controller, "POST", t, "{}").status == 405);
  CHECK(fleet.call(controller, "GET", "/v1/nowhere").status == 404);
  CHECK(fleet.call(controller, "PUT", "/v1/platform/pools/model", R"({"generation":1,"replicas":[]})").status == 409);
  CHECK(fleet.call(controller, "GET", "/v1/changes/never-said").status == 404);
  std::string const nord = t + "/instances/nord";
  std::string const is = std::to_string(fleet.call(controller, "GET", nord).body.value("stamp").toInteger());
  CHECK(fleet.change("PATCH", nord, R"({"parameters":{"pitch-aim":700}})", is, "one").status == 200);
  CHECK(fleet.call(controller, "PATCH", nord, R"({"parameters":{"pitch-aim":700}})", is, "one")
            .body.value("replayed")
            .toBool());
  CHECK(fleet.call(controller, "PATCH", nord, R"({"parameters":{"pitch-aim":701}})", is, "one").status == 409);
  fleet.until("the change to be reported as in force",
              [&] { return fleet.call(controller, "GET", "/v1/changes/one").body.value("inForce").toBool(); });
  CHECK(fleet.call(controller, "GET", t).body.value("spec") == before.body.value("spec"));

  CHECK(sendRaw(fleet, router.http, "GARBAGE\r\n\r\n", "").got.find(" 400 ") != std::string::npos);
  CHECK(sendRaw(fleet, router.http,
                "POST /v1/a/b HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "")
            .got.find(" 400 ") != std::string::npos);
  CHECK(sendRaw(fleet, router.http, "POST /v1/a/b HTTP/1.1\r\nContent-Length: -3\r\n\r\n", "").got.find(" 400 ") !=
        std::string::npos);
  CHECK(sendRaw(fleet, router.http, "POST /v1/a/b HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n", "")
            .got.find(" 431 ") != std::string::npos);
  CHECK(sendRaw(fleet, router.http, "POST /v1/a/b HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", "").got.find(" 413 ") !=
        std::string::npos);
  CHECK(sendRaw(fleet, router.http, "POST /v1/a/b HTTP/1.0\r\nContent-Length: 0\r\n\r\n", "").got.find(" 505 ") !=
        std::string::npos);
  CHECK(sendRaw(fleet, router.http, post("/v1/fault-desk.nord/nowhere", "", "{}"), "outcome").got.find(" 404 ") !=
        std::string::npos);
  CHECK(sendRaw(fleet, router.http, post("/v1/fault-desk.nord/pitch", "Corkward-Attempt: zero\r\n", "{}"), "outcome")
            .got.find(" 400 ") != std::string::npos);
  CHECK(sendRaw(fleet, router.http, post("/v1/fault-desk.nord/pitch", "Corkward-Attempt: 2\r\n", "{}"), "outcome")
            .got.find(" 409 ") != std::string::npos);
  {
    http::SocketAddress const at = http::parseSocketAddress(router.http);
    QTcpSocket cut;
    cut.connectToHost(QHostAddress(core::toQString(at.host)), at.port);
    cut.write(
        "POST /v1/fault-desk.nord/pitch HTTP/1.1\r\nCorkward-Request-Id: truncated\r\nContent-Length: 100\r\n\r\nhalf");
    fleet.until("bytes to leave",
                [&] { return cut.state() == QAbstractSocket::ConnectedState && cut.bytesToWrite() == 0; });
    cut.disconnectFromHost();
  }
  core::RandomGenerator rng(7);
  for (testing::Node const* const n : {&controller, &router})
    for (int i = 0; i < 20; ++i) {
      http::SocketAddress const at = http::parseSocketAddress(n->link);
      QTcpSocket socket;
      socket.connectToHost(QHostAddress(core::toQString(at.host)), at.port);
      fleet.until("the link port", [&] { return socket.state() == QAbstractSocket::ConnectedState; });
      QByteArray bytes(400, '\0');
      for (char& c : bytes) c = static_cast<char>(rng.next());
      if (i % 2 == 0) bytes.prepend(QByteArray("\0SP\0\0\x50\0\0", 8));
      socket.write(bytes);
      fleet.until("garbage to leave",
                  [&] { return socket.bytesToWrite() == 0 || socket.state() != QAbstractSocket::ConnectedState; });
    }
  testing::Traffic traffic(fleet, 3, 1.0);
  for (int i = 0; i < 20; ++i) traffic.send(i % 2 == 0 ? "short" : "urgent");
  drainTraffic(fleet, traffic);
  CHECK(traffic.outcomes()["served"] == 20);
  CHECK(runsOf(fleet, "truncated") == 0);
  for (std::vector<testing::Node>* const group : {&fleet.controllers(), &fleet.routers()})
    for (testing::Node const& n : *group) CHECK(n.process->state() == QProcess::Running);
}

TEST_CASE("a request is executed once and a truncated body never looks complete", "[wire]") {
  application();
  testing::Fleet fleet(deploymentNamed("small"));
  for (testing::Node& n : fleet.replicas())
    if (n.pool == "model") n.flags += {"--first-ms", "300", "--gap-ms", "20", "--drop-after", "3"};
  startFleet(fleet);
  testing::Node& router = fleet.routers().front();
  SECTION("a response aborted by the replica is truncated and the request is not executed again") {
    RawResponse const r =
        sendRaw(fleet, router.http, post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: broken1\r\n", "{}"), "");
    CHECK(r.closed);
    CHECK(r.got.find(" 200 ") != std::string::npos);
    CHECK(r.got.find("\r\n0\r\n") == std::string::npos);
    std::size_t const lines = runsOf(fleet, "broken1");
    CHECK(lines == 2);
    RawResponse const again = sendRaw(
        fleet, router.http,
        post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: broken1\r\nCorkward-Attempt: 2\r\n", "{}"), "outcome");
    CHECK(again.got.find(" 409 ") != std::string::npos);
    CHECK(again.got.find("\"unknown\"") != std::string::npos);
    RawResponse const otherRequest = sendRaw(
        fleet, fleet.routers()[1].http,
        post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: broken1\r\nCorkward-Attempt: 2\r\n", "{}"), "outcome");
    CHECK(otherRequest.got.find(" 409 ") != std::string::npos);
    CHECK(runsOf(fleet, "broken1") == lines);
  }
  SECTION("an aborted resumable stream continues the same run at the same offset") {
    RawResponse const r =
        sendRaw(fleet, router.http, post("/v1/fault-desk.nord/report/nord", "Corkward-Request-Id: resumed1\r\n", "{}"),
                "\r\n0\r\n");
    std::string body;
    std::size_t at = r.got.find("\r\n\r\n") + 4;
    while (at < r.got.size()) {
      std::size_t const line = r.got.find("\r\n", at);
      std::size_t const size = std::stoul(r.got.substr(at, line - at), nullptr, 16);
      body += r.got.substr(line + 2, size);
      at = line + 2 + size + 2;
    }
    testing::BodyVerdict const v = testing::checkBody(body);
    CHECK(v.complete);
    CHECK(v.oneRun);
    std::size_t resumes = 0;
    for (testing::Node const& n : fleet.replicas()) resumes += linesWith(n.record, " resume ");
    CHECK(resumes == 1);
  }
  SECTION("a request whose replica is killed after the dispatch gets the outcome unknown") {
    http::SocketAddress const at = http::parseSocketAddress(router.http);
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(core::toQString(at.host)), at.port);
    socket.write(
        QByteArray::fromStdString(post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: killed1\r\n", "{}")));
    fleet.until("the run", [&] { return runsOf(fleet, "killed1") == 1; });
    for (testing::Node& n : fleet.replicas())
      if (n.pool == "model") fleet.crash(n);
    std::string got;
    fleet.until("a response", [&] {
      got += socket.readAll().toStdString();
      return got.find("outcome\":") != std::string::npos;
    });
    CHECK(got.find(" 502 ") != std::string::npos);
    CHECK(got.find("\"unknown\"") != std::string::npos);
    CHECK(got.find("Retry-After") == std::string::npos);
    RawResponse const none = sendRaw(
        fleet, router.http, post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: none1\r\n", "{}"), "outcome\":");
    CHECK(none.got.find(" 503 ") != std::string::npos);
    CHECK(none.got.find("\"not-run\"") != std::string::npos);
    CHECK(none.got.find("retry-after: ") != std::string::npos);
  }
  SECTION("the replica is notified when the caller disconnects") {
    http::SocketAddress const at = http::parseSocketAddress(router.http);
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(core::toQString(at.host)), at.port);
    socket.write(QByteArray::fromStdString(post("/v1/fault-desk.nord/pitch", "Corkward-Request-Id: gone1\r\n", "{}")));
    fleet.until("the run", [&] { return runsOf(fleet, "gone1") == 1; });
    socket.abort();
    fleet.until("the replica to notice", [&] {
      std::size_t n = 0;
      for (testing::Node const& r : fleet.replicas()) n += linesWith(r.record, " gone ");
      return n == 1;
    });
  }
}

TEST_CASE("no rule is broken while routers and controllers are killed, frozen, restarted and wiped", "[faults]") {
  application();
  testing::Fleet fleet(deploymentNamed("small"));
  startFleet(fleet);
  testing::Traffic traffic(fleet, 5, 2.0);
  traffic.startCalling();
  std::string const t = "/v1/templates/fault-desk/instances/nord";
  auto const patch = [&](int target) {
    fleet.until("a change", [&] {
      testing::Reply const now = fleet.call(fleet.firstController(), "GET", t);
      if (now.status != 200) return false;
      testing::Reply const r = fleet.call(fleet.firstController(), "PATCH", t,
                                          R"({"parameters":{"pitch-aim":)" + std::to_string(target) + "}}",
                                          std::to_string(now.body.value("stamp").toInteger()));
      return r.status == 200;
    });
  };
  patch(701);
  fleet.crash(fleet.routers()[0]);
  patch(702);
  fleet.start(fleet.routers()[0]);
  fleet.untilReady(3);
  fleet.freeze(fleet.routers()[1]);
  patch(703);
  fleet.resume(fleet.routers()[1]);
  fleet.untilReady(3);
  CHECK(fleet.stop(fleet.routers()[2]) == 0);
  fleet.start(fleet.routers()[2]);
  fleet.crash(fleet.controllers()[0]);
  patch(704);
  fleet.wipe(fleet.controllers()[0]);
  fleet.start(fleet.controllers()[0]);
  fleet.until("the empty member to vote", [&] {
    return fleet.get(fleet.controllers()[0].http, "/v1/fleet").body.value("voting").toBool() &&
           fleet.get(fleet.controllers()[0].http, "/readyz").status == 200;
  });
  CHECK(fleet.stop(fleet.controllers()[1]) == 0);
  patch(705);
  fleet.start(fleet.controllers()[1]);
  fleet.untilReady(3);
  std::size_t const beforeOutage = traffic.outcomes()["served"];
  for (testing::Node& n : fleet.controllers()) fleet.crash(n);
  fleet.until("traffic without controllers", [&] { return traffic.outcomes()["served"] > beforeOutage + 60; });
  for (testing::Node& n : fleet.controllers()) fleet.start(n);
  fleet.untilReady(3);
  drainTraffic(fleet, traffic);
  checkReport(traffic.report());
  CHECK(fleet.call(fleet.firstController(), "GET", t)
            .body.value("spec")
            .toObject()
            .value("parameters")
            .toObject()
            .value("pitch-aim")
            .toInteger() == 705);
}

TEST_CASE("no rule is broken in either deployment while real processes fail at random", "[chaos]") {
  application();
  for (char const* const name : {"harmattan", "lernkarten"}) {
    testing::ChaosPlan plan;
    plan.deployment = name;
    plan.seed = 3;
    plan.events = 8;
    plan.scale = 0.6;
    plan.checkTimeLimits = false;
    testing::ChaosResult const r = testing::chaos(plan);
    for (std::string const& v : r.violations) std::cerr << name << ": " << v << "\n";
    CHECK(r.violations.empty());
    CHECK(r.faultyConnections > 0);
    CHECK(r.changes > 0);
    CHECK(r.recoveryMs >= 0);
  }
}

TEST_CASE("a fleet whose processes were all killed serves again with the acknowledged configuration", "[outage]") {
  application();
  testing::Fleet fleet(deploymentNamed("small"));
  startFleet(fleet);
  std::string const t = "/v1/templates/fault-desk";
  testing::Reply const before = fleet.call(fleet.firstController(), "GET", t);
  for (std::vector<testing::Node>* const group : {&fleet.routers(), &fleet.controllers(), &fleet.replicas()})
    for (testing::Node& n : *group) fleet.crash(n);
  fleet.startAll();
  fleet.untilReady(3);
  testing::Traffic traffic(fleet, 9, 1.0);
  for (int i = 0; i < 30; ++i) traffic.send("short");
  drainTraffic(fleet, traffic);
  CHECK(traffic.outcomes()["served"] == 30);
  CHECK(fleet.call(fleet.firstController(), "GET", t).body == before.body);
}

TEST_CASE("both deployments serve their traffic and avoid a leaving replica and an evacuated zone", "[deployments]") {
  application();
  for (char const* const name : {"harmattan", "lernkarten"}) {
    testing::Fleet fleet(deploymentNamed(name));
    startFleet(fleet);
    testing::Traffic traffic(fleet, 11, 1.0);
    traffic.startCalling();
    fleet.until("traffic", [&] { return traffic.outcomes()["served"] > 200; });
    fleet.publishEndpointLists({{"model1", "leaving"}, {"model2", "cold"}});
    std::size_t const model1 = linesWith(fleet.replicas()[0].record, " run ");
    CHECK(fleet.change("PUT", "/v1/evacuations/z2").status == 200);
    std::vector<std::size_t> z2;
    for (testing::Node const& r : fleet.replicas()) z2.push_back(linesWith(r.record, " run "));
    std::size_t const served = traffic.outcomes()["served"];
    fleet.until("traffic outside the zone", [&] { return traffic.outcomes()["served"] > served + 300; });
    CHECK(linesWith(fleet.replicas()[0].record, " run ") <= model1 + 8);
    for (std::size_t i = 0; i < z2.size(); ++i)
      if (fleet.replicas()[i].zone == "z2") CHECK(linesWith(fleet.replicas()[i].record, " run ") <= z2[i] + 8);
    for (testing::Node const& n : fleet.routers())
      if (n.zone == "z2") CHECK(fleet.get(n.http, "/readyz").status == 503);
    CHECK(fleet.change("DELETE", "/v1/evacuations/z2").status == 200);
    fleet.untilReady(fleet.routers().size());
    drainTraffic(fleet, traffic);
    testing::Report const report = traffic.report();
    checkReport(report);
    std::cerr << name << "\n" << testing::text(report);
  }
}

TEST_CASE("the programs reject invalid settings, commands, runbooks and rules and execute valid ones", "[tools]") {
  application();
  testing::Fleet fleet(deploymentNamed("small"));
  std::string const conf = fleet.directory() + "/x.conf";
  struct Case {
    std::vector<std::string> flags;
    char const* name;
  };
  std::vector<std::string> const good{"--link", "127.0.0.1:1", "--http", "127.0.0.1:2",
                                      "--zone", "z1",          "--seed", "127.0.0.1:3"};
  std::vector<Case> const cases{
      {{}, "link: missing"},
      {{"--link", "x"}, "link: must be ip:port"},
      {{"--nonsense", "1"}, "nonsense"},
      {{"--link", "127.0.0.1:1", "--http", "127.0.0.1:1"}, "http: must differ"},
      {{"--link", "127.0.0.1:1", "--http", "127.0.0.1:2", "--zone", "Z!", "--seed", "127.0.0.1:3"},
       "zone: not a valid name"},
      {{"--link", "127.0.0.1:1", "--http", "127.0.0.1:2", "--zone", "z"}, "seed: missing"},
      {{"--settings", "/nowhere"}, "settings: cannot be read"}};
  for (Case const& r : cases) {
    testing::Fleet::ProgramResult const t = fleet.runProgram("corkward-router", r.flags);
    CHECK(t.code == 2);
    CHECK(t.err.find(r.name) != std::string::npos);
  }
  std::vector<std::string> check = good;
  check.push_back("--check");
  CHECK(fleet.runProgram("corkward-router", check).code == 0);
  for (char const* const program : {"corkward-router", "corkward-control"}) {
    std::string const example = CORKWARD_SOURCE "/examples/settings/" + std::string(program).substr(9) + ".conf";
    CHECK(fleet.runProgram(program, {"--settings", example, "--check"}).code == 0);
    CHECK(fleet.runProgram(program, {"--help"}).out.find("--drain-limit") != std::string::npos);
    CHECK(fleet.runProgram(program, {"--version"}).out.find("0.1.0") != std::string::npos);
  }
  QFile file(core::toQString(conf));
  REQUIRE(file.open(QIODevice::WriteOnly));
  file.write("link = 127.0.0.1:1\nbogus = 3\n");
  file.close();
  testing::Fleet::ProgramResult const unknownSetting = fleet.runProgram("corkward-control", {"--settings", conf});
  CHECK(unknownSetting.code == 2);
  CHECK(unknownSetting.err.find("bogus") != std::string::npos);

  startFleet(fleet);
  std::vector<std::string> controllerFlags;
  for (testing::Node const& n : fleet.controllers()) {
    controllerFlags.push_back("--controller");
    controllerFlags.push_back(n.http);
  }
  auto const run = [&](std::string const& program, std::vector<std::string> expectedText, std::string const& input) {
    expectedText.insert(expectedText.end(), controllerFlags.begin(), controllerFlags.end());
    if (program != "corkward") return fleet.runProgram(program, expectedText, input);
    expectedText.insert(expectedText.end(), {"--wait", "60"});
    testing::Fleet::ProgramResult out;
    fleet.until("a response other than to retry later", [&] {
      out = fleet.runProgram(program, expectedText, input);
      return out.code != exitRetryLater && out.code != exitNoController;
    });
    return out;
  };
  CHECK(run("corkward", {"templates"}, "").out.find("fault-desk") != std::string::npos);
  CHECK(run("corkward", {"template-put", "neu", "-", "--revision", "0", "--dry-run"},
            R"({"paths":[{"path":"a","pool":"model","class":"short"}]})")
            .code == 0);
  CHECK(run("corkward", {"template-get", "neu"}, "").code == 3);
  CHECK(run("corkward", {"template-put", "neu", "-", "--revision", "0"},
            R"({"paths":[{"path":"a","pool":"model","class":"short"}]})")
            .code == 0);
  CHECK(run("corkward", {"template-put", "neu", "-", "--revision", "0"},
            R"({"paths":[{"path":"a","pool":"model","class":"short"}]})")
            .code == 4);
  CHECK(run("corkward", {"template-put", "neu", "-", "--revision", "1"}, "{").code == 3);
  CHECK(run("corkward", {"dance"}, "").code == 2);
  CHECK(fleet.runProgram("corkward", {"fleet", "--controller", "127.0.0.1:1"}).code == 7);
  testing::Fleet::ProgramResult const asJson = run("corkward", {"template-get", "neu", "--json"}, "");
  CHECK(core::parseJson(asJson.out).toObject().value("stamp").toInteger() == 1);

  std::string const complete = CORKWARD_SOURCE "/examples/configuration.json";
  CHECK(run("corkward", {"fleet-configuration-get"}, "").code == 3);
  CHECK(run("corkward", {"fleet-configuration-put", complete, "--revision", "0", "--dry-run"}, "").code == 0);
  CHECK(run("corkward", {"fleet-configuration-get"}, "").code == 3);
  CHECK(run("corkward", {"fleet-configuration-put", complete}, "").code == 3);
  CHECK(run("corkward", {"fleet-configuration-put", complete, "--revision", "0"}, "").code == 0);
  CHECK(run("corkward", {"fleet-configuration-put", complete, "--revision", "4"}, "").out.find("replayed") !=
        std::string::npos);
  CHECK(run("corkward", {"fleet-configuration-patch", "-", "--revision", "0"}, R"({"version":9})").code == 4);
  CHECK(run("corkward", {"fleet-configuration-patch", "-", "--revision", "7"},
            R"({"version":9,"drop":{"pools":["model"]}})")
            .code == 3);
  CHECK(run("corkward", {"fleet-configuration-patch", "-", "--revision", "7"},
            R"({"version":9,"drop":{"paths":["pitch"]}})")
            .code == 0);
  QJsonObject const read = core::parseJson(run("corkward", {"fleet-configuration-get", "--json"}, "").out).toObject();
  CHECK((read.value("stamp").toInteger() == 9 && read.value("body").toObject().value("version").toInteger() == 9));
  CHECK(read.value("body").toObject().value("spec").toObject().value("paths").toArray().size() == 1);
  QJsonObject large = read.value("body").toObject().value("spec").toObject();
  large.insert("version", 10);
  large.insert("extra", QJsonObject{{"text", QString(3 << 20, 'x')}});
  CHECK(run("corkward", {"fleet-configuration-put", "-", "--revision", "9"}, core::jsonText(large)).code == 0);

  std::string const runbooks = CORKWARD_SOURCE "/examples/runbooks/";
  CHECK(run("corkward-runbook", {runbooks + "evacuate-zone.json"}, "").code == 2);
  CHECK(run("corkward-runbook", {runbooks + "evacuate-zone.json", "--set", "zone=z2", "--check"}, "").code == 0);
  CHECK(run("corkward-runbook", {runbooks + "evacuate-zone.json", "--set", "zone=z2", "--dry-run"}, "").code == 0);
  CHECK_FALSE(fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool());
  CHECK(run("corkward-runbook", {runbooks + "evacuate-zone.json", "--set", "zone=z2"}, "").code == 0);
  CHECK(fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool());
  CHECK(run("corkward-runbook", {runbooks + "lift-zone.json", "--set", "zone=z2"}, "").code == 0);
  CHECK_FALSE(fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool());
  CHECK(run("corkward-runbook", {runbooks + "read-back.json", "--set", "file=" + fleet.directory() + "/saved.json"}, "")
            .code == 0);
  CHECK(run("corkward-runbook",
            {runbooks + "restore-after-outage.json", "--set", "saved=" + fleet.directory() + "/saved.json", "--yes"},
            "")
            .code == 0);
  CHECK(run("corkward", {"template-delete", "neu", "--revision", "1"}, "").code == 0);
  testing::Fleet::ProgramResult const differs =
      run("corkward-runbook",
          {runbooks + "restore-after-outage.json", "--set", "saved=" + fleet.directory() + "/saved.json", "--yes"}, "");
  CHECK(differs.code == 1);
  CHECK(differs.out.find("template neu differs") != std::string::npos);
  CHECK(run("corkward-runbook", {runbooks + "rolling-restart.json", "--set", "node=n"}, "no\n").code == 1);

  std::string const declared = fleet.directory() + "/declared";
  auto const declareIn = [&](std::string const& name, std::string const& text) {
    REQUIRE(QDir().mkpath(core::toQString(declared)));
    QFile f(core::toQString(declared + "/" + name));
    REQUIRE(f.open(QIODevice::WriteOnly));
    f.write(text.c_str());
  };
  declareIn(
      "t.json",
      R"({"template":"kept","spec":{"parameters":{"site":{"type":"string"}},"paths":[{"path":"a","pool":"model","class":"short"}]}})");
  declareIn("i.json", R"({"template":"kept","instance":"nord","spec":{"parameters":{"site":"n"}}})");
  CHECK(run("corkward", {"diff", declared}, "").code == 1);
  CHECK(run("corkward", {"apply", declared, "--dry-run"}, "").out.find("create /v1/templates/kept/instances/nord") !=
        std::string::npos);
  CHECK(run("corkward", {"template-get", "kept"}, "").code == 3);
  CHECK(run("corkward", {"apply", declared}, "").code == 0);
  CHECK(run("corkward", {"diff", declared}, "").code == 0);
  testing::Fleet::ProgramResult const unchanged = run("corkward", {"apply", declared, "--json"}, "");
  CHECK(unchanged.out.find("\"changes\":[]") != std::string::npos);
  CHECK(fleet.call(fleet.firstController(), "GET", "/v1/templates/kept").body.value("stamp").toInteger() == 1);
  declareIn(
      "t.json",
      R"({"template":"kept","spec":{"parameters":{"site":{"type":"string"},"aim":{"type":"integer"}},"paths":[{"path":"a","pool":"model","class":"short"}]}})");
  testing::Fleet::ProgramResult const missing = run("corkward", {"apply", declared}, "");
  CHECK(missing.code == 2);
  CHECK(missing.err.find("aim") != std::string::npos);
  declareIn(
      "t.json",
      R"({"template":"kept","spec":{"parameters":{"site":{"type":"string"},"aim":{"type":"integer","default":3}},"paths":[{"path":"a","pool":"model","class":"short"}]}})");
  declareIn("i.json", R"({"template":"kept","instance":"nord","spec":{"parameters":{"site":"n","aim":4}}})");
  CHECK(run("corkward", {"apply", declared}, "").code == 0);
  declareIn("again.json", R"({"template":"kept","instance":"nord","spec":{}})");
  testing::Fleet::ProgramResult const doubled = run("corkward", {"apply", declared}, "");
  CHECK(doubled.code == 2);
  CHECK(doubled.err.find("again.json") != std::string::npos);
  declareIn("again.json", "{");
  CHECK(run("corkward", {"diff", declared}, "").code == 2);
  declareIn("again.json", R"({"template":"nobody","instance":"x","spec":{}})");
  CHECK(run("corkward", {"apply", declared}, "").err.find("neither declared nor present in the fleet") !=
        std::string::npos);
  QFile::remove(core::toQString(declared + "/again.json"));
  QFile::remove(core::toQString(declared + "/i.json"));
  CHECK(run("corkward", {"diff", declared}, "").code == 0);
  CHECK(run("corkward", {"diff", declared, "--prune"}, "").out.find("remove /v1/templates/kept/instances/nord") !=
        std::string::npos);
  CHECK(fleet.call(fleet.firstController(), "GET", "/v1/templates/kept/instances/nord").status == 200);

  std::string const rules = CORKWARD_SOURCE "/examples/rules/zones.yml";
  CHECK(run("corkward-runbook", {"--rules", rules, "--check"}, "").code == 0);
  QFile badRules(core::toQString(fleet.directory() + "/bad.yml"));
  REQUIRE(badRules.open(QIODevice::WriteOnly));
  badRules.write(
      "groups:\n- name: g\n  rules:\n  - alert: a\n    expr: rate(x[1m]) > 1\n    annotations: {runbook: "
      "evacuate-zone.json}\n");
  badRules.close();
  testing::Fleet::ProgramResult const bad =
      run("corkward-runbook", {"--rules", fleet.directory() + "/bad.yml", "--check"}, "");
  CHECK(bad.code == 2);
  CHECK(bad.err.find("line 5") != std::string::npos);
  testing::Node const& lost = fleet.routers()[1];
  REQUIRE(lost.zone == "z2");
  fleet.crash(fleet.routers()[1]);
  QFile quick(core::toQString(fleet.directory() + "/quick.yml"));
  REQUIRE(quick.open(QIODevice::WriteOnly));
  quick.write(
      "groups:\n- name: g\n  rules:\n  - alert: a\n    expr: sum(corkward_up{zone=\"z2\"}) < 1\n    for: 1s\n    "
      "annotations: {runbook: evacuate-zone.json, parameters: {zone: z2}}\n");
  quick.close();
  QFile::copy(core::toQString(runbooks + "evacuate-zone.json"),
              core::toQString(fleet.directory() + "/evacuate-zone.json"));
  testing::Fleet::ProgramResult const fired = run(
      "corkward-runbook",
      {"--rules", fleet.directory() + "/quick.yml", "--target", "z2=" + lost.http, "--every", "1", "--acts", "1"}, "");
  CHECK(fired.out.find("alert=a runbook=") != std::string::npos);
  testing::Node secondRunner;
  secondRunner.name = "second-watch";
  secondRunner.program = CORKWARD_BIN "/programs/corkward-runbook";
  for (testing::Node const& s : fleet.controllers()) secondRunner.flags += {"--controller", core::toQString(s.http)};
  secondRunner.flags += {"--rules",  core::toQString(fleet.directory() + "/quick.yml"),
                         "--target", core::toQString("z2=" + lost.http),
                         "--every",  "1"};
  CHECK(fleet.change("DELETE", "/v1/evacuations/z2").status == 200);
  fleet.start(secondRunner);
  std::string const output = fleet.directory() + "/second-watch.out";
  fleet.until("the second runner to find the alert handled", [&] { return linesWith(output, "state=done") > 0; });
  CHECK(linesWith(output, "runbook=") == 0);
  CHECK_FALSE(fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool());
  fleet.start(fleet.routers()[1]);
  fleet.until("the alert to clear", [&] {
    return fleet.call(fleet.firstController(), "GET", "/v1/alerts/a").body.value("state").toString() == "clear";
  });
  fleet.crash(fleet.routers()[1]);
  fleet.until("the second runner to act", [&] { return linesWith(output, "runbook=") > 0; });
  fleet.until("the evacuation", [&] {
    return fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool();
  });
  fleet.crash(secondRunner);
  CHECK(fleet.call(fleet.firstController(), "GET", "/v1/evacuations/z2").body.value("evacuated").toBool());
}
