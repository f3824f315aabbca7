#include <catch2/catch.hpp>

#include <QJsonArray>
#include <functional>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

namespace core = corkward::core;
namespace config = corkward::config;

namespace {

QJsonObject object(std::string const& text) {
  return core::parseJson(text).toObject();
}

constexpr char const* pools =
    R"([{"name":"big","standing":"/health","connections":650,"coldRate":2.5,"coldMs":3000,"slots":128,"tokens":729140,"extra":{"weights":[1]}},
  {"name":"small"}])";

/// A fleet configuration with one path, which has these fields besides the required ones.
std::string path(std::string const& fields) {
  return R"({"version":7,"pools":)" + std::string(pools) +
         R"(,"paths":[{"name":"p","host":"h","prefix":"/a/","kind":"once","deadlineMs":3000,"pool":"big")" +
         (fields.empty() ? "" : "," + fields) + "}]}";
}

/// A fleet configuration whose only path lacks a field and has other fields instead.
std::string without(std::string const& field, std::string const& instead = "") {
  QJsonObject spec = object(path(""));
  QJsonArray paths = spec.value("paths").toArray();
  QJsonObject pathObject = paths.first().toObject();
  pathObject.remove(core::toQString(field));
  if (!instead.empty()) {
    QJsonObject const added = object(instead);
    for (QString const& name : added.keys()) pathObject.insert(name, added.value(name));
  }
  paths.replace(0, pathObject);
  spec.insert("paths", paths);
  return core::jsonText(spec);
}

std::string errorPointer(std::string const& spec) {
  try {
    config::readFleetConfiguration(object(spec));
  } catch (config::ConfigError const& e) {
    return e.pointer();
  }
  return "";
}

std::string errorPointer(char const* current, char const* patch) {
  try {
    config::patchFleetConfiguration(object(current), object(patch));
  } catch (config::ConfigError const& e) {
    return e.pointer();
  }
  return "";
}

config::Path read(std::string const& fields) {
  return config::readFleetConfiguration(object(path(fields))).paths.at(0);
}

}  // namespace

TEST_CASE("a fleet configuration is read, and missing fields get their defaults") {
  config::FleetConfiguration const w = config::readFleetConfiguration(
      object(R"({"version":7.0,"pools":)" + std::string(pools) +
             R"(,"door":{"headBytes":16384,"bodyBytes":4194304,"headMs":3000,"idleMs":15000},"extra":{"x":[1,{}]},
      "paths":[{"name":"Pfad 1/ü","host":"a.example","prefix":"/x/","kind":"stream","deadlineMs":15000.0,"aimMs":800,"gapAimMs":400,"urgency":0,
                "tries":2,"resumable":true,"affine":true,"shares":[{"pool":"small","share":0},{"pool":"big","share":90},{"pool":"small","share":10.0}],"extra":{"a":1}},
               {"name":"b","host":"a.example","prefix":"/","kind":"repeatable","deadlineMs":1500,"pool":"small"}]})"));
  CHECK(w.version == 7);
  REQUIRE(w.paths.size() == 2);
  config::Path const& a = w.paths[0];
  CHECK(a.instance == "Pfad 1/ü");
  CHECK(a.path.empty());
  CHECK((a.host.text() == "a.example" && a.prefix == "/x/"));
  CHECK((a.stream && a.resumable && a.idempotent));
  CHECK((a.deadline == 15000 && a.latencyTarget == 800 && a.eventGapTarget == 400 && a.urgency == 0 &&
         a.maxAttempts == 2));
  REQUIRE(a.weightedPools.size() == 2);
  CHECK((a.weightedPools[0].pool == "big" && a.weightedPools[0].weight == 90 && a.weightedPools[1].pool == "small" &&
         a.weightedPools[1].weight == 10));
  CHECK(a.pool == "big");
  CHECK(a.requestClass == config::RequestClass::bulk);
  config::Path const& b = w.paths[1];
  CHECK((b.idempotent && !b.stream && !b.resumable && b.maxAttempts == 1 && b.urgency == 5 && b.eventGapTarget == 0));
  CHECK((b.requestClass == config::RequestClass::quick && b.latencyTarget == 800));
  CHECK((b.weightedPools.size() == 1 && b.weightedPools[0].pool == "small" && b.weightedPools[0].weight == 1));
  REQUIRE(w.pools.size() == 2);
  CHECK((w.pools[0].maxConnections == 650 && w.pools[0].slowStartRate == 2.5 && w.pools[0].slowStartDuration == 3000 &&
         w.pools[0].concurrentRequests == 128 && w.pools[0].prefixCacheTokens == 729140));
  CHECK((w.pools[1].maxConnections == 0 && w.pools[1].slowStartRate == 0));
  CHECK((w.http.headerByteLimit == 16384 && w.http.bodyByteLimit == 4194304 && w.http.headerTimeout == 3000 &&
         w.http.idleTimeout == 15000));
}

TEST_CASE("a path's class follows from its latency target and its deadline") {
  CHECK(read(R"("aimMs":400)").requestClass == config::RequestClass::urgent);
  CHECK(read(R"("aimMs":401)").requestClass == config::RequestClass::quick);
  CHECK(read(R"("aimMs":0)").requestClass == config::RequestClass::quick);
  config::Path const slow =
      config::readFleetConfiguration(object(without("deadlineMs", R"({"deadlineMs":10000})"))).paths.at(0);
  CHECK((slow.requestClass == config::RequestClass::bulk && slow.latencyTarget == 2500));
  CHECK(config::readFleetConfiguration(object(without("deadlineMs", R"({"deadlineMs":9999})")))
            .paths.at(0)
            .requestClass == config::RequestClass::quick);
  CHECK(config::readFleetConfiguration(object(without("deadlineMs", R"({"deadlineMs":20000,"aimMs":100})")))
            .paths.at(0)
            .requestClass == config::RequestClass::urgent);
}

TEST_CASE("only a stream can be resumable, and only repeatable paths and resumable streams are idempotent") {
  CHECK_FALSE(read(R"("resumable":true)").resumable);
  CHECK_FALSE(read("").idempotent);
  config::Path const plain =
      config::readFleetConfiguration(object(without("kind", R"({"kind":"stream"})"))).paths.at(0);
  CHECK((plain.stream && !plain.resumable && !plain.idempotent));
  config::Path const resumed =
      config::readFleetConfiguration(object(without("kind", R"({"kind":"stream","resumable":true})"))).paths.at(0);
  CHECK((resumed.stream && resumed.resumable && resumed.idempotent));
  CHECK_FALSE(config::readFleetConfiguration(object(without("kind", R"({"kind":"repeatable","resumable":true})")))
                  .paths.at(0)
                  .resumable);
}

TEST_CASE("an invalid fleet configuration is rejected with a JSON pointer to the invalid value") {
  std::string const longText(129, 'x');
  struct InvalidCase {
    std::string spec;
    char const* pointer;
  };
  std::string const validFields = R"("name":"p","host":"h","prefix":"/a/","kind":"once","deadlineMs":3000,"pool":"a")";
  auto const withPaths = [](std::string const& paths) {
    return R"({"version":1,"pools":[{"name":"a"}],"paths":[)" + paths + "]}";
  };
  auto const withPools = [](std::string const& poolItems) {
    return R"({"version":1,"paths":[],"pools":[)" + poolItems + "]}";
  };
  InvalidCase const cases[] = {
      {"{}", "/version"},
      {R"({"version":0,"paths":[],"pools":[]})", "/version"},
      {R"({"version":-3,"paths":[],"pools":[]})", "/version"},
      {R"({"version":1.5,"paths":[],"pools":[]})", "/version"},
      {R"({"version":"1","paths":[],"pools":[]})", "/version"},
      {R"({"version":1e300,"paths":[],"pools":[]})", "/version"},
      {R"({"version":1,"pools":[]})", "/paths"},
      {R"({"version":1,"paths":[]})", "/pools"},
      {R"({"version":1,"paths":{},"pools":[]})", "/paths"},
      {R"({"version":1,"paths":[],"pools":[],"surprise":1})", "/surprise"},
      {R"({"version":1,"paths":[],"pools":[],"extra":7})", "/extra"},
      {R"({"version":1,"paths":[],"pools":[],"door":[]})", "/door"},
      {R"({"version":1,"paths":[],"pools":[],"door":{"headBytes":-1}})", "/door/headBytes"},
      {R"({"version":1,"paths":[],"pools":[],"door":{"surprise":1}})", "/door/surprise"},
      {withPools("7"), "/pools/0"},
      {withPools("{}"), "/pools/0/name"},
      {withPools(R"({"name":""})"), "/pools/0/name"},
      {withPools(R"({"name":")" + longText + R"("})"), "/pools/0/name"},
      {withPools(R"({"name":"a"},{"name":"a"})"), "/pools/1/name"},
      {withPools(R"({"name":"a","surprise":1})"), "/pools/0/surprise"},
      {withPools(R"({"name":"a","standing":"health"})"), "/pools/0/standing"},
      {withPools(R"({"name":"a","standing":1})"), "/pools/0/standing"},
      {withPools(R"({"name":"a","connections":-1})"), "/pools/0/connections"},
      {withPools(R"({"name":"a","coldRate":-0.5})"), "/pools/0/coldRate"},
      {withPools(R"({"name":"a","coldRate":"2"})"), "/pools/0/coldRate"},
      {withPools(R"({"name":"a","coldMs":0.5})"), "/pools/0/coldMs"},
      {withPools(R"({"name":"a","slots":"8"})"), "/pools/0/slots"},
      {withPools(R"({"name":"a","tokens":-8})"), "/pools/0/tokens"},
      {withPools(R"({"name":"a","extra":[]})"), "/pools/0/extra"},
      {withPaths("[]"), "/paths/0"},
      {withPaths("{" + validFields + R"(,"surprise":1})"), "/paths/0/surprise"},
      {withPaths("{" + validFields +
                 R"(},{"name":"p","host":"h","prefix":"/b/","kind":"once","deadlineMs":3000,"pool":"a"})"),
       "/paths/1/name"},
      {withPaths("{" + validFields +
                 R"(},{"name":"q","host":"h","prefix":"/a/","kind":"stream","deadlineMs":30,"pool":"a"})"),
       "/paths/1/prefix"},
      {without("name"), "/paths/0/name"},
      {without("name", R"({"name":")" + longText + R"("})"), "/paths/0/name"},
      {without("host"), "/paths/0/host"},
      {without("host", R"({"host":7})"), "/paths/0/host"},
      {without("prefix"), "/paths/0/prefix"},
      {without("prefix", R"({"prefix":"a/"})"), "/paths/0/prefix"},
      {without("prefix", R"({"prefix":"/a"})"), "/paths/0/prefix"},
      {without("kind"), "/paths/0/kind"},
      {without("kind", R"({"kind":"twice"})"), "/paths/0/kind"},
      {without("deadlineMs"), "/paths/0/deadlineMs"},
      {without("deadlineMs", R"({"deadlineMs":0})"), "/paths/0/deadlineMs"},
      {without("deadlineMs", R"({"deadlineMs":-1})"), "/paths/0/deadlineMs"},
      {without("deadlineMs", R"({"deadlineMs":"3000"})"), "/paths/0/deadlineMs"},
      {without("deadlineMs", R"({"deadlineMs":null})"), "/paths/0/deadlineMs"},
      {path(R"("aimMs":-1)"), "/paths/0/aimMs"},
      {path(R"("gapAimMs":true)"), "/paths/0/gapAimMs"},
      {path(R"("urgency":10)"), "/paths/0/urgency"},
      {path(R"("urgency":-1)"), "/paths/0/urgency"},
      {path(R"("tries":0)"), "/paths/0/tries"},
      {path(R"("resumable":1)"), "/paths/0/resumable"},
      {path(R"("affine":"yes")"), "/paths/0/affine"},
      {path(R"("extra":"x")"), "/paths/0/extra"},
      {without("pool"), "/paths/0/pool"},
      {without("pool", R"({"pool":"nowhere"})"), "/paths/0/pool"},
      {path(R"("shares":[{"pool":"big","share":1}])"), "/paths/0/shares"},
      {without("pool", R"({"shares":{}})"), "/paths/0/shares"},
      {without("pool", R"({"shares":[]})"), "/paths/0/shares"},
      {without("pool", R"({"shares":[{"pool":"big","share":0},{"pool":"small","share":0}]})"), "/paths/0/shares"},
      {without("pool", R"({"shares":[{"pool":"big","share":2},{"pool":"small","share":-1}]})"),
       "/paths/0/shares/1/share"},
      {without("pool", R"({"shares":[{"pool":"big"}]})"), "/paths/0/shares/0/share"},
      {without("pool", R"({"shares":[{"pool":"big","share":1},{"pool":"nowhere","share":0}]})"),
       "/paths/0/shares/1/pool"},
      {without("pool", R"({"shares":[{"pool":"big","share":1,"surprise":1}]})"), "/paths/0/shares/0/surprise"},
      {without("pool", R"({"shares":[1]})"), "/paths/0/shares/0"}};
  CHECK(errorPointer(path("")).empty());
  for (InvalidCase const& c : cases) {
    INFO(c.spec);
    CHECK(errorPointer(c.spec) == c.pointer);
  }
}

namespace {

/// A path that serves one prefix of a host.
struct HostPath {
  char const* name;
  char const* host;
  char const* prefix = "/a/";
};

QJsonObject configurationOf(std::vector<HostPath> const& hostPaths) {
  QJsonArray items;
  for (HostPath const& item : hostPaths)
    items.append(QJsonObject{{"name", item.name},
                             {"host", item.host},
                             {"prefix", item.prefix},
                             {"kind", "once"},
                             {"deadlineMs", 3000},
                             {"pool", "p"}});
  return QJsonObject{{"version", 1}, {"pools", QJsonArray{QJsonObject{{"name", "p"}}}}, {"paths", items}};
}

std::vector<std::string> namesOf(std::vector<config::Path> const& paths) {
  std::vector<std::string> out;
  for (config::Path const& item : paths) out.push_back(item.instance);
  return out;
}

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("a path's host is read in its normal form, so that a host with a capital letter is found") {
  // Guards against review case 2: hosts were kept as spelled and never matched a request's host in lower case.
  for (char const* const host : {"Night.example", "NIGHT.EXAMPLE", "night.example:8080", "night.example."}) {
    config::FleetConfiguration const read = config::readFleetConfiguration(configurationOf({{"x", host}}));
    CHECK(read.paths.at(0).host == core::HostName("night.example"));
  }
}

TEST_CASE("two spellings of one host with the same prefix are rejected, with different prefixes accepted") {
  for (char const* const host : {"Night.example", "night.example:80", "night.example.", "night.example"}) {
    INFO(host);
    CHECK(errorPointer(core::jsonText(configurationOf({{"x", "night.example"}, {"y", host}}))) == "/paths/1/prefix");
    CHECK(errorPointer(core::jsonText(configurationOf({{"x", host}, {"y", "night.example"}}))) == "/paths/1/prefix");
    CHECK(errorPointer(core::jsonText(configurationOf({{"x", "night.example"}, {"y", host, "/a/b/"}}))).empty());
    CHECK(errorPointer(core::jsonText(configurationOf({{"x", "night.example"}, {"y", host, "/A/"}}))).empty());
  }
  CHECK(errorPointer(core::jsonText(configurationOf({{"x", "night.example"}, {"y", "Nightly.example"}}))).empty());
}

TEST_CASE("a host that names none is rejected") {
  for (char const* const host : {":8080", ".", ":"}) {
    INFO(host);
    CHECK(errorPointer(core::jsonText(configurationOf({{"x", "a"}, {"y", host}}))) == "/paths/1/host");
  }
}

TEST_CASE("a committed configuration with two spellings of one host is read with one path for each selector") {
  auto const read = [](std::vector<HostPath> const& items) {
    return config::readCommittedFleetConfiguration(configurationOf(items));
  };
  config::FleetConfiguration const normalFormFirst = read({{"low", "night.example"}, {"cap", "Night.example"}});
  CHECK(namesOf(normalFormFirst.paths) == Names{"low"});
  CHECK(normalFormFirst.ignoredPaths == Names{"cap"});
  config::FleetConfiguration const normalFormLast =
      read({{"cap", "Night.example"}, {"other", "other"}, {"all", "NIGHT.example"}, {"low", "night.example"}});
  CHECK(namesOf(normalFormLast.paths) == Names{"other", "low"});
  CHECK(normalFormLast.ignoredPaths == Names{"cap", "all"});
  config::FleetConfiguration const noNormalForm = read({{"cap", "Night.example"}, {"port", "night.example:80"}});
  CHECK(namesOf(noNormalForm.paths) == Names{"cap"});
  CHECK(noNormalForm.ignoredPaths == Names{"port"});
  config::FleetConfiguration const nameless = read({{"port", ":80"}, {"a", "a"}, {"dot", "."}});
  CHECK(namesOf(nameless.paths) == Names{"a"});
  CHECK(nameless.ignoredPaths == Names{"port", "dot"});
  CHECK(read({{"x", "Night.example"}, {"y", "night.example", "/b/"}}).ignoredPaths.empty());
}

TEST_CASE("a committed configuration that is invalid for another reason is rejected") {
  QJsonObject spec = configurationOf({{"x", "a"}, {"x", "b"}});
  CHECK_THROWS_AS(config::readCommittedFleetConfiguration(spec), config::ConfigError);
  spec = configurationOf({{"x", "a", "no-slash"}});
  CHECK_THROWS_AS(config::readCommittedFleetConfiguration(spec), config::ConfigError);
}

TEST_CASE("a patch replaces items in place, appends and removes items, and must state the new version") {
  char const* const current = R"({"version":3,"extra":{"old":1},"door":{"headMs":5},"pools":[{"name":"a"},{"name":"b"}],
    "paths":[{"name":"x","n":1},{"name":"y","n":2},{"name":"z","n":3}]})";
  QJsonObject const out = config::patchFleetConfiguration(
      object(current), object(R"({"version":9,"set":{"paths":[{"name":"new","n":7},{"name":"y","n":8}]},
    "drop":{"paths":["x","never"],"pools":["a"]},"extra":{"fresh":2}})"));
  CHECK(out == object(R"({"version":9,"extra":{"fresh":2},"door":{"headMs":5},"pools":[{"name":"b"}],
    "paths":[{"name":"y","n":8},{"name":"z","n":3},{"name":"new","n":7}]})"));
  CHECK(config::patchFleetConfiguration(object(current), object(R"({"version":4,"door":{}})"))
            .value("door")
            .toObject()
            .isEmpty());
  CHECK(errorPointer(current, R"({"set":{}})") == "/version");
  CHECK(errorPointer(current, R"({"version":4,"surprise":{}})") == "/surprise");
  CHECK(errorPointer(current, R"({"version":4,"set":[]})") == "/set");
  CHECK(errorPointer(current, R"({"version":4,"set":{"door":{}}})") == "/set/door");
  CHECK(errorPointer(current, R"({"version":4,"set":{"paths":{}}})") == "/set/paths");
  CHECK(errorPointer(current, R"({"version":4,"set":{"paths":[7]}})") == "/set/paths/0");
  CHECK(errorPointer(current, R"({"version":4,"set":{"paths":[{}]}})") == "/set/paths/0/name");
  CHECK(errorPointer(current, R"({"version":4,"set":{"paths":[{"name":"x"},{"name":"x"}]}})") == "/set/paths/1/name");
  CHECK(errorPointer(current, R"({"version":4,"drop":{"pools":[7]}})") == "/drop/pools/0");
  CHECK(errorPointer(current, R"({"version":4,"set":{"paths":[{"name":"x"}]},"drop":{"paths":["x"]}})") ==
        "/drop/paths/0");
}

TEST_CASE("a rendered path sends all its requests to its one pool") {
  QJsonObject const family{
      {"template", object(R"({"spec":{"paths":[{"path":"a","pool":"model","class":"short"}]},"stamp":1})")},
      {"instances", object(R"({"i":{"spec":{},"stamp":2}})")}};
  config::Path const p = config::renderPaths("t", family).at(0);
  REQUIRE(p.weightedPools.size() == 1);
  CHECK((p.weightedPools[0].pool == "model" && p.weightedPools[0].weight == 1));
}

TEST_CASE("a replica may have an id, which must be valid and unique") {
  config::EndpointList const p = config::readEndpointList(object(
      R"({"generation":1,"replicas":[{"id":"i-7f","address":"127.0.0.1:80","zone":"z","state":"cold"},{"address":"127.0.0.1:81","zone":"z","state":"cold"}]})"));
  CHECK((p.replicas.at(0).id == "i-7f" && p.replicas.at(1).id.empty()));
  auto const errorOf = [](std::string const& firstId, std::string const& secondId) -> std::string {
    try {
      config::readEndpointList(object(R"({"generation":1,"replicas":[{"id":)" + firstId +
                                      R"(,"address":"127.0.0.1:80","zone":"z","state":"cold"},{"id":)" + secondId +
                                      R"(,"address":"127.0.0.1:81","zone":"z","state":"cold"}]})"));
    } catch (config::ConfigError const& e) {
      return e.pointer();
    }
    return "";
  };
  CHECK(errorOf(R"("a")", R"("b")").empty());
  CHECK(errorOf(R"("a")", R"("a")") == "/replicas/1/id");
  CHECK(errorOf(R"("")", R"("a")") == "/replicas/0/id");
  CHECK(errorOf("7", R"("a")") == "/replicas/0/id");
  CHECK(errorOf("\"" + std::string(129, 'x') + "\"", R"("a")") == "/replicas/0/id");
}

TEST_CASE("an invalid tenant is rejected with a JSON pointer to the invalid value") {
  auto const errorOf = [](std::string const& tenants) {
    return errorPointer(R"({"version":1,"paths":[],"pools":[],"tenants":)" + tenants + "}");
  };
  CHECK(errorOf(R"([{"name":"a","keys":["k"]},{"name":"b"}])").empty());
  CHECK(errorOf(R"({})") == "/tenants");
  CHECK(errorOf(R"([{"keys":["k"]}])") == "/tenants/0/name");
  CHECK(errorOf(R"([{"name":"a"},{"name":"a"}])") == "/tenants/1/name");
  CHECK(errorOf(R"([{"name":"a","keys":["k"]},{"name":"b","keys":["k"]}])") == "/tenants/1/keys");
  CHECK(errorOf(R"([{"name":"a","keys":[""]}])") == "/tenants/0/keys/0");
  CHECK(errorOf(R"([{"name":"a","keys":7}])") == "/tenants/0/keys");
  CHECK(errorOf(R"([{"name":"a","rate":-1}])") == "/tenants/0/rate");
  CHECK(errorOf(R"([{"name":"a","burst":"x"}])") == "/tenants/0/burst");
  CHECK(errorOf(R"([{"name":"a","unit":"bytes"}])") == "/tenants/0/unit");
  CHECK(errorOf(R"([{"name":"a","urgency":10}])") == "/tenants/0/urgency");
  CHECK(errorOf(R"([{"name":"a","other":1}])") == "/tenants/0/other");
}
