#include <catch2/catch.hpp>

#include <QDateTime>
#include <functional>

#include <corkward/config/regimes.h>
#include <corkward/core/json.h>

namespace core = corkward::core;
namespace config = corkward::config;

namespace {

constexpr char const* good = R"({
  "regimes": {"health": {"nacelles": "certified", "reserve": 0.25}, "export": {"nacelles": "any", "note": "n"}},
  "certificates": {
    "h-z1": {"regime": "health", "carrier": "replicas", "pool": "model", "zone": "z1", "from": "2026-01-01T00:00:00Z", "until": "2027-01-01T00:00:00Z"},
    "h-one": {"regime": "health", "carrier": "replicas", "pool": "model", "zone": "z2", "address": "10.0.0.1:80", "life": "r7", "until": "2027-01-01T00:00:00Z"},
    "h-nodes": {"regime": "health", "carrier": "nacelles", "zone": "z1", "until": "2027-01-01T00:00:00Z"},
    "h-node": {"regime": "health", "carrier": "nacelles", "zone": "z2", "link": "10.0.0.9:1", "until": "2027-01-01T00:00:00Z"},
    "e-z2": {"regime": "export", "carrier": "replicas", "pool": "model", "zone": "z2", "until": "2026-06-01T00:00:00Z"}}})";

QJsonObject object(std::string const& text) {
  return core::parseJson(text).toObject();
}

std::int64_t at(char const* time) {
  return QDateTime::fromString(time, Qt::ISODate).toMSecsSinceEpoch();
}

config::Replica replica(char const* address, char const* life, char const* zone) {
  return config::Replica{life, address, zone, config::ReplicaState::serving};
}

}  // namespace

TEST_CASE("a replica is certified by its pool, zone and life, never by its address alone") {
  config::Regimes const r = config::readRegimes(object(good));
  config::WallTime const now = at("2026-03-01T00:00:00Z");
  auto const under = [&](char const* regime, char const* pool, config::Replica const& one, config::WallTime wall) {
    config::Certificate const* const c = config::findCertificate(r, regime, pool, one, wall);
    return c == nullptr ? std::string() : c->name;
  };
  CHECK(under("health", "model", replica("10.0.0.5:80", "r1", "z1"), now) == "h-z1");
  CHECK(under("health", "model", replica("10.0.0.1:80", "r7", "z2"), now) == "h-one");
  CHECK(under("health", "model", replica("10.0.0.1:80", "r8", "z2"), now).empty());
  CHECK(under("health", "model", replica("10.0.0.2:80", "r7", "z2"), now).empty());
  CHECK(under("health", "model", replica("10.0.0.1:80", "r7", "z3"), now).empty());
  CHECK(under("health", "other", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(under("health", "model", replica("10.0.0.5:80", "", "z1"), now).empty());
  CHECK(under("health", "model", replica("10.0.0.5:80", "r1", "z1"), std::nullopt).empty());
  CHECK(under("nobody", "model", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(under("export", "model", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(under("export", "model", replica("10.0.0.5:80", "r1", "z2"), now) == "e-z2");
}

TEST_CASE("a certificate counts from a margin after its beginning to a margin before its end") {
  config::Regimes const r = config::readRegimes(object(good));
  config::Certificate const& c = r.certificates.at("h-z1");
  CHECK_FALSE(config::isValidAt(c, at("2026-01-01T00:00:59Z")));
  CHECK(config::isValidAt(c, at("2026-01-01T00:01:00Z")));
  CHECK(config::isValidAt(c, at("2026-12-31T23:58:59Z")));
  CHECK_FALSE(config::isValidAt(c, at("2026-12-31T23:59:00Z")));
  CHECK_FALSE(config::isValidAt(c, std::nullopt));
  CHECK(config::isValidAt(r.certificates.at("h-one"), 0));
}

TEST_CASE("a router is certified by its zone, or by link and zone, where the regime asks for it") {
  config::Regimes const r = config::readRegimes(object(good));
  config::WallTime const now = at("2026-03-01T00:00:00Z");
  CHECK(config::routerMayForward(r, "health", "10.0.0.3:1", "z1", now));
  CHECK(config::routerMayForward(r, "health", "10.0.0.9:1", "z2", now));
  CHECK_FALSE(config::routerMayForward(r, "health", "10.0.0.8:1", "z2", now));
  CHECK_FALSE(config::routerMayForward(r, "health", "10.0.0.9:1", "z3", now));
  CHECK_FALSE(config::routerMayForward(r, "health", "10.0.0.3:1", "z1", at("2027-03-01T00:00:00Z")));
  CHECK(config::routerMayForward(r, "export", "10.0.0.8:1", "z9", now));
  CHECK_FALSE(config::routerMayForward(r, "export", "10.0.0.8:1", "z9", std::nullopt));
  CHECK_FALSE(config::routerMayForward(r, "nobody", "10.0.0.3:1", "z1", now));
}

TEST_CASE("a regime that nothing could serve is told with its place") {
  config::Regimes r = config::readRegimes(object(good));
  config::WallTime const now = at("2026-03-01T00:00:00Z");
  CHECK_FALSE(config::findRegimeFault(r, "health", "model", now));
  CHECK(config::findRegimeFault(r, "nobody", "model", now)->pointer == "/regimes/nobody");
  CHECK(config::findRegimeFault(r, "health", "gateway", now)->pointer == "/certificates");
  CHECK(config::findRegimeFault(r, "export", "model", at("2026-07-01T00:00:00Z")));
  CHECK_FALSE(config::findRegimeFault(r, "export", "model", std::nullopt));
  r.certificates.erase("h-nodes");
  CHECK_FALSE(config::findRegimeFault(r, "health", "model", now));
  r.certificates.erase("h-node");
  CHECK(config::findRegimeFault(r, "health", "model", now)->reason ==
        "regime health has no certificate in force for any router");
}

TEST_CASE("what is no valid declaration of regimes is rejected with its place") {
  struct Row {
    char const* spec;
    char const* pointer;
  };
  constexpr Row rows[] = {
      {R"({"certificates": {}})", "/regimes"},
      {R"({"regimes": {}})", "/certificates"},
      {R"({"regimes": [], "certificates": {}})", "/regimes"},
      {R"({"regimes": {}, "certificates": {}, "x": 1})", "/x"},
      {R"({"regimes": {"A": {}}, "certificates": {}})", "/regimes/A"},
      {R"({"regimes": {"a": 1}, "certificates": {}})", "/regimes/a"},
      {R"({"regimes": {"a": {}}, "certificates": {}})", "/regimes/a/nacelles"},
      {R"({"regimes": {"a": {"nacelles": "some"}}, "certificates": {}})", "/regimes/a/nacelles"},
      {R"({"regimes": {"a": {"nacelles": "any", "reserve": 2}}, "certificates": {}})", "/regimes/a/reserve"},
      {R"({"regimes": {"a": {"nacelles": "any", "share": 2}}, "certificates": {}})", "/regimes/a/share"},
      {R"({"regimes": {}, "certificates": {"c": {"regime": "a", "carrier": "replicas", "pool": "m", "zone": "z", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/regime"},
      {R"({"regimes": {}, "certificates": {"c": {}}})", "/certificates/c/carrier"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "replicas", "regime": "a", "zone": "z", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/pool"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "replicas", "regime": "a", "pool": "m", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/zone"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "replicas", "regime": "a", "pool": "m", "zone": "z", "address": "1.2.3.4:5", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/life"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "replicas", "regime": "a", "pool": "m", "zone": "z", "life": "x", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/address"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "nacelles", "regime": "a", "pool": "m", "zone": "z", "until": "2027-01-01T00:00:00Z"}}})",
       "/certificates/c/pool"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "nacelles", "regime": "a", "zone": "z"}}})",
       "/certificates/c/until"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "nacelles", "regime": "a", "zone": "z", "until": "2027-01-01T00:00:00"}}})",
       "/certificates/c/until"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "nacelles", "regime": "a", "zone": "z", "until": "2027-13-01T00:00:00Z"}}})",
       "/certificates/c/until"},
      {R"({"regimes": {}, "certificates": {"c": {"carrier": "nacelles", "regime": "a", "zone": "z", "from": "2027-01-01T00:00:00Z", "until": "2027-01-01T00:02:00Z"}}})",
       "/certificates/c/until"}};
  for (Row const& r : rows) {
    try {
      config::readRegimes(object(r.spec));
      FAIL("accepted: " << r.spec);
    } catch (config::ConfigError const& e) {
      CHECK(e.pointer() == r.pointer);
    }
  }
}

TEST_CASE("a regime is named in the template, filled by a parameter, or exchanged in the instance, never dropped") {
  struct Row {
    char const* spec;
    char const* instance;
    /// The regime that comes out, or the pointer of the fault.
    char const* expected;
  };
  constexpr Row rows[] = {
      {R"({"paths":[{"path":"a","pool":"model","class":"short"}]})", R"({})", ""},
      {R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", R"({})", "health"},
      {R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", R"({"regime":"export"})",
       "export"},
      {R"({"paths":[{"path":"a","pool":"model","class":"short"}]})", R"({"regime":"export"})", "export"},
      {R"({"regime":"${r}","parameters":{"r":{"type":"string","default":"health"}},"paths":[{"path":"a","pool":"model","class":"short"}]})",
       R"({"parameters":{"r":"export"}})", "export"},
      {R"({"regime":"${r}","parameters":{"r":{"type":"string","default":""}},"paths":[{"path":"a","pool":"model","class":"short"}]})",
       R"({})", "/template/regime"},
      {R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", R"({"regime":""})",
       "/instances/i/regime"},
      {R"({"regime":"health","paths":[{"path":"a","pool":"model","class":"short"}]})", R"({"regime":null})",
       "/instances/i/regime"},
      {R"({"regime":7,"paths":[{"path":"a","pool":"model","class":"short"}]})", R"({})", "/template/regime"},
      {R"({"regime":"nobody","paths":[{"path":"a","pool":"model","class":"short"}]})", R"({})", "/template/regime"},
      {R"({"paths":[{"path":"a","pool":"gateway","class":"short"}]})", R"({"regime":"health"})",
       "/instances/i/regime"}};
  config::Regimes const regimes = config::readRegimes(object(good));
  for (Row const& r : rows) {
    QJsonObject const family{
        {"template", QJsonObject{{"spec", object(r.spec)}, {"stamp", 1}}},
        {"instances", QJsonObject{{"i", QJsonObject{{"spec", object(r.instance)}, {"stamp", 2}}}}}};
    std::string out;
    try {
      config::checkTemplateFamily(
          family, [](std::string const&) { return true; },
          [&](std::string const& regime, std::string const& pool) {
            std::optional<config::RegimeFault> const fault =
                config::findRegimeFault(regimes, regime, pool, at("2026-03-01T00:00:00Z"));
            return fault ? fault->reason : std::string();
          });
      out = config::renderPaths("t", family).at(0).regime;
      CHECK(config::regimeRequirements(config::renderPaths("t", family)).size() == (out.empty() ? 0 : 1));
    } catch (config::ConfigError const& e) {
      out = e.pointer();
    }
    INFO(r.spec << " " << r.instance);
    CHECK(out == r.expected);
  }
}
