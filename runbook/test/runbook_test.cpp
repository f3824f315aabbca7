#include <catch2/catch.hpp>

#include <corkward/core/json.h>
#include <corkward/runbook/runbook.h>

namespace core = corkward::core;
namespace runbook = corkward::runbook;

TEST_CASE("a runbook is filled in and checked whole before anything is done") {
  runbook::Runbook const b = runbook::readRunbook(
      R"({"runbook":"r","parameters":["zone"],"steps":[{"do":"evacuate","zone":"${zone}"},
          {"do":"wait","page":"/v1/fleet","expect":{"pointer":"/nacelles","each":"keysBehind","equals":0},"limitSeconds":5}]})",
      {{"zone", "z2"}});
  REQUIRE(b.steps.size() == 2);
  CHECK(b.steps[0].words.at("zone") == "z2");
  CHECK(b.steps[1].limitSeconds == 5);
}

TEST_CASE("a faulty runbook is rejected with its place") {
  struct Row {
    char const* text;
    char const* pointer;
  };
  constexpr Row rows[] = {
      {R"({"steps":[]})", "/runbook"},
      {R"({"runbook":"r","steps":[]})", "/steps"},
      {R"({"runbook":"r","steps":[{"do":"dance"}]})", "/steps/0/do"},
      {R"({"runbook":"r","steps":[{"do":"lift"}]})", "/steps/0/zone"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"${z}"}]})", "/steps/0/zone"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"z","extra":1}]})", "/steps/0/extra"},
      {R"({"runbook":"r","steps":[{"do":"wait","page":"/v1/fleet","expect":{"pointer":"/a"}}]})", "/steps/0/expect"},
      {R"({"runbook":"r","parameters":["p"],"steps":[{"do":"lift","zone":"z"}]})", "/parameters"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"z","limitSeconds":0}]})", "/steps/0/limitSeconds"}};
  for (Row const& r : rows) {
    try {
      runbook::readRunbook(r.text, {});
      FAIL("accepted: " << r.text);
    } catch (runbook::Error const& e) {
      CHECK(e.pointer() == r.pointer);
    }
  }
  CHECK_THROWS_AS(runbook::readRunbook(R"({"runbook":"r","steps":[{"do":"lift","zone":"z"}]})", {{"unasked", "1"}}),
                  runbook::Error);
}

TEST_CASE("expectations look at pages, never guess") {
  QJsonObject const page =
      core::parseJson(R"({"voting":true,"cohort":[1,2,3],"nacelles":[{"keysBehind":0},{"keysBehind":2}]})").toObject();
  CHECK(runbook::meets(page, core::parseJson(R"({"pointer":"/voting","equals":true})").toObject()).met);
  CHECK(runbook::meets(page, core::parseJson(R"({"pointer":"/cohort","atLeast":3})").toObject()).met);
  CHECK_FALSE(
      runbook::meets(page, core::parseJson(R"({"pointer":"/nacelles","each":"keysBehind","equals":0})").toObject())
          .met);
  CHECK(runbook::meets(page, core::parseJson(R"({"pointer":"/nacelles","each":"keysBehind","atMost":2})").toObject())
            .met);
  CHECK_FALSE(runbook::meets(page, core::parseJson(R"({"pointer":"/nowhere","equals":true})").toObject()).met);
}
