#include <catch2/catch.hpp>

#include <QJsonArray>

#include <corkward/core/json.h>
#include <corkward/runbook/runbook.h>

#include "testing/golden/golden.h"

/// Parsed runbooks, errors and results of conditions as a released version produced them, since operators have runbooks
/// of their own. Record the golden files again only if the documentation in docs/ changes the form of runbooks.
namespace core = corkward::core;
namespace golden = corkward::golden;
namespace runbook = corkward::runbook;

namespace {

std::string const folder = "runbook/test/golden/";

using Parameters = std::map<std::string, std::string>;

constexpr char const* examples[] = {"runbooks/evacuate-zone.json",
                                    "runbooks/lift-zone.json",
                                    "runbooks/read-back.json",
                                    "runbooks/replace-member.json",
                                    "runbooks/restore-after-outage.json",
                                    "runbooks/rolling-restart.json",
                                    "rules/evacuate-zone.json"};

/// Whether a form includes the texts that are only shown to operators: names, and what they are asked to confirm.
enum class Texts { with, without };

std::string formOf(runbook::Step const& step, Texts texts) {
  std::string out = std::string("step ") + runbook::kindName(step.kind) + "\n";
  if (texts == Texts::with) out += "  name " + step.name + "\n";
  for (auto const& [name, value] : step.arguments)
    if (texts == Texts::with || name != "say") out += "  " + name + " " + value + "\n";
  out += "  body " + core::jsonText(step.body) + "\n";
  QJsonObject const condition = step.condition ? runbook::toJson(*step.condition) : QJsonObject();
  out += "  expect " + core::jsonText(condition) + "\n";
  return out + "  limit " + std::to_string(step.limitSeconds) + "\n";
}

std::string formOf(runbook::Runbook const& book, Texts texts) {
  std::string out = "runbook " + (texts == Texts::with ? book.name : "") + "\n";
  for (runbook::Step const& step : book.steps) out += formOf(step, texts);
  return out;
}

std::string exampleForm(std::string const& file, Texts texts) {
  std::string const text = golden::read(file);
  Parameters parameters;
  for (QJsonValue const name : core::parseJson(text).toObject().value("parameters").toArray())
    parameters[core::toStdString(name.toString())] = "given-" + core::toStdString(name.toString());
  return formOf(runbook::readRunbook(text, parameters), texts);
}

/// Returns the parsed form, or the error as operators see it.
std::string outcome(std::string const& text, Parameters const& parameters) {
  try {
    return formOf(runbook::readRunbook(text, parameters), Texts::with);
  } catch (runbook::RunbookError const& error) {
    CHECK(std::string(error.what()).rfind(error.pointer() + ": ", 0) == 0);
    return std::string("error at ") + error.what() + "\n";
  } catch (core::JsonError const& error) {
    return std::string("no JSON: ") + error.what() + "\n";
  }
}

std::vector<QJsonObject> inputs(std::string const& name) {
  std::vector<QJsonObject> out;
  for (std::string const& line : golden::lines(golden::read(folder + name)))
    out.push_back(core::parseJson(line).toObject());
  return out;
}

/// Returns the outcomes for all lines of a file of inputs, each after the number of its line.
std::string outcomes(std::string const& name) {
  std::string out;
  int line = 0;
  for (QJsonObject const& input : inputs(name)) {
    Parameters parameters;
    QJsonObject const given = input.value("parameters").toObject();
    for (QString const& key : given.keys())
      parameters[core::toStdString(key)] = core::toStdString(given.value(key).toString());
    out += "input " + std::to_string(++line) + "\n" + outcome(core::jsonText(input.value("runbook")), parameters);
  }
  return out;
}

}  // namespace

TEST_CASE("golden: the examples of runbooks are parsed as recorded") {
  std::string text;
  for (char const* const name : examples) {
    text += std::string("example ") + name + "\n" + exampleForm(folder + "examples/" + name, Texts::with);
    INFO(name);
    CHECK(exampleForm(std::string("examples/") + name, Texts::without) ==
          exampleForm(folder + "examples/" + name, Texts::without));
  }
  golden::check(folder + "examples.form.txt", text);
}

TEST_CASE("golden: runbooks with all kinds of steps are parsed as recorded") {
  golden::check(folder + "valid.form.txt", outcomes("valid.input.txt"));
}

TEST_CASE("golden: invalid runbooks are rejected with the recorded errors") {
  golden::check(folder + "invalid.errors.txt",
                outcomes("invalid.input.txt") + outcome(R"({"runbook":"a","runbook":"b"})", {}));
}

TEST_CASE("golden: conditions on HTTP resources are evaluated with the recorded results") {
  std::string text;
  for (QJsonObject const& input : inputs("expectations.input.txt")) {
    QJsonObject const expect = input.value("expect").toObject();
    runbook::ConditionOutcome const found =
        runbook::evaluate(runbook::readCondition(expect), input.value("page").toObject());
    text += core::jsonText(expect) + " met " + std::to_string(found.met) + " seen " + found.seen + "\n";
  }
  golden::check(folder + "expectations.txt", text);
}

TEST_CASE("golden: kinds of steps have their recorded names and change the fleet or not as recorded") {
  using runbook::StepKind;
  std::string text;
  for (StepKind const kind :
       {StepKind::evacuate, StepKind::lift, StepKind::putTemplate, StepKind::patchTemplate, StepKind::putInstance,
        StepKind::patchInstance, StepKind::wait, StepKind::verify, StepKind::save, StepKind::confirm})
    text += std::string(runbook::kindName(kind)) + " changes " + std::to_string(runbook::isChange(kind)) + "\n";
  golden::check(folder + "kinds.txt", text);
}
