#include <corkward/runbook/page_condition.h>

#include <QJsonArray>
#include <QStringList>
#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::runbook {

namespace {

constexpr char const* pointerField = "pointer";
constexpr char const* eachField = "each";

char const* fieldOf(PageCondition::Test test) {
  switch (test) {
    case PageCondition::Test::equals:
      return "equals";
    case PageCondition::Test::atLeast:
      return "atLeast";
    case PageCondition::Test::atMost:
      return "atMost";
  }
  return "";
}

PageCondition::Test testOf(QJsonObject const& json) {
  using Test = PageCondition::Test;
  for (Test const test : {Test::equals, Test::atLeast})
    if (json.contains(QLatin1String(fieldOf(test)))) return test;
  return Test::atMost;
}

/// Returns the value at a path, or an undefined value if there is none.
QJsonValue valueAt(QJsonObject const& page, std::vector<QString> const& path) {
  QJsonValue value = page;
  for (QString const& name : path) {
    if (value.isArray()) {
      bool isIndex = false;
      qsizetype const index = name.toLongLong(&isIndex);
      value = isIndex ? value.toArray().at(index) : QJsonValue(QJsonValue::Undefined);
    } else {
      value = value.toObject().value(name);
    }
  }
  return value;
}

bool satisfies(QJsonValue const& value, PageCondition const& condition) {
  if (condition.test == PageCondition::Test::equals) return value == condition.expected;
  if (!value.isDouble()) return false;
  double const bound = condition.expected.toDouble();
  return condition.test == PageCondition::Test::atLeast ? value.toDouble() >= bound : value.toDouble() <= bound;
}

bool isMet(QJsonValue const& value, PageCondition const& condition) {
  if (condition.eachField) {
    QJsonArray const items = value.toArray();
    return value.isArray() && std::all_of(items.begin(), items.end(), [&](QJsonValue const& item) {
             return satisfies(item.toObject().value(*condition.eachField), condition);
           });
  }
  bool const testsLength = value.isArray() && condition.test != PageCondition::Test::equals;
  return satisfies(testsLength ? QJsonValue(static_cast<qint64>(value.toArray().size())) : value, condition);
}

}  // namespace

PageCondition readCondition(QJsonObject const& json) {
  PageCondition out;
  QStringList const path = json.value(pointerField).toString().split('/').mid(1);
  out.path.assign(path.begin(), path.end());
  if (json.contains(eachField)) out.eachField = json.value(eachField).toString();
  out.test = testOf(json);
  out.expected = json.value(QLatin1String(fieldOf(out.test)));
  return out;
}

QJsonObject toJson(PageCondition const& condition) {
  QString pointer;
  for (QString const& name : condition.path) pointer += "/" + name;
  QJsonObject out{{pointerField, pointer}, {fieldOf(condition.test), condition.expected}};
  if (condition.eachField) out.insert(eachField, *condition.eachField);
  return out;
}

ConditionOutcome evaluate(PageCondition const& condition, QJsonObject const& page) {
  QJsonValue const value = valueAt(page, condition.path);
  return {isMet(value, condition), value.isUndefined() ? "nothing" : core::jsonText(value)};
}

}  // namespace corkward::runbook
