#include <catch2/catch.hpp>

#include <QDateTime>
#include <functional>

#include <corkward/config/regimes.h>
#include <corkward/core/json.h>

namespace core = corkward::core;
namespace config = corkward::config;

namespace {

constexpr char const* validRegimes = R"({
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

config::Replica replica(char const* address, char const* incarnation, char const* zone) {
  return config::Replica{incarnation, address, zone, config::ReplicaState::serving};
}

}  // namespace

TEST_CASE("a replica is certified by its pool, zone and incarnation, never by its address alone") {
  config::Regimes const r = config::readRegimes(object(validRegimes));
  config::WallTime const now = at("2026-03-01T00:00:00Z");
  auto const certificateFor = [&](char const* regime, char const* pool, config::Replica const& candidate,
                                  config::WallTime wall) {
    config::Certificate const* const c = config::findCertificate(r, regime, pool, candidate, wall);
    return c == nullptr ? std::string() : c->name;
  };
  CHECK(certificateFor("health", "model", replica("10.0.0.5:80", "r1", "z1"), now) == "h-z1");
  CHECK(certificateFor("health", "model", replica("10.0.0.1:80", "r7", "z2"), now) == "h-one");
  CHECK(certificateFor("health", "model", replica("10.0.0.1:80", "r8", "z2"), now).empty());
  CHECK(certificateFor("health", "model", replica("10.0.0.2:80", "r7", "z2"), now).empty());
  CHECK(certificateFor("health", "model", replica("10.0.0.1:80", "r7", "z3"), now).empty());
  CHECK(certificateFor("health", "other", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(certificateFor("health", "model", replica("10.0.0.5:80", "", "z1"), now).empty());
  CHECK(certificateFor("health", "model", replica("10.0.0.5:80", "r1", "z1"), std::nullopt).empty());
  CHECK(certificateFor("nobody", "model", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(certificateFor("export", "model", replica("10.0.0.5:80", "r1", "z1"), now).empty());
  CHECK(certificateFor("export", "model", replica("10.0.0.5:80", "r1", "z2"), now) == "e-z2");
}

TEST_CASE("a certificate is valid from a margin after its start to a margin before its end") {
  config::Regimes const r = config::readRegimes(object(validRegimes));
  config::Certificate const& c = r.certificates.at("h-z1");
  CHECK_FALSE(config::isValidAt(c, at("2026-01-01T00:00:59Z")));
  CHECK(config::isValidAt(c, at("2026-01-01T00:01:00Z")));
  CHECK(config::isValidAt(c, at("2026-12-31T23:58:59Z")));
  CHECK_FALSE(config::isValidAt(c, at("2026-12-31T23:59:00Z")));
  CHECK_FALSE(config::isValidAt(c, std::nullopt));
  CHECK(config::isValidAt(r.certificates.at("h-one"), 0));
}

TEST_CASE("a router is certified by its zone, or by link and zone, if the regime requires certified routers") {
  config::Regimes const r = config::readRegimes(object(validRegimes));
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

TEST_CASE("a regime that nothing can serve is reported with a pointer and a reason") {
  config::Regimes r = config::readRegimes(object(validRegimes));
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

TEST_CASE("an invalid declaration of regimes is rejected with a JSON pointer to the invalid value") {
  struct Case {
    char const* spec;
    char const* pointer;
  };
  constexpr Case cases[] = {
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
  for (Case const& c : cases) {
    try {
      config::readRegimes(object(c.spec));
      FAIL("accepted: " << c.spec);
    } catch (config::ConfigError const& e) {
      CHECK(e.pointer() == c.pointer);
    }
  }
}

TEST_CASE("a regime is set by the template or a parameter, and an instance may replace it but not remove it") {
  struct Case {
    char const* spec;
    char const* instance;
    /// The regime of the rendered path, or the pointer of the error.
    char const* expected;
  };
  constexpr Case cases[] = {
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
  config::Regimes const regimes = config::readRegimes(object(validRegimes));
  for (Case const& c : cases) {
    QJsonObject const family{
        {"template", QJsonObject{{"spec", object(c.spec)}, {"stamp", 1}}},
        {"instances", QJsonObject{{"i", QJsonObject{{"spec", object(c.instance)}, {"stamp", 2}}}}}};
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
    INFO(c.spec << " " << c.instance);
    CHECK(out == c.expected);
  }
}
