#include "runbook_executor.h"

#include <QFile>
#include <QJsonArray>
#include <iostream>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "clock.h"
#include "pause.h"

namespace corkward::programs {

namespace {

constexpr int pollMs = 250;
constexpr int callSeconds = 15;

}  // namespace

bool RunbookExecutor::carryOut(runbook::Runbook const& book, std::string const& run) {
  logEvent("runbook=" + book.name + " run=" + run + (dryRun_ ? " dry-run=yes" : "") +
           " steps=" + std::to_string(book.steps.size()));
  for (std::size_t i = 0; i < book.steps.size(); ++i) {
    runbook::Step const& step = book.steps[i];
    StepOutcome const out =
        may_ && !may_() ? StepOutcome{false, "the duty is no longer held"} : take(step, run + "-" + std::to_string(i));
    logEvent("run=" + run + " step=" + std::to_string(i + 1) + " do=" + runbook::kindName(step.kind) + " name=\"" +
             step.name + "\" outcome=" + (out.ok ? "done" : "failed") + " said=\"" + out.said + "\"");
    if (!out.ok) {
      logEvent("run=" + run + " stopped-at=" + std::to_string(i + 1) +
               " not-done=" + std::to_string(book.steps.size() - i));
      return false;
    }
  }
  logEvent("run=" + run + " outcome=done");
  return true;
}

void RunbookExecutor::logEvent(std::string const& line) {
  std::cout << line << std::endl;
  if (account_.empty()) return;
  QFile file(core::toQString(account_));
  if (file.open(QIODevice::Append)) file.write(QByteArray::fromStdString(line + "\n"));
}

OperatorOutcome RunbookExecutor::call(OperatorCall const& c) {
  return callOperator(controllers_, c, callSeconds);
}

StepOutcome RunbookExecutor::take(runbook::Step const& step, std::string const& changeId) {
  switch (step.kind) {
    case runbook::Kind::evacuate:
      return change({"PUT", "/v1/evacuations/" + config::addressPart(step.words.at("zone")), "", "", changeId, dryRun_},
                    step);
    case runbook::Kind::lift:
      return change(
          {"DELETE", "/v1/evacuations/" + config::addressPart(step.words.at("zone")), "", "", changeId, dryRun_}, step);
    case runbook::Kind::putTemplate:
    case runbook::Kind::patchTemplate:
      return onNewest("/v1/templates/" + step.words.at("template"), step.kind == runbook::Kind::putTemplate, step,
                      changeId);
    case runbook::Kind::putInstance:
    case runbook::Kind::patchInstance:
      return onNewest("/v1/templates/" + step.words.at("template") + "/instances/" + step.words.at("instance"),
                      step.kind == runbook::Kind::putInstance, step, changeId);
    case runbook::Kind::wait:
      return wait(step);
    case runbook::Kind::verify:
      return verify(step.words.at("file"));
    case runbook::Kind::save:
      return save(step.words.at("file"));
    case runbook::Kind::confirm:
      return confirm(step.words.at("say"));
  }
  return {};
}

StepOutcome RunbookExecutor::onNewest(std::string const& path, bool put, runbook::Step const& step,
                                      std::string const& changeId) {
  OperatorOutcome const before = call({"GET", "/v1/changes/" + changeId, "", "", "", false});
  if (before.status == 200 || before.body.value("pending").toBool())
    return {true, "done before, revision " + std::to_string(before.body.value("stamp").toInteger())};
  OperatorOutcome const now = call({"GET", path, "", "", "", false});
  if (now.status != 200 && !(put && now.status == 404))
    return {false, "reading it: status " + std::to_string(now.status)};
  std::string const revision = now.status == 404 ? "0" : now.revision;
  return change({put ? "PUT" : "PATCH", path, core::jsonText(step.body), revision, changeId, dryRun_}, step);
}

StepOutcome RunbookExecutor::change(OperatorCall const& c, runbook::Step const& step) {
  core::Tick const until = now() + step.limitSeconds * 1000;
  for (;;) {
    OperatorOutcome const out = call(c);
    if (out.status == 200 || out.status == 201) return {true, "stamp " + out.revision};
    bool const again = out.status == 0 || out.status == 503 || out.status == 504;
    if (!again || now() >= until)
      return {false, out.status == 0 ? "no answer: " + out.error
                                     : "status " + std::to_string(out.status) + " " +
                                           core::toStdString(out.body.value("reason").toString())};
    pause(pollMs);
  }
}

StepOutcome RunbookExecutor::wait(runbook::Step const& step) {
  if (dryRun_) return {true, "would wait"};
  core::Tick const until = now() + step.limitSeconds * 1000;
  std::string seen = "nothing";
  for (;;) {
    OperatorOutcome const out = call({"GET", step.words.at("page"), "", "", "", false});
    if (out.status == 200) {
      runbook::Expectation const e = runbook::meets(out.body, step.expect);
      if (e.met) return {true, "as expected"};
      seen = e.seen.substr(0, 200);
    }
    if (now() >= until) return {false, "not in " + std::to_string(step.limitSeconds) + " s; last seen " + seen};
    pause(pollMs);
  }
}

std::optional<QJsonObject> RunbookExecutor::readAll() {
  OperatorOutcome const names = call({"GET", "/v1/templates", "", "", "", false});
  if (names.status != 200) return std::nullopt;
  QJsonObject all;
  for (QJsonValue const n : names.body.value("templates").toArray()) {
    std::string const path = "/v1/templates/" + core::toStdString(n.toString());
    OperatorOutcome const t = call({"GET", path, "", "", "", false});
    if (t.status != 200) return std::nullopt;
    QJsonObject instances;
    for (QJsonValue const i : t.body.value("instances").toArray()) {
      OperatorOutcome const one =
          call({"GET", path + "/instances/" + core::toStdString(i.toString()), "", "", "", false});
      if (one.status != 200) return std::nullopt;
      instances.insert(i.toString(), one.body);
    }
    all.insert(n.toString(),
               QJsonObject{{"spec", t.body.value("spec")}, {"stamp", t.body.value("stamp")}, {"instances", instances}});
  }
  return all;
}

StepOutcome RunbookExecutor::save(std::string const& path) {
  std::optional<QJsonObject> const all = readAll();
  if (!all) return {false, "the configuration could not be read"};
  if (dryRun_) return {true, "would write " + path};
  QFile file(core::toQString(path));
  if (!file.open(QIODevice::WriteOnly)) return {false, "cannot write " + path};
  file.write(QByteArray::fromStdString(core::jsonText(*all) + "\n"));
  return {true, std::to_string(all->size()) + " templates"};
}

StepOutcome RunbookExecutor::verify(std::string const& path) {
  std::optional<QJsonObject> const all = readAll();
  if (!all) return {false, "the configuration could not be read"};
  QJsonValue const saved = core::parseJson(readFile(path));
  if (saved == QJsonValue(*all)) return {true, "as saved"};
  for (QString const& k : saved.toObject().keys())
    if (saved.toObject().value(k) != all->value(k))
      return {false, "template " + core::toStdString(k) + " differs from " + path};
  return {false, "there are templates that " + path + " does not have"};
}

StepOutcome RunbookExecutor::confirm(std::string const& say) {
  if (dryRun_) return {true, "would ask: " + say};
  if (yes_) return {true, "taken as done: " + say};
  std::cout << say << "\nDone? (yes/no) " << std::flush;
  std::string line;
  std::getline(std::cin, line);
  return {line == "yes", line == "yes" ? "confirmed" : "not confirmed"};
}

}  // namespace corkward::programs
