#pragma once

#include <QtGlobal>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/alerting/rules.h>
#include <corkward/runbook/runbook.h>

#include "runbook_executor.h"
#include "singleton_role_client.h"

namespace corkward::programs {

/// Path of a runbook in its directory. Throws UsageError for a name that leads out of it.
std::string runbookPath(std::string const& directory, std::string const& name);

/// Watches alert rules over metrics pages and executes their runbooks. It acts only while it holds the singleton role
/// of the watch, and only on an alert that it has claimed in the control state, so that after a takeover no runbook is
/// executed a second time.
class AlertWatcher {
 public:
  /// Reads the runbooks of all rules. Throws runbook::RunbookError, core::JsonError or UsageError.
  AlertWatcher(std::vector<std::string> const& controllers, RunbookExecutor& executor,
               std::vector<alerting::Rule> rules, std::string const& directory);

  /// Scrapes the targets (ip:port or zone=ip:port), evaluates the rules and acts on those that fire.
  void evaluate(std::vector<std::string> const& targets);
  /// Runbooks executed so far.
  int executedCount() const { return executedCount_; }
  /// Extends the role between two evaluations.
  void renewRole();
  void releaseRole() { role_.release(); }

 private:
  /// State of an alert in the control state; `done` says that its runbook was executed.
  enum class AlertState { clear, claimed, done };
  static char const* textOf(AlertState state);

  /// Requests or extends the role, and reports a change of it.
  void updateRole();
  /// Writes a state on the revision that was read.
  /// @return the new revision; nothing when the change was not accepted
  std::optional<qint64> writeState(alerting::Rule const& rule, AlertState state, qint64 revision);
  void updateAlert(alerting::Rule const& rule, bool firing);
  void executeRunbook(alerting::Rule const& rule, qint64 claim);

  std::vector<std::string> controllers_;
  RunbookExecutor& executor_;
  std::vector<alerting::Rule> rules_;
  alerting::RuleEvaluator evaluator_;
  std::string id_;
  SingletonRoleClient role_;
  /// Whether the role was held at the last evaluation.
  bool holdsRole_ = false;
  int executedCount_ = 0;
  /// By the name of the alert.
  std::map<std::string, runbook::Runbook> runbooks_;
  /// States of alerts as this process read or wrote them last, while it holds the role.
  std::map<std::string, std::string> knownStates_;
};

}  // namespace corkward::programs
