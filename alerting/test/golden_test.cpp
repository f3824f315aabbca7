#include <catch2/catch.hpp>

#include <functional>

#include <corkward/alerting/rules.h>

#include "testing/golden/golden.h"

/// Parsed alert rules, samples and errors as a released version produced them, since operators have rules of their own.
/// Record the golden files again only if the documentation in docs/ changes the form of rules.
namespace alerting = corkward::alerting;
namespace golden = corkward::golden;

namespace {

std::string const folder = "alerting/test/golden/";

char const* aggregationText(alerting::Aggregation aggregation) {
  using alerting::Aggregation;
  switch (aggregation) {
    case Aggregation::none:
      return "none";
    case Aggregation::sum:
      return "sum";
    case Aggregation::min:
      return "min";
    case Aggregation::max:
      return "max";
    case Aggregation::count:
      return "count";
  }
  return "";
}

std::string formOf(alerting::Labels const& labels) {
  std::string out;
  for (auto const& [name, value] : labels) out += "  label " + name + " " + value + "\n";
  return out;
}

std::string formOf(alerting::Expression const& expression) {
  return std::string("  fold ") + aggregationText(expression.aggregation) + "\n  metric " + expression.metric + "\n" +
         formOf(expression.labels) + "  compare " + std::string(name(expression.comparison)) + " " +
         std::to_string(expression.bound) + "\n";
}

std::string formOf(std::vector<alerting::Rule> const& rules) {
  std::string out;
  for (alerting::Rule const& rule : rules) {
    out += "rule " + rule.alert + "\n" + formOf(rule.expression) + "  for " + std::to_string(rule.pendingFor) + "\n";
    out += "  runbook " + rule.runbook + "\n";
    for (auto const& [name, value] : rule.parameters) out += "  parameter " + name + " " + value + "\n";
  }
  return out + std::to_string(rules.size()) + " rules\n";
}

std::string formOf(std::vector<alerting::Sample> const& samples) {
  std::string out;
  for (alerting::Sample const& sample : samples)
    out +=
        "  metric " + sample.metric + "\n" + formOf(sample.labels) + "  value " + std::to_string(sample.value) + "\n";
  return out + std::to_string(samples.size()) + " samples\n";
}

/// Returns the parsed form of an input, or the error as operators see it.
template <typename Read>
std::string outcome(Read const& read, std::string const& input) {
  try {
    return formOf(read(input));
  } catch (alerting::ParseError const& error) {
    return std::string("error: ") + error.what() + "\n";
  }
}

/// Returns the outcomes for all lines of a file of inputs, each after its input.
template <typename Read>
std::string outcomes(Read const& read, std::string const& name) {
  std::string out;
  for (std::string const& line : golden::lines(golden::read(folder + name)))
    out += "input " + line + "\n" + outcome(read, line);
  return out;
}

/// Returns the documents of a file, in which a line "=== NUMBER" precedes each document.
std::vector<std::string> documents(std::string const& name) {
  std::vector<std::string> out;
  for (std::string const& line : golden::lines(golden::read(folder + name))) {
    if (line.rfind("=== ", 0) == 0)
      out.emplace_back();
    else
      out.back() += line + "\n";
  }
  return out;
}

}  // namespace

TEST_CASE("golden: the example of alert rules is parsed as recorded") {
  SECTION("recorded copy") {
    golden::check(folder + "examples.form.txt",
                  formOf(alerting::readRules(golden::read(folder + "examples/rules/zones.yml"))));
  }
  SECTION("current example") {
    golden::check(folder + "examples.form.txt", formOf(alerting::readRules(golden::read("examples/rules/zones.yml"))));
  }
}

TEST_CASE("golden: expressions are parsed as recorded, or rejected with the recorded errors") {
  golden::check(folder + "expressions.txt", outcomes(alerting::readExpression, "expressions.input.txt"));
}

TEST_CASE("golden: samples are parsed as recorded, or rejected with the recorded errors") {
  golden::check(folder + "samples.txt", outcomes(alerting::readSamples, "samples.input.txt"));
}

TEST_CASE("golden: rule files are parsed as recorded, or rejected with the recorded errors") {
  std::string text;
  int number = 0;
  for (std::string const& document : documents("rules.input.txt"))
    text += "document " + std::to_string(++number) + "\n" + outcome(alerting::readRules, document);
  golden::check(folder + "rules.txt", text);
}

TEST_CASE("golden: alerts are pending and fire at the recorded evaluations") {
  alerting::RuleEvaluator evaluator(alerting::readRules(documents("rules.input.txt").at(1)));
  std::string text;
  struct Evaluation {
    corkward::core::Milliseconds now;
    char const* page;
  };
  constexpr char const* zoneDown = "corkward_up{zone=\"z2\",node=\"a\"} 0\nx 1\nx{n=\"2\"} 1\n";
  constexpr char const* zoneUp = "corkward_up{zone=\"z2\"} 1\nup 0\n";
  constexpr Evaluation evaluations[] = {{0, zoneDown},      {9999, zoneDown},   {10000, zoneDown}, {20000, zoneDown},
                                        {21000, zoneUp},    {22000, zoneDown},  {31999, zoneDown}, {32000, zoneDown},
                                        {321999, zoneDown}, {322000, zoneDown}, {322001, ""}};
  for (Evaluation const& evaluation : evaluations) {
    text += "at " + std::to_string(evaluation.now) + ":";
    for (alerting::Rule const& rule : evaluator.evaluate(evaluation.now, alerting::readSamples(evaluation.page)))
      text += " " + rule.alert + " (" + rule.runbook + ")";
    for (char const* const alert : {"ZoneDark", "Two words", "A", "nobody"})
      text += evaluator.isPendingOrFiring(alert) ? std::string(" ") + alert + " rises" : "";
    text += "\n";
  }
  golden::check(folder + "looks.txt", text);
}
