#pragma once

#include <QJsonObject>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/runbook/page_condition.h>

namespace corkward::runbook {

/// A runbook that cannot be executed as it is written; nothing was done.
class RunbookError : public core::Error {
 public:
  /// @param pointer JSON pointer of the place in the runbook
  RunbookError(std::string pointer, std::string const& reason)
      : core::Error(pointer + ": " + reason), pointer_(std::move(pointer)) {}
  std::string const& pointer() const { return pointer_; }

 private:
  std::string pointer_;
};

enum class StepKind {
  evacuate,
  lift,
  putTemplate,
  patchTemplate,
  putInstance,
  patchInstance,
  wait,
  verify,
  save,
  confirm
};

/// One step, checked, with the parameters filled in.
struct Step {
  /// For the account of a run; the kind's name when the runbook gives none.
  std::string name;
  StepKind kind = StepKind::confirm;
  /// Texts of the step by their names, such as zone or template: all that its kind has.
  std::map<std::string, std::string> arguments;
  /// Body of a change.
  QJsonObject body;
  /// Of a wait step.
  std::optional<PageCondition> condition;
  /// Seconds for the step.
  int limitSeconds = 30;
};

/// A checked runbook.
struct Runbook {
  std::string name;
  std::vector<Step> steps;
};

/// Values of a runbook's parameters by their names.
using Parameters = std::map<std::string, std::string>;

/// Reads a runbook, fills its parameters in and checks every step. Throws RunbookError, or core::JsonError for a text
/// that is no JSON.
Runbook readRunbook(std::string const& text, Parameters const& parameters);

/// Name of a kind as runbooks write it.
char const* kindName(StepKind kind);

/// Whether steps of the kind change the fleet.
bool isChange(StepKind kind);

}  // namespace corkward::runbook
