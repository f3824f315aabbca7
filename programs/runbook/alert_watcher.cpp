#include "alert_watcher.h"

#include <QJsonObject>
#include <algorithm>
#include <cctype>
#include <iostream>
#include <utility>

#include <corkward/core/json.h>

#include "clock.h"
#include "metrics_scraper.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

using core::HttpMethod;

constexpr int callTimeoutSeconds = 15;
/// Name of the singleton role in the control state.
constexpr char const* roleName = "alert-watch";

/// Returns an alert's name as used in paths; ZoneDark becomes zone-dark.
std::string pathName(std::string const& alert) {
  std::string out;
  for (char const c : alert) {
    auto const character = static_cast<unsigned char>(c);
    if (std::isupper(character) != 0 && !out.empty() && out.back() != '-') out += '-';
    out += std::isalnum(character) != 0 ? static_cast<char>(std::tolower(character)) : '-';
  }
  return out;
}

std::string pathOf(alerting::Rule const& rule) {
  return paths::ofAlert(pathName(rule.alert));
}

}  // namespace

std::string runbookPath(std::string const& directory, std::string const& name) {
  if (name.find('/') != std::string::npos || name.find("..") != std::string::npos)
    throw UsageError("runbook: must be a file name without directories, but is " + name);
  return directory + "/" + name;
}

AlertWatcher::AlertWatcher(std::vector<std::string> const& controllers, RunbookExecutor& executor,
                           std::vector<alerting::Rule> rules, std::string const& directory)
    : controllers_(controllers),
      executor_(executor),
      rules_(rules),
      evaluator_(std::move(rules)),
      id_(randomId()),
      role_(controllers, roleName, id_) {
  for (alerting::Rule const& rule : rules_)
    runbooks_[rule.alert] = runbook::readRunbook(readFile(runbookPath(directory, rule.runbook)), rule.parameters);
  executor_.setGuard([this] { return role_.renew(); });
}

char const* AlertWatcher::textOf(AlertState state) {
  switch (state) {
    case AlertState::clear:
      return "clear";
    case AlertState::claimed:
      return "claimed";
    case AlertState::done:
      return "done";
  }
  return "";
}

void AlertWatcher::renewRole() {
  if (holdsRole_) role_.renew();
}

void AlertWatcher::updateRole() {
  bool const heldRoleBefore = std::exchange(holdsRole_, role_.renew());
  if (holdsRole_ != heldRoleBefore)
    std::cout << "duty=" << roleName << " held=" << (holdsRole_ ? "yes" : "no") << " epoch=" << role_.term()
              << std::endl;
  // Another process may have changed the states while it held the role.
  if (holdsRole_ && !heldRoleBefore) knownStates_.clear();
}

void AlertWatcher::evaluate(std::vector<std::string> const& targets) {
  std::vector<alerting::Rule> const firingRules = evaluator_.evaluate(now(), scrapeMetrics(targets));
  updateRole();
  if (!holdsRole_) return;
  for (alerting::Rule const& rule : rules_) {
    bool const firing = std::any_of(firingRules.begin(), firingRules.end(),
                                    [&](alerting::Rule const& other) { return other.alert == rule.alert; });
    bool const pending = !firing && evaluator_.isPendingOrFiring(rule.alert);
    if (pending) continue;
    auto const known = knownStates_.find(rule.alert);
    bool const upToDate =
        known != knownStates_.end() && known->second == textOf(firing ? AlertState::done : AlertState::clear);
    if (!upToDate) updateAlert(rule, firing);
  }
}

std::optional<qint64> AlertWatcher::writeState(alerting::Rule const& rule, AlertState state, qint64 revision) {
  QJsonObject const body{{"state", textOf(state)}, {"by", core::toQString(id_)}};
  OperatorReply const reply = callOperator(
      controllers_, {HttpMethod::put, pathOf(rule), core::jsonText(body), std::to_string(revision), randomId()},
      callTimeoutSeconds);
  if (!reply.is(core::HttpStatus::ok) && !reply.pending()) return std::nullopt;
  return reply.body.value("stamp").toInteger();
}

void AlertWatcher::updateAlert(alerting::Rule const& rule, bool firing) {
  OperatorReply const reply = callOperator(controllers_, {HttpMethod::get, pathOf(rule)}, callTimeoutSeconds);
  if (!reply.is(core::HttpStatus::ok)) return;
  std::string const state = core::toStdString(reply.body.value("state").toString());
  qint64 const revision = reply.body.value("stamp").toInteger();
  knownStates_[rule.alert] = state;
  bool const isClear = state == textOf(AlertState::clear);
  if (!firing) {
    if (!isClear && writeState(rule, AlertState::clear, revision)) knownStates_[rule.alert] = textOf(AlertState::clear);
    return;
  }
  if (state == textOf(AlertState::done)) {
    std::cout << "alert=" << rule.alert << " state=done" << std::endl;
    return;
  }
  std::optional<qint64> const claim = isClear ? writeState(rule, AlertState::claimed, revision) : revision;
  if (claim) executeRunbook(rule, *claim);
}

void AlertWatcher::executeRunbook(alerting::Rule const& rule, qint64 claim) {
  std::cout << "alert=" << rule.alert << " runbook=" << rule.runbook << " claim=" << claim << std::endl;
  executor_.execute(runbooks_.at(rule.alert), "alert-" + pathName(rule.alert) + "-" + std::to_string(claim));
  ++executedCount_;
  bool const written = role_.holdsRole() && writeState(rule, AlertState::done, claim);
  if (written) knownStates_[rule.alert] = textOf(AlertState::done);
}

}  // namespace corkward::programs
