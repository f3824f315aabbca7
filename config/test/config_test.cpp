#include <catch2/catch.hpp>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

namespace core = corkward::core;
namespace config = corkward::config;

namespace {

QJsonObject family(char const* spec, char const* instances) {
  return QJsonObject{{"template", QJsonObject{{"spec", core::parseJson(spec)}, {"stamp", 1}}},
                     {"instances", core::parseJson(instances)}};
}

/// Rejects every regime. The templates in this file set no regime, so it is never called.
std::string rejectRegime(std::string const&, std::string const&) {
  return "not asked for";
}

bool isKnownPool(std::string const& pool) {
  return pool == "model" || pool == "gateway";
}

constexpr char const* validTemplate =
    R"({"parameters":{"farm":{"type":"string"},"aim":{"type":"integer","default":500,"min":50,"max":900}},
  "paths":[{"path":"narrate/${farm}","pool":"model","class":"long"},
           {"path":"pitch","pool":"model","class":"short","aimMs":"${aim}"},
           {"path":"ack","pool":"gateway","class":"urgent"}]})";

}  // namespace

TEST_CASE("a template and its instances render to paths") {
  QJsonObject const f = family(validTemplate, R"({"nord":{"spec":{"parameters":{"farm":"nord-7"}},"stamp":2},
                                         "sued":{"spec":{"parameters":{"farm":"sued","aim":60}},"stamp":3}})");
  config::checkTemplateFamily(f, isKnownPool, rejectRegime);
  std::vector<config::Path> const paths = config::renderPaths("fault", f);
  REQUIRE(paths.size() == 6);
  CHECK(paths[0].instance == "fault.nord");
  CHECK(paths[0].path == "narrate/nord-7");
  CHECK(paths[1].latencyTarget == 500);
  CHECK(paths[4].latencyTarget == 60);
  CHECK(paths[2].requestClass == config::RequestClass::urgent);
}

TEST_CASE("an invalid template or instance is rejected with a JSON pointer to the invalid value") {
  struct InvalidCase {
    char const* spec;
    char const* instances;
    char const* pointer;
  };
  constexpr char const* withoutParameters = R"({"paths":[{"path":"a","pool":"model","class":"short"}]})";
  constexpr InvalidCase cases[] = {
      {R"({"paths":[],"x":1})", "{}", "/template/x"},
      {R"({"paths":[]})", "{}", "/template/paths"},
      {R"({"paths":[{"path":"a","pool":"model","class":"short","y":1}]})", "{}", "/template/paths/0/y"},
      {R"({"paths":[{"path":"a","pool":"model"}]})", "{}", "/template/paths/0/class"},
      {R"({"parameters":{"p":{"type":"float"}},"paths":[{"path":"a","pool":"model","class":"short"}]})", "{}",
       "/template/parameters/p/type"},
      {withoutParameters, R"({"i":{"spec":{"parameters":{"extra":1}}}})", "/instances/i/parameters/extra"},
      {withoutParameters, R"({"i":{"spec":{"surprise":1}}})", "/instances/i/surprise"},
      {validTemplate, R"({"i":{"spec":{}}})", "/instances/i/parameters/farm"},
      {validTemplate, R"({"i":{"spec":{"parameters":{"farm":7}}}})", "/instances/i/parameters/farm"},
      {validTemplate, R"({"i":{"spec":{"parameters":{"farm":"f","aim":901}}}})", "/instances/i/parameters/aim"},
      {validTemplate, R"({"i":{"spec":{"parameters":{"farm":"../x"}}}})", "/template/paths/0/path"},
      {R"({"paths":[{"path":"a","pool":"model","class":"short"},{"path":"a","pool":"model","class":"long"}]})",
       R"({"i":{"spec":{}}})", "/template/paths/1/path"},
      {R"({"paths":[{"path":"a","pool":"nowhere","class":"short"}]})", R"({"i":{"spec":{}}})", "/instances/i"},
      {R"({"paths":[{"path":"a","pool":"model","class":"${c}"}]})", R"({"i":{"spec":{}}})", "/template/paths/0/class"}};
  for (InvalidCase const& c : cases) {
    try {
      config::checkTemplateFamily(family(c.spec, c.instances), isKnownPool, rejectRegime);
      FAIL("accepted: " << c.spec << c.instances);
    } catch (config::ConfigError const& e) {
      CHECK(e.pointer() == c.pointer);
    }
  }
}

TEST_CASE("the name of a zone or pool may be any one-line text and is encoded as one segment of a URL path") {
  for (char const* const name : {"zh-a", "ZH_a.1", "-x", "a b", "a/b", "..b", "50%", "z\xc3\xbcrich"}) {
    INFO(name);
    CHECK(config::isValidLabel(name));
    std::string const segment = config::percentEncodeLabel(name);
    CHECK(segment.find_first_of("/ ?#") == std::string::npos);
    CHECK(config::percentDecodeLabel(segment) == name);
  }
  CHECK(config::percentDecodeLabel("Wt.A") == "Wt.A");
  CHECK(config::percentEncodeLabel("zh-a.B_1") == "zh-a.B_1");
  for (std::string const& name : {std::string(), std::string("."), std::string(".."), std::string("a\nb"),
                                  std::string("a\0b", 3), std::string("\xff"), std::string(129, 'a')}) {
    INFO(name);
    CHECK_FALSE(config::isValidLabel(name));
  }
  CHECK(config::isValidLabel(std::string(128, 'a')));
}

TEST_CASE("every field of an endpoint list is checked") {
  config::EndpointList const p = config::readEndpointList(
      core::parseJson(
          R"({"generation":3,"coldRate":1.5,"replicas":[{"address":"127.0.0.1:80","zone":"z1","state":"cold"}]})")
          .toObject());
  CHECK(p.replicas.at(0).state == config::ReplicaState::warmingUp);
  for (char const* bad : {R"({"generation":0,"replicas":[]})", R"({"generation":1})",
                          R"({"generation":1,"replicas":[{"address":"x","zone":"z","state":"cold"}]})",
                          R"({"generation":1,"replicas":[{"address":"127.0.0.1:80","zone":"z","state":"warm"}]})",
                          R"({"generation":1,"replicas":[{"address":"127.0.0.1:99999","zone":"z","state":"cold"}]})",
                          R"({"generation":1,"coldRate":-1,"replicas":[]})"})
    CHECK_THROWS_AS(config::readEndpointList(core::parseJson(bad).toObject()), config::ConfigError);
}
