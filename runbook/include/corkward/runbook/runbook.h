#pragma once

#include <QJsonObject>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/runbook/page_condition.h>

namespace corkward::runbook {

/// Reports a runbook that is invalid. It is thrown before any step is executed.
class RunbookError : public core::Error {
 public:
  /// @param pointer JSON pointer to the invalid value in the runbook
  RunbookError(std::string pointer, std::string const& reason)
      : core::Error(pointer + ": " + reason), pointer_(std::move(pointer)) {}
  std::string const& pointer() const { return pointer_; }

 private:
  std::string pointer_;
};

enum class StepKind {
  /// Starts to evacuate a zone.
  evacuate,
  /// Ends the evacuation of a zone.
  lift,
  putTemplate,
  patchTemplate,
  putInstance,
  patchInstance,
  /// Waits until an HTTP resource meets a condition.
  wait,
  /// Compares the templates and instances with a saved file.
  verify,
  /// Saves the templates and instances to a file.
  save,
  /// Asks an operator for a confirmation.
  confirm
};

/// A step that has been checked and whose parameters have been replaced by their values.
struct Step {
  /// Name of the step in the report of a run. It is the name of the kind if the runbook does not set one.
  std::string name;
  StepKind kind = StepKind::confirm;
  /// Text arguments of the step by their names, such as "zone" or "template". All arguments of its kind are present.
  std::map<std::string, std::string> arguments;
  /// HTTP body of a step that changes the fleet. Empty for other steps.
  QJsonObject body;
  /// Condition of a wait step. std::nullopt for other steps.
  std::optional<PageCondition> condition;
  /// Maximum duration of the step in seconds.
  int limitSeconds = 30;
};

/// A checked runbook.
struct Runbook {
  std::string name;
  std::vector<Step> steps;
};

/// Values of a runbook's parameters by their names.
using Parameters = std::map<std::string, std::string>;

/// Reads a runbook, replaces its parameters by their values and checks every step. Throws RunbookError if the runbook
/// is invalid, and core::JsonError if the text is not JSON.
Runbook readRunbook(std::string const& text, Parameters const& parameters);

/// Returns the name of a kind in runbooks.
char const* kindName(StepKind kind);

/// Whether a step of this kind changes the fleet.
bool isChange(StepKind kind);

}  // namespace corkward::runbook
