#include <corkward/config/config.h>

#include <QJsonArray>
#include <QStringList>
#include <QUrl>
#include <algorithm>
#include <array>
#include <map>
#include <set>

#include <corkward/core/json.h>

#include "checks.h"

namespace corkward::config {

namespace {

using core::toStdString;

QJsonObject objectAt(QJsonObject const& o, char const* name, std::string const& at, bool required) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined() && !required) return {};
  if (!v.isObject()) throw ConfigError(at + "/" + name, required && v.isUndefined() ? "missing" : "must be an object");
  return v.toObject();
}

bool hasType(QString const& type, QJsonValue const& v) {
  if (type == QLatin1String("string")) return v.isString();
  if (type == QLatin1String("integer")) return isInteger(v);
  return v.isBool();
}

void checkParameter(QJsonObject const& p, std::string const& at) {
  rejectUnknownFields(p, {"type", "default", "min", "max", "choices"}, at);
  QString const type = p.value("type").toString();
  constexpr std::array<char const*, 3> types{"string", "integer", "boolean"};
  if (std::none_of(types.begin(), types.end(), [&](char const* t) { return type == QLatin1String(t); }))
    throw ConfigError(at + "/type", "must be string, integer or boolean");
  for (char const* bound : {"min", "max"}) {
    if (!p.contains(QLatin1String(bound))) continue;
    if (type != QLatin1String("integer") || !isInteger(p.value(QLatin1String(bound))))
      throw ConfigError(at + "/" + bound, "must be an integer, for an integer parameter");
  }
  if (p.contains("choices")) {
    if (!p.value("choices").isArray()) throw ConfigError(at + "/choices", "must be a list");
    for (QJsonValue const c : p.value("choices").toArray())
      if (!hasType(type, c)) throw ConfigError(at + "/choices", "must hold values of the parameter's type");
  }
}

void checkValue(QJsonObject const& p, QJsonValue const& v, std::string const& at) {
  if (!hasType(p.value("type").toString(), v))
    throw ConfigError(at, "must be of type " + toStdString(p.value("type").toString()));
  if (p.contains("min") && v.toInteger() < p.value("min").toInteger()) throw ConfigError(at, "below the minimum");
  if (p.contains("max") && v.toInteger() > p.value("max").toInteger()) throw ConfigError(at, "over the maximum");
  if (p.contains("choices") && !p.value("choices").toArray().contains(v))
    throw ConfigError(at, "not one of the choices");
}

/// Replaces each ${NAME} in a text by the value of that parameter. A text that consists of a single ${NAME} becomes the
/// value itself, with its type. Values other than texts are returned unchanged.
QJsonValue substituteParameters(QJsonValue const& v, QJsonObject const& parameters, std::string const& at) {
  if (!v.isString()) return v;
  QString const text = v.toString();
  if (text.startsWith("${") && text.endsWith("}") && text.count("${") == 1) {
    QString const name = text.mid(2, text.size() - 3);
    if (!parameters.contains(name)) throw ConfigError(at, "unknown parameter " + toStdString(name));
    return parameters.value(name);
  }
  QString out;
  qsizetype from = 0;
  for (;;) {
    qsizetype const open = text.indexOf("${", from);
    if (open < 0) break;
    qsizetype const close = text.indexOf('}', open);
    if (close < 0) throw ConfigError(at, "${ without }");
    QString const name = text.mid(open + 2, close - open - 2);
    if (!parameters.contains(name)) throw ConfigError(at, "unknown parameter " + toStdString(name));
    QJsonValue const value = parameters.value(name);
    out += text.mid(from, open - from) + (value.isString() ? value.toString() : core::toQString(core::jsonText(value)));
    from = close + 1;
  }
  return out + text.mid(from);
}

bool isValidPath(std::string const& path) {
  if (path.empty() || path.size() > 256 || path.front() == '/' || path.back() == '/') return false;
  char previous = '/';
  for (char const c : path) {
    bool const ok = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                    c == '_' || c == '.' || c == '/';
    if (!ok || (c == '/' && previous == '/') || (c == '.' && previous == '.')) return false;
    previous = c;
  }
  return true;
}

core::Milliseconds readMilliseconds(QJsonObject const& pathSpec, char const* name, core::Milliseconds defaultValue,
                                    QJsonObject const& parameters, std::string const& at) {
  QJsonValue const raw = pathSpec.value(QLatin1String(name));
  if (raw.isUndefined()) return defaultValue;
  QJsonValue const v = substituteParameters(raw, parameters, at + "/" + name);
  if (!isInteger(v) || v.toInteger() < 10 || v.toInteger() > 600000)
    throw ConfigError(at + "/" + name, "must be an integer of milliseconds, 10 to 600000");
  return v.toInteger();
}

/// Returns a pointer to the field that sets an instance's regime. An instance may replace the regime of its template by
/// another one, but it cannot remove it.
std::string regimePointer(QJsonObject const& instanceSpec, std::string const& at) {
  return instanceSpec.contains("regime") ? at + "/regime" : "/template/regime";
}

std::string regimeOf(QJsonObject const& spec, QJsonObject const& instanceSpec, QJsonObject const& parameters,
                     std::string const& at) {
  if (!instanceSpec.contains("regime") && !spec.contains("regime")) return "";
  std::string const pointer = regimePointer(instanceSpec, at);
  QJsonValue const v = instanceSpec.contains("regime")
                           ? instanceSpec.value("regime")
                           : substituteParameters(spec.value("regime"), parameters, pointer);
  if (!v.isString() || !isValidName(toStdString(v.toString()))) throw ConfigError(pointer, "not a valid name");
  return toStdString(v.toString());
}

/// Returns the values of the template's parameters for one instance: the values that the instance gives, and
/// the defaults of the other parameters.
QJsonObject resolveParameters(QJsonObject const& spec, QJsonObject const& instanceSpec, std::string const& at) {
  QJsonObject const given = instanceSpec.value("parameters").toObject();
  QJsonObject const declared = spec.value("parameters").toObject();
  QJsonObject parameters;
  for (QString const& name : declared.keys()) {
    std::string const pointer = at + "/parameters/" + toStdString(name);
    QJsonObject const declaration = declared.value(name).toObject();
    QJsonValue const value = given.contains(name) ? given.value(name) : declaration.value("default");
    if (value.isUndefined()) throw ConfigError(pointer, "missing parameter");
    checkValue(declaration, value, pointer);
    parameters.insert(name, value);
  }
  for (QString const& name : given.keys())
    if (!declared.contains(name))
      throw ConfigError(at + "/parameters/" + toStdString(name), "the template has no such parameter");
  return parameters;
}

RequestClassDefaults const& findRequestClass(QString const& name, std::string const& at) {
  for (RequestClassDefaults const& known : requestClassDefaults)
    if (name == QLatin1String(known.name.data(), static_cast<qsizetype>(known.name.size()))) return known;
  throw ConfigError(at, "must be urgent, short or long");
}

/// Reads an optional flag of a path. Returns false if the field is missing.
bool renderFlag(QJsonObject const& pathSpec, char const* name, QJsonObject const& parameters, std::string const& at) {
  QJsonValue const value = substituteParameters(pathSpec.value(QLatin1String(name)), parameters, at + "/" + name);
  if (!value.isUndefined() && !value.isBool()) throw ConfigError(at + "/" + name, "must be true or false");
  return value.toBool();
}

std::string renderPathName(QJsonObject const& pathSpec, QJsonObject const& parameters, std::string const& at) {
  std::string path = toStdString(substituteParameters(pathSpec.value("path"), parameters, at + "/path").toString());
  if (!isValidPath(path)) throw ConfigError(at + "/path", "not a valid path: " + path);
  return path;
}

/// Renders a path from its template. The caller sets the instance, the name and the regime.
Path renderPath(QJsonObject const& pathSpec, QJsonObject const& parameters, std::string const& at) {
  Path path;
  path.pool = toStdString(substituteParameters(pathSpec.value("pool"), parameters, at + "/pool").toString());
  path.weightedPools = {WeightedPool{path.pool, 1}};
  QString const className = substituteParameters(pathSpec.value("class"), parameters, at + "/class").toString();
  RequestClassDefaults const& defaults = findRequestClass(className, at + "/class");
  path.requestClass = defaults.requestClass;
  path.latencyTarget = readMilliseconds(pathSpec, "aimMs", defaults.latencyTarget, parameters, at);
  path.deadline = readMilliseconds(pathSpec, "deadlineMs", defaults.deadline, parameters, at);
  path.resumable = renderFlag(pathSpec, "resumable", parameters, at);
  path.stream = renderFlag(pathSpec, "events", parameters, at);
  path.idempotent = path.stream && path.resumable;
  return path;
}

ConfigError ambiguousPath(std::string const& name, std::string const& instance, std::string const& at) {
  return {at + "/path", "ambiguous: " + name + " stands twice in " + instance};
}

std::vector<Path> renderInstance(std::string const& instance, QJsonObject const& spec, QJsonObject const& instanceSpec,
                                 std::string const& at) {
  QJsonObject const parameters = resolveParameters(spec, instanceSpec, at);
  std::string const regime = regimeOf(spec, instanceSpec, parameters, at);
  std::vector<Path> paths;
  std::set<std::string> names;
  QJsonArray const pathSpecs = spec.value("paths").toArray();
  for (qsizetype i = 0; i < pathSpecs.size(); ++i) {
    std::string const pathAt = "/template/paths/" + std::to_string(i);
    QJsonObject const pathSpec = pathSpecs.at(i).toObject();
    std::string const name = renderPathName(pathSpec, parameters, pathAt);
    if (!names.insert(name).second) throw ambiguousPath(name, instance, pathAt);
    Path path = renderPath(pathSpec, parameters, pathAt);
    path.instance = instance;
    path.path = name;
    path.regime = regime;
    paths.push_back(std::move(path));
  }
  return paths;
}

void checkTemplate(QJsonObject const& spec) {
  rejectUnknownFields(spec, {"parameters", "paths", "regime", "note"}, "/template");
  if (spec.contains("regime") && !spec.value("regime").isString())
    throw ConfigError("/template/regime", "must be a text");
  if (spec.contains("note") && !spec.value("note").isString()) throw ConfigError("/template/note", "must be a text");
  QJsonObject const declared = objectAt(spec, "parameters", "/template", false);
  if (declared.size() > 64) throw ConfigError("/template/parameters", "more than 64");
  for (QString const& name : declared.keys()) {
    std::string const at = "/template/parameters/" + toStdString(name);
    if (!isValidName(toStdString(name))) throw ConfigError(at, "not a valid name");
    if (!declared.value(name).isObject()) throw ConfigError(at, "must be an object");
    QJsonObject const p = declared.value(name).toObject();
    checkParameter(p, at);
    if (p.contains("default")) checkValue(p, p.value("default"), at + "/default");
  }
  if (!spec.value("paths").isArray()) throw ConfigError("/template/paths", "must be a list");
  QJsonArray const pathSpecs = spec.value("paths").toArray();
  if (pathSpecs.isEmpty()) throw ConfigError("/template/paths", "must not be empty");
  if (static_cast<std::size_t>(pathSpecs.size()) > maxPaths)
    throw ConfigError("/template/paths", "more than " + std::to_string(maxPaths));
  for (qsizetype i = 0; i < pathSpecs.size(); ++i) {
    std::string const at = "/template/paths/" + std::to_string(i);
    if (!pathSpecs.at(i).isObject()) throw ConfigError(at, "must be an object");
    QJsonObject const pathSpec = pathSpecs.at(i).toObject();
    rejectUnknownFields(pathSpec, {"path", "pool", "class", "aimMs", "deadlineMs", "resumable", "events"}, at);
    for (char const* required : {"path", "pool", "class"})
      if (!pathSpec.value(QLatin1String(required)).isString()) throw ConfigError(at + "/" + required, "must be a text");
  }
}

}  // namespace

bool isValidName(std::string const& name) {
  if (name.empty() || name.size() > 63 || name.front() == '-') return false;
  return std::all_of(name.begin(), name.end(),
                     [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
}

bool isValidLabel(std::string const& label) {
  if (label.empty() || label.size() > maxTextBytes || label == "." || label == "..") return false;
  QString const text = core::toQString(label);
  return toStdString(text) == label &&
         std::none_of(text.begin(), text.end(), [](QChar c) { return c.category() == QChar::Other_Control; });
}

std::string percentEncodeLabel(std::string const& label) {
  return QUrl::toPercentEncoding(core::toQString(label)).toStdString();
}

std::string percentDecodeLabel(std::string const& urlSegment) {
  return QByteArray::fromPercentEncoding(QByteArray::fromStdString(urlSegment)).toStdString();
}

void checkTemplateFamily(QJsonObject const& family, IsKnownPool const& known, RegimeFaultText const& regimeFault) {
  QJsonObject const instances = family.value("instances").toObject();
  if (!family.contains("template")) {
    if (!instances.isEmpty()) throw ConfigError("/template", "has instances");
    return;
  }
  QJsonObject const spec = family.value("template").toObject().value("spec").toObject();
  checkTemplate(spec);
  if (static_cast<std::size_t>(instances.size()) > maxInstances) throw ConfigError("/instances", "too many");
  std::size_t rendered = 0;
  for (QString const& name : instances.keys()) {
    std::string const at = "/instances/" + toStdString(name);
    QJsonObject const instanceSpec = instances.value(name).toObject().value("spec").toObject();
    rejectUnknownFields(instanceSpec, {"parameters", "regime", "note"}, at);
    objectAt(instanceSpec, "parameters", at, false);
    for (Path const& p : renderInstance(toStdString(name), spec, instanceSpec, at)) {
      if (!known(p.pool)) throw ConfigError(at, "no pool named " + p.pool);
      std::string const fault = p.regime.empty() ? "" : regimeFault(p.regime, p.pool);
      if (!fault.empty()) throw ConfigError(regimePointer(instanceSpec, at), fault);
      if (++rendered > maxRenderedPaths)
        throw ConfigError("/instances", "more than " + std::to_string(maxRenderedPaths) + " paths in all");
    }
  }
}

std::vector<Path> renderPaths(std::string const& templateName, QJsonObject const& family) {
  std::vector<Path> out;
  QJsonObject const spec = family.value("template").toObject().value("spec").toObject();
  QJsonObject const instances = family.value("instances").toObject();
  for (QString const& name : instances.keys()) {
    QJsonObject const instanceSpec = instances.value(name).toObject().value("spec").toObject();
    std::vector<Path> const paths =
        renderInstance(templateName + "." + toStdString(name), spec, instanceSpec, "/instances/" + toStdString(name));
    out.insert(out.end(), paths.begin(), paths.end());
  }
  return out;
}

QJsonObject removeChangeHistory(QJsonObject value) {
  value.remove("changes");
  value.remove("taken");
  return value;
}

}  // namespace corkward::config
