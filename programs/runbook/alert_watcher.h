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

/// Returns the path of a runbook in a directory. Throws UsageError if the name leads out of the directory.
std::string runbookPath(std::string const& directory, std::string const& name);

/// Evaluates alert rules on scraped metrics and executes the runbooks of firing alerts. An instance acts only while it
/// holds the singleton role of the alert watch, and only on an alert that is claimed in the control state. Therefore no
/// runbook is executed a second time after another process has taken over the role.
class AlertWatcher {
 public:
  /// Reads the runbooks of all rules. Throws runbook::RunbookError, core::JsonError or UsageError.
  AlertWatcher(std::vector<std::string> const& controllers, RunbookExecutor& executor,
               std::vector<alerting::Rule> rules, std::string const& directory);

  /// Scrapes the targets (ip:port or zone=ip:port), evaluates the rules and acts on those that fire.
  void evaluate(std::vector<std::string> const& targets);
  /// Returns the number of runbooks executed so far.
  int executedCount() const { return executedCount_; }
  /// Extends the role between two evaluations.
  void renewRole();
  void releaseRole() { role_.release(); }

 private:
  /// State of an alert in the control state. `done` means that its runbook was executed.
  enum class AlertState { clear, claimed, done };
  static char const* textOf(AlertState state);

  /// Requests or extends the role, and prints a line if the role was acquired or lost.
  void updateRole();
  /// Writes the state of an alert, based on the revision that was read.
  /// @return the new revision, or std::nullopt if the change was not accepted
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
  /// Keyed by the name of the alert.
  std::map<std::string, runbook::Runbook> runbooks_;
  /// States of alerts that this process last read or wrote. Cleared each time the role is acquired.
  std::map<std::string, std::string> knownStates_;
};

}  // namespace corkward::programs
