#include <catch2/catch.hpp>

#include <corkward/alerting/rules.h>

namespace alerting = corkward::alerting;

namespace {

constexpr char const* good = R"(groups:
- name: zones
  rules:
  - alert: ZoneDark
    expr: sum(corkward_up{zone="z2"}) < 1
    for: 10s
    annotations:
      summary: no node of the zone answers
      runbook: evacuate-zone.json
      parameters: {zone: z2}
)";

}  // namespace

TEST_CASE("an alert fires once when it has held long enough, and again only after it ceased") {
  alerting::Watch watch(alerting::readRules(good));
  std::vector<alerting::Sample> const dark =
      alerting::readSamples("# TYPE x gauge\ncorkward_up{zone=\"z2\",node=\"a\"} 0\ncorkward_up{zone=\"z1\"} 1\n");
  std::vector<alerting::Sample> const lit = alerting::readSamples("corkward_up{zone=\"z2\"} 1\n");
  CHECK(watch.look(0, dark).empty());
  CHECK(watch.look(9999, dark).empty());
  std::vector<alerting::Rule> const fired = watch.look(10000, dark);
  REQUIRE(fired.size() == 1);
  CHECK(fired[0].parameters.at("zone") == "z2");
  CHECK(watch.look(20000, dark).size() == 1);
  CHECK(watch.look(21000, lit).empty());
  CHECK(watch.look(22000, dark).empty());
  CHECK(watch.look(31999, dark).empty());
  CHECK(watch.look(32000, dark).size() == 1);
  CHECK(watch.look(33000, {}).empty());
}

TEST_CASE("what is not understood is rejected with its place, never ignored") {
  for (char const* expr : {"rate(x[5m]) > 1", "x > 1 and y > 2", "x", "x >", "x{a=b} > 1", "sum(x > 1",
                           "x{a=\"b\"} > 1 or", "5 > 3", "avg(x) > 1"})
    CHECK_THROWS_AS(alerting::readExpression(expr), alerting::Error);
  std::string const bad = std::string(good) + "    labels: {a: b}\n";
  try {
    alerting::readRules(bad);
    FAIL("accepted");
  } catch (alerting::Error const& e) {
    CHECK(std::string(e.what()).find("line 11") != std::string::npos);
  }
  for (char const* yaml :
       {"groups: 3", "x: 1", "groups:\n- name: g\n  rules:\n  - alert: a\n    expr: x > 1\n", "groups: [", "- 1"})
    CHECK_THROWS_AS(alerting::readRules(yaml), alerting::Error);
  CHECK_THROWS_AS(alerting::readSamples("x{a=\"b\" 1\n"), alerting::Error);
}

TEST_CASE("folds and comparisons") {
  std::vector<alerting::Sample> const s = alerting::readSamples("a{n=\"1\"} 2\na{n=\"2\"} 5\n");
  CHECK(alerting::holds(alerting::readExpression("a > 4"), s));
  CHECK_FALSE(alerting::holds(alerting::readExpression("min(a) > 4"), s));
  CHECK(alerting::holds(alerting::readExpression("max(a) == 5"), s));
  CHECK(alerting::holds(alerting::readExpression("sum(a{n=\"2\"}) <= 5"), s));
  CHECK(alerting::holds(alerting::readExpression("count(b) < 1"), s));
  CHECK_FALSE(alerting::holds(alerting::readExpression("b < 1"), s));
}
