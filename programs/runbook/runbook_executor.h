#pragma once

/// Runbooks are carried out here: one step after the other, by the operator interface alone.

#include <QJsonObject>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <corkward/runbook/runbook.h>

#include "clock.h"
#include "operator_client.h"

namespace corkward::programs {

/// What became of one step.
struct StepOutcome {
  bool ok = false;
  std::string said;
};

/// Carries out checked runbooks, by the operator interface alone.
class RunbookExecutor {
 public:
  /// The account is the file that each line of the run is added to; empty: none.
  RunbookExecutor(std::vector<std::string> controllers, bool dryRun, bool yes, std::string account)
      : controllers_(std::move(controllers)), dryRun_(dryRun), yes_(yes), account_(std::move(account)) {}

  /// Asked before each step; a false one ends the run.
  void guard(std::function<bool()> may) { may_ = std::move(may); }

  /// True when every step was done. Steps of one run name have the same change ids, so what was done is not done again.
  bool carryOut(runbook::Runbook const& book, std::string const& run = freshName());

 private:
  void logEvent(std::string const& line);
  OperatorOutcome call(OperatorCall const& c);
  StepOutcome take(runbook::Step const& step, std::string const& changeId);
  /// Puts or patches on the newest revision, unless a change of this id was taken before.
  StepOutcome onNewest(std::string const& path, bool put, runbook::Step const& step, std::string const& changeId);
  /// Sends a change until there is a clear answer or the step's limit is over.
  StepOutcome change(OperatorCall const& c, runbook::Step const& step);
  StepOutcome wait(runbook::Step const& step);
  /// All templates and instances as they stand; nothing when one of them could not be read.
  std::optional<QJsonObject> readAll();
  StepOutcome save(std::string const& path);
  StepOutcome verify(std::string const& path);
  StepOutcome confirm(std::string const& say);

  std::vector<std::string> controllers_;
  bool dryRun_;
  bool yes_;
  std::string account_;
  std::function<bool()> may_;
};

}  // namespace corkward::programs
