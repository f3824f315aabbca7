#include <corkward/runbook/runbook.h>

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <corkward/core/json.h>

namespace corkward::runbook {

namespace {

constexpr int maxLimitSeconds = 3600;

/// The fields that steps of a kind have.
struct KindDescription {
  char const* name;
  StepKind kind;
  bool isChange;
  /// Names of the text arguments. An entry is null if there are fewer than two.
  std::array<char const*, 2> arguments;
  /// Name of the field with the body of a change or with a condition. Null if the kind has no such field.
  char const* object;
};

constexpr std::array<KindDescription, 10> kinds{
    {{"evacuate", StepKind::evacuate, true, {"zone"}, nullptr},
     {"lift", StepKind::lift, true, {"zone"}, nullptr},
     {"put-template", StepKind::putTemplate, true, {"template"}, "spec"},
     {"patch-template", StepKind::patchTemplate, true, {"template"}, "patch"},
     {"put-instance", StepKind::putInstance, true, {"template", "instance"}, "spec"},
     {"patch-instance", StepKind::patchInstance, true, {"template", "instance"}, "patch"},
     {"wait", StepKind::wait, false, {"page"}, "expect"},
     {"verify", StepKind::verify, false, {"file"}, nullptr},
     {"save", StepKind::save, false, {"file"}, nullptr},
     {"confirm", StepKind::confirm, false, {"say"}, nullptr}}};

constexpr std::array<char const*, 5> conditionFields{"pointer", "equals", "atLeast", "atMost", "each"};

KindDescription const& descriptionOf(StepKind kind) {
  return *std::find_if(kinds.begin(), kinds.end(),
                       [&](KindDescription const& description) { return description.kind == kind; });
}

KindDescription const& kindNamed(QJsonValue const& name, std::string const& pointer) {
  auto const found = std::find_if(kinds.begin(), kinds.end(), [&](KindDescription const& description) {
    return name.toString() == QLatin1String(description.name);
  });
  if (found == kinds.end()) throw RunbookError(pointer + "/do", "no such kind of step");
  return *found;
}

/// Replaces each ${NAME} by the parameter's value.
QString substituteInText(QString const& text, Parameters const& parameters, std::string const& pointer) {
  QString out = text;
  qsizetype open = out.indexOf("${");
  while (open >= 0) {
    qsizetype const close = out.indexOf('}', open);
    if (close < 0) throw RunbookError(pointer, "${ without }");
    std::string const name = core::toStdString(out.mid(open + 2, close - open - 2));
    auto const found = parameters.find(name);
    if (found == parameters.end()) throw RunbookError(pointer, "no value for parameter " + name);
    std::string const& value = found->second;
    out.replace(open, close - open + 1, core::toQString(value));
    open = out.indexOf("${", open + static_cast<qsizetype>(value.size()));
  }
  return out;
}

/// Replaces each ${NAME} in all texts of a value by the parameter's value.
QJsonValue substituteInValue(QJsonValue const& value, Parameters const& parameters, std::string const& pointer) {
  if (value.isString()) return substituteInText(value.toString(), parameters, pointer);
  if (value.isArray()) {
    QJsonArray out;
    for (QJsonValue const item : value.toArray()) out.append(substituteInValue(item, parameters, pointer));
    return out;
  }
  if (!value.isObject()) return value;
  QJsonObject out;
  QJsonObject const object = value.toObject();
  for (QString const& name : object.keys())
    out.insert(name, substituteInValue(object.value(name), parameters, pointer + "/" + core::toStdString(name)));
  return out;
}

void checkCondition(QJsonObject const& json, std::string const& pointer) {
  for (QString const& name : json.keys()) {
    bool const known = std::any_of(conditionFields.begin(), conditionFields.end(),
                                   [&](char const* field) { return name == QLatin1String(field); });
    if (!known) throw RunbookError(pointer + "/" + core::toStdString(name), "unknown field");
  }
  if (!json.value("pointer").toString().startsWith('/'))
    throw RunbookError(pointer + "/pointer", "must be a JSON pointer");
  int const tests =
      (json.contains("equals") ? 1 : 0) + (json.contains("atLeast") ? 1 : 0) + (json.contains("atMost") ? 1 : 0);
  if (tests != 1) throw RunbookError(pointer, "wants one of equals, atLeast and atMost");
  if (json.contains("each") && !json.value("each").isString()) throw RunbookError(pointer + "/each", "must be a text");
  for (char const* const bound : {"atLeast", "atMost"})
    if (json.contains(QLatin1String(bound)) && !json.value(QLatin1String(bound)).isDouble())
      throw RunbookError(pointer + "/" + bound, "must be a number");
}

/// Checks that the runbook declares exactly the parameters that have values.
void checkParameters(QJsonObject const& book, Parameters const& parameters) {
  std::set<std::string> declared;
  if (book.contains("parameters") && !book.value("parameters").isArray())
    throw RunbookError("/parameters", "must be a list of names");
  for (QJsonValue const parameter : book.value("parameters").toArray()) {
    std::string const name = core::toStdString(parameter.toString());
    if (name.empty() || !declared.insert(name).second)
      throw RunbookError("/parameters", "must be a list of different names");
    if (parameters.count(name) == 0) throw RunbookError("/parameters", "no value given for " + name);
  }
  for (auto const& [name, value] : parameters)
    if (declared.count(name) == 0) throw RunbookError("/parameters", "the runbook has no parameter " + name);
}

/// Reads the field of a step that holds its condition or the body of its change.
void readBodyOrCondition(Step& step, char const* field, QJsonObject const& json, std::string const& pointer) {
  if (!json.value(QLatin1String(field)).isObject()) throw RunbookError(pointer + "/" + field, "must be an object");
  QJsonObject const object = json.value(QLatin1String(field)).toObject();
  if (step.kind == StepKind::wait) {
    checkCondition(object, pointer + "/expect");
    step.condition = readCondition(object);
  } else {
    step.body = object;
  }
}

void readLimit(Step& step, QJsonObject const& json, std::string const& pointer) {
  if (!json.contains("limitSeconds")) return;
  int const limit = json.value("limitSeconds").toInt(0);
  if (limit < 1 || limit > maxLimitSeconds) throw RunbookError(pointer + "/limitSeconds", "must be 1 to 3600");
  step.limitSeconds = limit;
}

/// Reads a step whose parameters have already been replaced by their values.
Step readStep(QJsonObject const& json, std::string const& pointer) {
  KindDescription const& description = kindNamed(json.value("do"), pointer);
  Step step;
  step.kind = description.kind;
  step.name = core::toStdString(json.value("name").toString(description.name));
  std::set<std::string> allowed{"do", "name", "limitSeconds"};
  for (char const* const argument : description.arguments) {
    if (argument == nullptr) continue;
    allowed.insert(argument);
    std::string const value = core::toStdString(json.value(QLatin1String(argument)).toString());
    if (value.empty()) throw RunbookError(pointer + "/" + argument, "must be a text");
    step.arguments[argument] = value;
  }
  if (description.object != nullptr) {
    allowed.insert(description.object);
    readBodyOrCondition(step, description.object, json, pointer);
  }
  if (step.kind == StepKind::wait && step.arguments["page"].front() != '/')
    throw RunbookError(pointer + "/page", "must begin with /");
  readLimit(step, json, pointer);
  for (QString const& name : json.keys())
    if (allowed.count(core::toStdString(name)) == 0)
      throw RunbookError(pointer + "/" + core::toStdString(name), "unknown field");
  return step;
}

void checkFields(QJsonObject const& book) {
  for (QString const& name : book.keys())
    if (name != "runbook" && name != "note" && name != "parameters" && name != "steps")
      throw RunbookError("/" + core::toStdString(name), "unknown field");
}

std::vector<Step> readSteps(QJsonValue const& json, Parameters const& parameters) {
  if (!json.isArray() || json.toArray().isEmpty()) throw RunbookError("/steps", "must be a list with steps");
  QJsonArray const steps = json.toArray();
  std::vector<Step> out;
  for (qsizetype i = 0; i < steps.size(); ++i) {
    std::string const pointer = "/steps/" + std::to_string(i);
    if (!steps.at(i).isObject()) throw RunbookError(pointer, "must be an object");
    out.push_back(readStep(substituteInValue(steps.at(i), parameters, pointer).toObject(), pointer));
  }
  return out;
}

}  // namespace

char const* kindName(StepKind kind) {
  return descriptionOf(kind).name;
}

bool isChange(StepKind kind) {
  return descriptionOf(kind).isChange;
}

Runbook readRunbook(std::string const& text, Parameters const& parameters) {
  QJsonValue const root = core::parseJson(text);
  if (!root.isObject()) throw RunbookError("/", "must be an object");
  QJsonObject const book = root.toObject();
  checkFields(book);
  Runbook out;
  out.name = core::toStdString(book.value("runbook").toString());
  if (out.name.empty()) throw RunbookError("/runbook", "missing name");
  checkParameters(book, parameters);
  out.steps = readSteps(book.value("steps"), parameters);
  return out;
}

}  // namespace corkward::runbook
