#include <catch2/catch.hpp>

#include <corkward/alerting/rules.h>

namespace alerting = corkward::alerting;

namespace {

constexpr char const* validRules = R"(groups:
- name: zones
  rules:
  - alert: ZoneDark
    expr: sum(corkward_up{zone="z2"}) < 1
    for: 10s
    annotations:
      summary: no router of the zone responds
      runbook: evacuate-zone.json
      parameters: {zone: z2}
)";

}  // namespace

TEST_CASE("an alert fires when its expression has been true for the required time without interruption") {
  alerting::RuleEvaluator evaluator(alerting::readRules(validRules));
  std::vector<alerting::Sample> const zoneDown =
      alerting::readSamples("# TYPE x gauge\ncorkward_up{zone=\"z2\",node=\"a\"} 0\ncorkward_up{zone=\"z1\"} 1\n");
  std::vector<alerting::Sample> const zoneUp = alerting::readSamples("corkward_up{zone=\"z2\"} 1\n");
  CHECK(evaluator.evaluate(0, zoneDown).empty());
  CHECK(evaluator.evaluate(9999, zoneDown).empty());
  std::vector<alerting::Rule> const fired = evaluator.evaluate(10000, zoneDown);
  REQUIRE(fired.size() == 1);
  CHECK(fired[0].parameters.at("zone") == "z2");
  CHECK(evaluator.evaluate(20000, zoneDown).size() == 1);
  CHECK(evaluator.evaluate(21000, zoneUp).empty());
  CHECK(evaluator.evaluate(22000, zoneDown).empty());
  CHECK(evaluator.evaluate(31999, zoneDown).empty());
  CHECK(evaluator.evaluate(32000, zoneDown).size() == 1);
  CHECK(evaluator.evaluate(33000, {}).empty());
}

TEST_CASE("an invalid or unsupported rule, expression or metrics page is rejected with its position") {
  for (char const* expression : {"rate(x[5m]) > 1", "x > 1 and y > 2", "x", "x >", "x{a=b} > 1", "sum(x > 1",
                                 "x{a=\"b\"} > 1 or", "5 > 3", "avg(x) > 1"})
    CHECK_THROWS_AS(alerting::readExpression(expression), alerting::ParseError);
  std::string const withUnknownField = std::string(validRules) + "    labels: {a: b}\n";
  try {
    alerting::readRules(withUnknownField);
    FAIL("accepted");
  } catch (alerting::ParseError const& error) {
    CHECK(std::string(error.what()).find("line 11") != std::string::npos);
  }
  for (char const* yaml :
       {"groups: 3", "x: 1", "groups:\n- name: g\n  rules:\n  - alert: a\n    expr: x > 1\n", "groups: [", "- 1"})
    CHECK_THROWS_AS(alerting::readRules(yaml), alerting::ParseError);
  CHECK_THROWS_AS(alerting::readSamples("x{a=\"b\" 1\n"), alerting::ParseError);
}

TEST_CASE("an expression aggregates the selected samples and compares the result") {
  std::vector<alerting::Sample> const samples = alerting::readSamples("a{n=\"1\"} 2\na{n=\"2\"} 5\n");
  CHECK(alerting::isTrue(alerting::readExpression("a > 4"), samples));
  CHECK_FALSE(alerting::isTrue(alerting::readExpression("min(a) > 4"), samples));
  CHECK(alerting::isTrue(alerting::readExpression("max(a) == 5"), samples));
  CHECK(alerting::isTrue(alerting::readExpression("sum(a{n=\"2\"}) <= 5"), samples));
  CHECK(alerting::isTrue(alerting::readExpression("count(b) < 1"), samples));
  CHECK_FALSE(alerting::isTrue(alerting::readExpression("b < 1"), samples));
}
