#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <optional>
#include <string>
#include <vector>

namespace corkward::runbook {

/// Condition of a wait step on the JSON of an operator's HTTP resource. It tests one value, or one field of every item
/// of a list.
struct PageCondition {
  enum class Test { equals, atLeast, atMost };

  /// Path from the root of the JSON to the value: the segments of a JSON pointer (RFC 6901), without support for its
  /// escape sequences. Each segment is the name of a field or the index of a list item.
  std::vector<QString> path;
  /// Field to test in each item of the list at `path`. If it is std::nullopt, the value at `path` itself is tested;
  /// atLeast and atMost then test the length of a list.
  std::optional<QString> eachField;
  Test test = Test::equals;
  /// The value to compare with. It is a number for atLeast and atMost.
  QJsonValue expected;
};

/// Reads a condition that has been checked before. A missing field is read as an empty value.
PageCondition readCondition(QJsonObject const& json);
/// Returns the condition as JSON in the form that runbooks use.
QJsonObject toJson(PageCondition const& condition);

/// Result of evaluating a condition.
struct ConditionOutcome {
  bool met = false;
  /// JSON text of the value at the path, or "nothing" if there is no such value.
  std::string seen;
};

/// Evaluates a condition on the JSON of an HTTP resource.
ConditionOutcome evaluate(PageCondition const& condition, QJsonObject const& page);

}  // namespace corkward::runbook
