#include "runbook_executor.h"

#include <QFile>
#include <QJsonArray>
#include <iostream>
#include <utility>

#include <corkward/core/json.h>

#include "operator_paths.h"

namespace corkward::programs {

namespace {

using core::HttpMethod;

constexpr int pollIntervalMs = 250;
constexpr int callTimeoutSeconds = 15;
constexpr core::Milliseconds millisPerSecond = 1000;
/// Maximum bytes of an observed value that are copied to the account.
constexpr std::size_t maxShownValue = 200;

core::Milliseconds deadlineOf(runbook::Step const& step) {
  return now() + step.limitSeconds * millisPerSecond;
}

}  // namespace

bool RunbookExecutor::execute(runbook::Runbook const& book, std::string const& run) {
  std::size_t const count = book.steps.size();
  writeAccount("runbook=" + book.name + " run=" + run + (options_.dryRun ? " dry-run=yes" : "") +
               " steps=" + std::to_string(count));
  for (std::size_t i = 0; i < count; ++i) {
    runbook::Step const& step = book.steps[i];
    bool const mayContinue = !mayContinue_ || mayContinue_();
    StepOutcome const outcome = mayContinue ? executeStep(step, run + "-" + std::to_string(i))
                                            : StepOutcome{false, "this process no longer holds the singleton role"};
    writeStepAccount(run, i + 1, step, outcome);
    if (!outcome.done) {
      writeAccount("run=" + run + " stopped-at=" + std::to_string(i + 1) + " not-done=" + std::to_string(count - i));
      return false;
    }
  }
  writeAccount("run=" + run + " outcome=done");
  return true;
}

void RunbookExecutor::writeStepAccount(std::string const& run, std::size_t number, runbook::Step const& step,
                                       StepOutcome const& outcome) const {
  writeAccount("run=" + run + " step=" + std::to_string(number) + " do=" + runbook::kindName(step.kind) + " name=\"" +
               step.name + "\" outcome=" + (outcome.done ? "done" : "failed") + " said=\"" + outcome.detail + "\"");
}

void RunbookExecutor::writeAccount(std::string const& line) const {
  std::cout << line << std::endl;
  if (options_.accountFile.empty()) return;
  QFile file(core::toQString(options_.accountFile));
  if (file.open(QIODevice::Append)) file.write(QByteArray::fromStdString(line + "\n"));
}

OperatorReply RunbookExecutor::call(OperatorCall const& call) const {
  return callOperator(options_.controllers, call, callTimeoutSeconds);
}

StepOutcome RunbookExecutor::executeStep(runbook::Step const& step, std::string const& changeId) {
  auto const argument = [&](char const* name) { return step.arguments.at(name); };
  auto const changeEvacuation = [&](HttpMethod method) {
    return change({method, paths::ofEvacuation(argument("zone")), "", "", changeId, options_.dryRun}, step);
  };
  auto const changeTemplate = [&](HttpMethod method) {
    return changeNewest(paths::ofTemplate(argument("template")), method, step, changeId);
  };
  auto const changeInstance = [&](HttpMethod method) {
    return changeNewest(paths::ofTemplate(argument("template"), argument("instance")), method, step, changeId);
  };
  switch (step.kind) {
    case runbook::StepKind::evacuate:
      return changeEvacuation(HttpMethod::put);
    case runbook::StepKind::lift:
      return changeEvacuation(HttpMethod::del);
    case runbook::StepKind::putTemplate:
      return changeTemplate(HttpMethod::put);
    case runbook::StepKind::patchTemplate:
      return changeTemplate(HttpMethod::patch);
    case runbook::StepKind::putInstance:
      return changeInstance(HttpMethod::put);
    case runbook::StepKind::patchInstance:
      return changeInstance(HttpMethod::patch);
    case runbook::StepKind::wait:
      return waitForPage(step);
    case runbook::StepKind::verify:
      return verify(argument("file"));
    case runbook::StepKind::save:
      return save(argument("file"));
    case runbook::StepKind::confirm:
      return confirm(argument("say"));
  }
  return {};
}

StepOutcome RunbookExecutor::changeNewest(std::string const& path, HttpMethod method, runbook::Step const& step,
                                          std::string const& changeId) {
  OperatorReply const before = call({HttpMethod::get, paths::ofChange(changeId)});
  if (before.is(core::HttpStatus::ok) || before.pending())
    return {true, "already done, revision " + std::to_string(before.body.value("stamp").toInteger())};
  OperatorReply const current = call({HttpMethod::get, path});
  bool const isNew = method == HttpMethod::put && current.is(core::HttpStatus::notFound);
  if (!current.is(core::HttpStatus::ok) && !isNew)
    return {false, "reading " + path + " failed with status " + std::to_string(current.status)};
  std::string const revision = isNew ? "0" : current.revision;
  return change({method, path, core::jsonText(step.body), revision, changeId, options_.dryRun}, step);
}

StepOutcome RunbookExecutor::change(OperatorCall const& operatorCall, runbook::Step const& step) {
  core::Milliseconds const deadline = deadlineOf(step);
  for (;;) {
    OperatorReply const reply = call(operatorCall);
    if (reply.accepted()) return {true, "revision " + reply.revision};
    if (!reply.mayRetry() || now() >= deadline)
      return {false, reply.answered() ? "status " + std::to_string(reply.status) + " " +
                                            core::toStdString(reply.body.value("reason").toString())
                                      : "no response: " + reply.error};
    pause(pollIntervalMs);
  }
}

StepOutcome RunbookExecutor::waitForPage(runbook::Step const& step) {
  if (options_.dryRun) return {true, "would wait"};
  core::Milliseconds const deadline = deadlineOf(step);
  std::string lastObserved = "nothing";
  for (;;) {
    OperatorReply const page = call({HttpMethod::get, step.arguments.at("page")});
    if (page.is(core::HttpStatus::ok)) {
      runbook::ConditionOutcome const outcome = runbook::evaluate(*step.condition, page.body);
      if (outcome.met) return {true, "as expected"};
      lastObserved = outcome.seen.substr(0, maxShownValue);
    }
    if (now() >= deadline)
      return {false,
              "condition not met within " + std::to_string(step.limitSeconds) + " s; last value " + lastObserved};
    pause(pollIntervalMs);
  }
}

std::optional<QJsonObject> RunbookExecutor::readTemplate(std::string const& name) const {
  OperatorReply const reply = call({HttpMethod::get, paths::ofTemplate(name)});
  if (!reply.is(core::HttpStatus::ok)) return std::nullopt;
  QJsonObject instances;
  for (QJsonValue const instance : reply.body.value("instances").toArray()) {
    OperatorReply const page = call({HttpMethod::get, paths::ofTemplate(name, core::toStdString(instance.toString()))});
    if (!page.is(core::HttpStatus::ok)) return std::nullopt;
    instances.insert(instance.toString(), page.body);
  }
  return QJsonObject{
      {"spec", reply.body.value("spec")}, {"stamp", reply.body.value("stamp")}, {"instances", instances}};
}

std::optional<QJsonObject> RunbookExecutor::readTemplates() const {
  OperatorReply const names = call({HttpMethod::get, paths::templates});
  if (!names.is(core::HttpStatus::ok)) return std::nullopt;
  QJsonObject out;
  for (QJsonValue const name : names.body.value("templates").toArray()) {
    std::optional<QJsonObject> const entry = readTemplate(core::toStdString(name.toString()));
    if (!entry) return std::nullopt;
    out.insert(name.toString(), *entry);
  }
  return out;
}

StepOutcome RunbookExecutor::save(std::string const& path) const {
  std::optional<QJsonObject> const templates = readTemplates();
  if (!templates) return {false, "the configuration could not be read"};
  if (options_.dryRun) return {true, "would write " + path};
  QFile file(core::toQString(path));
  if (!file.open(QIODevice::WriteOnly)) return {false, "cannot write " + path};
  file.write(QByteArray::fromStdString(core::jsonText(*templates) + "\n"));
  return {true, std::to_string(templates->size()) + " templates saved"};
}

StepOutcome RunbookExecutor::verify(std::string const& path) const {
  std::optional<QJsonObject> const templates = readTemplates();
  if (!templates) return {false, "the configuration could not be read"};
  QJsonValue const saved = core::parseJson(readFile(path));
  if (saved == QJsonValue(*templates)) return {true, "all templates are as saved"};
  for (QString const& name : saved.toObject().keys())
    if (saved.toObject().value(name) != templates->value(name))
      return {false, "template " + core::toStdString(name) + " differs from " + path};
  return {false, "there are templates that " + path + " does not have"};
}

StepOutcome RunbookExecutor::confirm(std::string const& prompt) const {
  if (options_.dryRun) return {true, "would ask: " + prompt};
  if (options_.assumeYes) return {true, "assumed done: " + prompt};
  std::cout << prompt << "\nDone? (yes/no) " << std::flush;
  std::string line;
  std::getline(std::cin, line);
  bool const confirmed = line == "yes";
  return {confirmed, confirmed ? "confirmed" : "not confirmed"};
}

}  // namespace corkward::programs
