#include <catch2/catch.hpp>

#include <QJsonArray>
#include <map>

#include <corkward/core/json.h>

#include "change_plan.h"
#include "temporary_directory.h"

namespace core = corkward::core;
namespace programs = corkward::programs;
using programs::test::TemporaryDirectory;

namespace {

/// A controller that responds to reads with stored bodies, and with 404 for any other path.
struct FakeController {
  std::map<std::string, QJsonObject> pages;

  programs::OperatorReply operator()(programs::OperatorCall const& call) const {
    REQUIRE(call.method == core::HttpMethod::get);
    programs::OperatorReply out;
    auto const it = pages.find(call.path);
    out.status = it == pages.end() ? 404 : 200;
    if (it != pages.end()) out.body = it->second;
    return out;
  }
  void store(std::string const& path, char const* spec, int revision, QJsonArray const& instances = {}) {
    QJsonObject page{{"spec", core::parseJson(spec)}, {"stamp", revision}};
    if (!instances.isEmpty()) page.insert("instances", instances);
    pages[path] = page;
  }
};

std::vector<std::string> plan(TemporaryDirectory const& directory, FakeController const& controller,
                              bool prune = false) {
  std::vector<std::string> out;
  for (programs::PlannedChange const& change :
       programs::planChanges(programs::readDeclarations(directory.path()), prune, controller))
    out.push_back(std::string(name(change.action)) + " " + change.call.path + " " + change.call.revision);
  return out;
}

std::string errorOf(TemporaryDirectory const& directory, FakeController const& controller) {
  try {
    plan(directory, controller);
    return "";
  } catch (programs::UsageError const& error) {
    return error.what();
  }
}

constexpr char const* tenantTemplate =
    R"({"template":"desk","spec":{"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]}})";
constexpr char const* tenant = R"({"template":"desk","instance":"nord","spec":{}})";
constexpr char const* certificates =
    R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{"c1":{"regime":"health","carrier":"replicas",
  "pool":"model","zone":"z1","until":"2099-01-01T00:00:00Z"}}})";
constexpr char const* noCertificates = R"({"regimes":{},"certificates":{}})";

FakeController withPool() {
  FakeController controller;
  controller.store("/v1/platform/pools/model", "{}", 1);
  return controller;
}

}  // namespace

TEST_CASE("declared certificates are changed before the tenants that need them") {
  TemporaryDirectory directory;
  directory.write("a-desk.json", tenantTemplate);
  directory.write("b-nord.json", tenant);
  CHECK(errorOf(directory, withPool()).find("no regime named health") != std::string::npos);
  directory.write("z-certificates.json", certificates);
  CHECK(plan(directory, withPool()) == std::vector<std::string>{"create /v1/certificates 0",
                                                                "create /v1/templates/desk 0",
                                                                "create /v1/templates/desk/instances/nord 0"});
  FakeController unchanged = withPool();
  unchanged.store("/v1/certificates", certificates, 4);
  unchanged.store("/v1/templates/desk", R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})",
                  1, {"nord"});
  unchanged.store("/v1/templates/desk/instances/nord", "{}", 2);
  CHECK(plan(directory, unchanged).empty());
}

TEST_CASE("certificates that current tenants still need are changed after these tenants") {
  FakeController controller = withPool();
  controller.store("/v1/certificates", certificates, 4);
  controller.store("/v1/templates/desk", R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})",
                   1, {"nord"});
  controller.store("/v1/templates/desk/instances/nord", "{}", 2);
  TemporaryDirectory directory;
  directory.write("desk.json", R"({"template":"desk","spec":{"paths":[{"path":"a","pool":"model","class":"short"}]}})");
  directory.write("nord.json", tenant);
  directory.write("certificates.json", noCertificates);
  CHECK(plan(directory, controller) ==
        std::vector<std::string>{"change /v1/templates/desk 1", "change /v1/certificates 4"});
  directory.write("desk.json", tenantTemplate);
  CHECK(errorOf(directory, controller).find("certificates.json: /certificates: desk.nord: no regime named health") !=
        std::string::npos);
}

TEST_CASE("the examples of regimes are valid and planned with certificates first") {
  std::vector<programs::PlannedChange> const changes =
      programs::planChanges(programs::readDeclarations(CORKWARD_SOURCE "/examples/regimes"), false, withPool());
  REQUIRE(changes.size() == 3);
  CHECK(changes[0].call.path == "/v1/certificates");
  CHECK(changes[2].call.path == "/v1/templates/pilot-desk/instances/nord");
}

TEST_CASE("invalid declarations of certificates are reported with file and pointer, before anything is sent") {
  TemporaryDirectory directory;
  directory.write(
      "c.json",
      R"({"regimes":{"health":{"nacelles":"any"}},"certificates":{"c1":{"regime":"health","carrier":"replicas","pool":"m","zone":"z1"}}})");
  CHECK(errorOf(directory, withPool()).find("c.json: /certificates/c1/until: missing") != std::string::npos);
  directory.write("c.json", certificates);
  directory.write("d.json", noCertificates);
  CHECK(errorOf(directory, withPool()).find("d.json: /regimes: regimes are already declared in") != std::string::npos);
}
