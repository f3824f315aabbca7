#include <catch2/catch.hpp>

#include <QFile>
#include <QJsonArray>
#include <QTemporaryDir>
#include <map>

#include <corkward/core/json.h>

#include "declare.h"
#include "regime_report.h"

#include <corkward/audit/audit_log.h>

namespace core = corkward::core;
namespace audit = corkward::audit;
namespace storage = corkward::storage;
namespace programs = corkward::programs;

namespace {

/// What a controller would answer to reads.
struct Desk {
  std::map<std::string, QJsonObject> pages;

  programs::OperatorOutcome operator()(programs::OperatorCall const& call) const {
    REQUIRE(call.method == "GET");
    programs::OperatorOutcome out;
    std::map<std::string, QJsonObject>::const_iterator const it = pages.find(call.path);
    out.status = it == pages.end() ? 404 : 200;
    if (it != pages.end()) out.body = it->second;
    return out;
  }
  void hold(std::string const& path, char const* spec, int revision, QJsonArray const& instances = {}) {
    QJsonObject page{{"spec", core::parseJson(spec)}, {"stamp", revision}};
    if (!instances.isEmpty()) page.insert("instances", instances);
    pages[path] = page;
  }
};

struct Folder {
  QTemporaryDir dir;

  std::string path() const { return core::toStdString(dir.path()); }
  void write(char const* name, char const* text) const {
    QFile file(dir.filePath(name));
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(text);
  }
};

std::vector<std::string> plan(Folder const& folder, Desk const& desk, bool prune = false) {
  std::vector<std::string> out;
  for (programs::PlannedChange const& c : programs::planChanges(programs::readFolder(folder.path()), prune, desk))
    out.push_back(c.action + " " + c.call.path + " " + c.call.revision);
  return out;
}

std::string faultOf(Folder const& folder, Desk const& desk) {
  try {
    plan(folder, desk);
    return "";
  } catch (programs::UsageError const& e) {
    return e.what();
  }
}

constexpr char const* tenantTemplate =
    R"({"template":"desk","spec":{"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]}})";
constexpr char const* tenant = R"({"template":"desk","instance":"nord","spec":{}})";
constexpr char const* certificates =
    R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{"c1":{"regime":"health","carrier":"replicas",
  "pool":"model","zone":"z1","until":"2099-01-01T00:00:00Z"}}})";
constexpr char const* none = R"({"regimes":{},"certificates":{}})";

Desk withPool() {
  Desk desk;
  desk.hold("/v1/platform/pools/model", "{}", 1);
  return desk;
}

}  // namespace

TEST_CASE("declared certificates go before the tenants that need them") {
  Folder folder;
  folder.write("a-desk.json", tenantTemplate);
  folder.write("b-nord.json", tenant);
  CHECK(faultOf(folder, withPool()).find("no regime named health") != std::string::npos);
  folder.write("z-certificates.json", certificates);
  CHECK(plan(folder, withPool()) == std::vector<std::string>{"create /v1/certificates 0", "create /v1/templates/desk 0",
                                                             "create /v1/templates/desk/instances/nord 0"});
  Desk settled = withPool();
  settled.hold("/v1/certificates", certificates, 4);
  settled.hold("/v1/templates/desk", R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", 1,
               {"nord"});
  settled.hold("/v1/templates/desk/instances/nord", "{}", 2);
  CHECK(plan(folder, settled).empty());
}

TEST_CASE("certificates that tenants in force still need go after the tenants that give them up") {
  Desk desk = withPool();
  desk.hold("/v1/certificates", certificates, 4);
  desk.hold("/v1/templates/desk", R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", 1,
            {"nord"});
  desk.hold("/v1/templates/desk/instances/nord", "{}", 2);
  Folder folder;
  folder.write("desk.json", R"({"template":"desk","spec":{"paths":[{"path":"a","pool":"model","class":"short"}]}})");
  folder.write("nord.json", tenant);
  folder.write("certificates.json", none);
  CHECK(plan(folder, desk) == std::vector<std::string>{"change /v1/templates/desk 1", "change /v1/certificates 4"});
  folder.write("desk.json", tenantTemplate);
  CHECK(faultOf(folder, desk).find("certificates.json: /certificates: desk.nord: no regime named health") !=
        std::string::npos);
}

TEST_CASE("the examples of regimes are valid, certificates first") {
  std::vector<programs::PlannedChange> const changes =
      programs::planChanges(programs::readFolder(CORKWARD_SOURCE "/examples/regimes"), false, withPool());
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].call.path == "/v1/certificates");
  CHECK(changes[2].call.path == "/v1/templates/pilot-desk/instances/nord");
}

TEST_CASE("bad declarations of certificates are told by file and place, before anything is sent") {
  Folder folder;
  folder.write(
      "c.json",
      R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{"c1":{"regime":"health","carrier":"replicas","pool":"m","zone":"z1"}}})");
  CHECK(faultOf(folder, withPool()).find("c.json: /certificates/c1/until: missing") != std::string::npos);
  folder.write("c.json", certificates);
  folder.write("d.json", none);
  CHECK(faultOf(folder, withPool()).find("d.json: /regimes: regimes stand in") != std::string::npos);
}

TEST_CASE("the report of regimes ends with 1 when a record was changed, and with bad use when there are none") {
  Folder folder;
  {
    std::unique_ptr<storage::Directory> const disk = storage::openDirectory(folder.path());
    audit::AuditLog trail(*disk, "n1", 1780000000000);
    trail.count(audit::RecordKind{"handed-over", "health", "desk.nord", "model", "10.0.0.1:80", "r1", "z1", "c1", {}},
                1780000000000);
    trail.close(1780000000001);
  }
  programs::ReportConnections ways;
  ways.folders = {folder.path()};
  CHECK(programs::reportRegimes(ways) == 0);
  ways.json = true;
  CHECK(programs::reportRegimes(ways) == 0);
  ways.heads = {"n1=2:" + std::string(64, 'a')};
  CHECK(programs::reportRegimes(ways) == 1);
  for (char const* bad : {"n1", "n1=2",
                          "n1=x:"
                          "0",
                          "=2:0"}) {
    ways.heads = {bad};
    CHECK_THROWS_AS(programs::reportRegimes(ways), programs::UsageError);
  }
  ways.heads.clear();
  ways.from = "yesterday";
  CHECK_THROWS_AS(programs::reportRegimes(ways), programs::UsageError);
  ways.from.clear();
  Folder const empty;
  ways.folders = {empty.path()};
  CHECK_THROWS_AS(programs::reportRegimes(ways), programs::UsageError);
  ways.folders = {empty.path() + "/nowhere"};
  CHECK_THROWS_AS(programs::reportRegimes(ways), programs::UsageError);
}
