#pragma once

#include <QJsonObject>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <corkward/runbook/runbook.h>

#include "clock.h"
#include "operator_client.h"

namespace corkward::programs {

/// Outcome of one step.
struct StepOutcome {
  bool done = false;
  /// Description of the outcome for the account of the run.
  std::string detail;
};

/// Options for all runbooks that an executor executes.
struct ExecutorOptions {
  std::vector<std::string> controllers;
  /// Only check the changes and report what each step would do.
  bool dryRun = false;
  /// Treat confirm steps as confirmed, without a prompt.
  bool assumeYes = false;
  /// File to which each line of the account is appended. Empty if there is none. The lines are always printed as well.
  std::string accountFile;
};

/// Executes the steps of runbooks one after the other. All changes to the fleet are sent to the operator interface.
class RunbookExecutor {
 public:
  explicit RunbookExecutor(ExecutorOptions options) : options_(std::move(options)) {}

  /// Sets a function that is called before each step. If it returns false, the step fails and the run ends.
  void setGuard(std::function<bool()> mayContinue) { mayContinue_ = std::move(mayContinue); }

  /// Executes the steps until one fails. Change ids are derived from the name of the run, so a second run of the same
  /// name does not repeat the changes of the first.
  /// @return whether all steps succeeded
  bool execute(runbook::Runbook const& book, std::string const& run = randomId());

 private:
  void writeAccount(std::string const& line) const;
  void writeStepAccount(std::string const& run, std::size_t number, runbook::Step const& step,
                        StepOutcome const& outcome) const;
  OperatorReply call(OperatorCall const& call) const;
  StepOutcome executeStep(runbook::Step const& step, std::string const& changeId);
  /// Puts or patches a resource, based on its newest revision, unless a change with this id was made before.
  StepOutcome changeNewest(std::string const& path, core::HttpMethod method, runbook::Step const& step,
                           std::string const& changeId);
  /// Sends a change, and retries it until its outcome is final or the step's time limit is reached.
  StepOutcome change(OperatorCall const& call, runbook::Step const& step);
  StepOutcome waitForPage(runbook::Step const& step);
  /// Reads all templates with their instances. Returns std::nullopt if one of them cannot be read.
  std::optional<QJsonObject> readTemplates() const;
  std::optional<QJsonObject> readTemplate(std::string const& name) const;
  StepOutcome save(std::string const& path) const;
  StepOutcome verify(std::string const& path) const;
  StepOutcome confirm(std::string const& prompt) const;

  ExecutorOptions options_;
  std::function<bool()> mayContinue_;
};

}  // namespace corkward::programs
