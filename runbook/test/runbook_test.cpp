#include <catch2/catch.hpp>

#include <corkward/core/json.h>
#include <corkward/runbook/runbook.h>

namespace core = corkward::core;
namespace runbook = corkward::runbook;

TEST_CASE("parameters of a runbook are replaced by their values, and every step is checked") {
  runbook::Runbook const book = runbook::readRunbook(
      R"({"runbook":"r","parameters":["zone"],"steps":[{"do":"evacuate","zone":"${zone}"},
          {"do":"wait","page":"/v1/fleet","expect":{"pointer":"/nacelles","each":"keysBehind","equals":0},"limitSeconds":5}]})",
      {{"zone", "z2"}});
  REQUIRE(book.steps.size() == 2);
  CHECK(book.steps[0].arguments.at("zone") == "z2");
  CHECK(book.steps[1].limitSeconds == 5);
}

TEST_CASE("an invalid runbook is rejected with a pointer to the error") {
  struct Case {
    char const* text;
    char const* pointer;
  };
  constexpr Case cases[] = {
      {R"({"steps":[]})", "/runbook"},
      {R"({"runbook":"r","steps":[]})", "/steps"},
      {R"({"runbook":"r","steps":[{"do":"dance"}]})", "/steps/0/do"},
      {R"({"runbook":"r","steps":[{"do":"lift"}]})", "/steps/0/zone"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"${z}"}]})", "/steps/0/zone"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"z","extra":1}]})", "/steps/0/extra"},
      {R"({"runbook":"r","steps":[{"do":"wait","page":"/v1/fleet","expect":{"pointer":"/a"}}]})", "/steps/0/expect"},
      {R"({"runbook":"r","parameters":["p"],"steps":[{"do":"lift","zone":"z"}]})", "/parameters"},
      {R"({"runbook":"r","steps":[{"do":"lift","zone":"z","limitSeconds":0}]})", "/steps/0/limitSeconds"}};
  for (auto const& [text, pointer] : cases) {
    try {
      runbook::readRunbook(text, {});
      FAIL("accepted: " << text);
    } catch (runbook::RunbookError const& error) {
      CHECK(error.pointer() == pointer);
    }
  }
  CHECK_THROWS_AS(runbook::readRunbook(R"({"runbook":"r","steps":[{"do":"lift","zone":"z"}]})", {{"undeclared", "1"}}),
                  runbook::RunbookError);
}

TEST_CASE("a condition is met only by a value that exists in the HTTP resource") {
  QJsonObject const page =
      core::parseJson(R"({"voting":true,"cohort":[1,2,3],"nacelles":[{"keysBehind":0},{"keysBehind":2}]})").toObject();
  auto const met = [&](char const* condition) {
    return runbook::evaluate(runbook::readCondition(core::parseJson(condition).toObject()), page).met;
  };
  CHECK(met(R"({"pointer":"/voting","equals":true})"));
  CHECK(met(R"({"pointer":"/cohort","atLeast":3})"));
  CHECK_FALSE(met(R"({"pointer":"/nacelles","each":"keysBehind","equals":0})"));
  CHECK(met(R"({"pointer":"/nacelles","each":"keysBehind","atMost":2})"));
  CHECK_FALSE(met(R"({"pointer":"/nowhere","equals":true})"));
}
