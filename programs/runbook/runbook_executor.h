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
  /// For the account of the run.
  std::string detail;
};

/// Options of all runs of an executor.
struct ExecutorOptions {
  std::vector<std::string> controllers;
  /// Only check the changes and say what would be done.
  bool dryRun = false;
  /// Take confirm steps for done without a prompt.
  bool assumeYes = false;
  /// File that each line of the account is appended to; empty: none. The lines are printed in any case.
  std::string accountFile;
};

/// Executes runbooks, one step after the other, by the operator interface alone.
class RunbookExecutor {
 public:
  explicit RunbookExecutor(ExecutorOptions options) : options_(std::move(options)) {}

  /// Called before each step; when it returns false the run ends there.
  void setGuard(std::function<bool()> mayGoOn) { mayGoOn_ = std::move(mayGoOn); }

  /// Executes the steps up to the first that fails. Steps of runs with the same name have the same change ids, so a
  /// change that was made before is not made again.
  /// @return whether every step was done
  bool execute(runbook::Runbook const& book, std::string const& run = randomId());

 private:
  void writeAccount(std::string const& line) const;
  void writeStepAccount(std::string const& run, std::size_t number, runbook::Step const& step,
                        StepOutcome const& outcome) const;
  OperatorReply call(OperatorCall const& call) const;
  StepOutcome executeStep(runbook::Step const& step, std::string const& changeId);
  /// Puts or patches on the newest revision, unless a change of this id was made before.
  StepOutcome changeNewest(std::string const& path, core::HttpMethod method, runbook::Step const& step,
                           std::string const& changeId);
  /// Retries a change until its outcome is final or the step's time is over.
  StepOutcome change(OperatorCall const& call, runbook::Step const& step);
  StepOutcome waitForPage(runbook::Step const& step);
  /// All templates with their instances; nothing when one of them could not be read.
  std::optional<QJsonObject> readTemplates() const;
  std::optional<QJsonObject> readTemplate(std::string const& name) const;
  StepOutcome save(std::string const& path) const;
  StepOutcome verify(std::string const& path) const;
  StepOutcome confirm(std::string const& prompt) const;

  ExecutorOptions options_;
  std::function<bool()> mayGoOn_;
};

}  // namespace corkward::programs
