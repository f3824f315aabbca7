#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <optional>
#include <string>
#include <vector>

namespace corkward::runbook {

/// What a wait step expects of a page of the operator interface: a test of one value, or of a field of each item of a
/// list.
struct PageCondition {
  enum class Test { equals, atLeast, atMost };

  /// Where the value is in the page: names of fields and indices of lists, from the root (a JSON pointer, RFC 6901,
  /// without escapes).
  std::vector<QString> path;
  /// Field that is tested in each item of the list at the path; nothing: the value itself is tested, and of a list its
  /// length.
  std::optional<QString> eachField;
  Test test = Test::equals;
  /// The value to compare with; a number for atLeast and atMost.
  QJsonValue expected;
};

/// Reads a condition that was checked; what is missing is taken for empty.
PageCondition readCondition(QJsonObject const& json);
/// The condition as runbooks write it.
QJsonObject toJson(PageCondition const& condition);

/// Outcome of testing a page.
struct ConditionOutcome {
  bool met = false;
  /// JSON text of the value at the path; "nothing" when there is none.
  std::string seen;
};

ConditionOutcome evaluate(PageCondition const& condition, QJsonObject const& page);

}  // namespace corkward::runbook
