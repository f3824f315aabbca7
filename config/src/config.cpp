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

QJsonObject objectAt(QJsonObject const& o, char const* name, std::string const& at, bool needed) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined() && !needed) return {};
  if (!v.isObject()) throw ConfigError(at + "/" + name, needed && v.isUndefined() ? "missing" : "must be an object");
  return v.toObject();
}

bool typeFits(QString const& type, QJsonValue const& v) {
  if (type == QLatin1String("string")) return v.isString();
  if (type == QLatin1String("integer")) return isInteger(v);
  return v.isBool();
}

void checkParameter(QJsonObject const& p, std::string const& at) {
  onlyFields(p, {"type", "default", "min", "max", "choices"}, at);
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
      if (!typeFits(type, c)) throw ConfigError(at + "/choices", "must hold values of the parameter's type");
  }
}

void checkValue(QJsonObject const& p, QJsonValue const& v, std::string const& at) {
  if (!typeFits(p.value("type").toString(), v))
    throw ConfigError(at, "must be of type " + toStdString(p.value("type").toString()));
  if (p.contains("min") && v.toInteger() < p.value("min").toInteger()) throw ConfigError(at, "below the minimum");
  if (p.contains("max") && v.toInteger() > p.value("max").toInteger()) throw ConfigError(at, "over the maximum");
  if (p.contains("choices") && !p.value("choices").toArray().contains(v))
    throw ConfigError(at, "not one of the choices");
}

QJsonValue fill(QJsonValue const& v, QJsonObject const& parameters, std::string const& at) {
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

bool validPath(std::string const& path) {
  if (path.empty() || path.size() > 256 || path.front() == '/' || path.back() == '/') return false;
  char last = '/';
  for (char const c : path) {
    bool const ok = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                    c == '_' || c == '.' || c == '/';
    if (!ok || (c == '/' && last == '/') || (c == '.' && last == '.')) return false;
    last = c;
  }
  return true;
}

core::Tick milliseconds(QJsonObject const& row, char const* name, core::Tick otherwise, QJsonObject const& parameters,
                        std::string const& at) {
  QJsonValue const raw = row.value(QLatin1String(name));
  if (raw.isUndefined()) return otherwise;
  QJsonValue const v = fill(raw, parameters, at + "/" + name);
  if (!isInteger(v) || v.toInteger() < 10 || v.toInteger() > 600000)
    throw ConfigError(at + "/" + name, "must be an integer of milliseconds, 10 to 600000");
  return v.toInteger();
}

/// Where an instance's regime stands: an instance may put another in place of its template's, but never none.
std::string regimePlace(QJsonObject const& one, std::string const& at) {
  return one.contains("regime") ? at + "/regime" : "/template/regime";
}

std::string regimeOf(QJsonObject const& spec, QJsonObject const& one, QJsonObject const& parameters,
                     std::string const& at) {
  if (!one.contains("regime") && !spec.contains("regime")) return "";
  std::string const place = regimePlace(one, at);
  QJsonValue const v = one.contains("regime") ? one.value("regime") : fill(spec.value("regime"), parameters, place);
  if (!v.isString() || !isValidName(toStdString(v.toString()))) throw ConfigError(place, "not a valid name");
  return toStdString(v.toString());
}

std::vector<Path> renderInstance(std::string const& instance, QJsonObject const& spec, QJsonObject const& one,
                                 std::string const& at) {
  QJsonObject const given = one.value("parameters").toObject();
  QJsonObject const declared = spec.value("parameters").toObject();
  QJsonObject parameters;
  for (QString const& name : declared.keys()) {
    QJsonObject const p = declared.value(name).toObject();
    QJsonValue const v = given.contains(name) ? given.value(name) : p.value("default");
    if (v.isUndefined()) throw ConfigError(at + "/parameters/" + toStdString(name), "missing parameter");
    checkValue(p, v, at + "/parameters/" + toStdString(name));
    parameters.insert(name, v);
  }
  for (QString const& name : given.keys())
    if (!declared.contains(name))
      throw ConfigError(at + "/parameters/" + toStdString(name), "the template has no such parameter");
  std::string const regime = regimeOf(spec, one, parameters, at);
  std::vector<Path> out;
  std::set<std::string> seen;
  QJsonArray const rows = spec.value("paths").toArray();
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const place = "/template/paths/" + std::to_string(i);
    QJsonObject const row = rows.at(i).toObject();
    Path p;
    p.instance = instance;
    p.path = toStdString(fill(row.value("path"), parameters, place + "/path").toString());
    if (!validPath(p.path)) throw ConfigError(place + "/path", "not a valid path: " + p.path);
    if (!seen.insert(p.path).second)
      throw ConfigError(place + "/path", "ambiguous: " + p.path + " stands twice in " + instance);
    p.pool = toStdString(fill(row.value("pool"), parameters, place + "/pool").toString());
    p.weightedPools = {WeightedPool{p.pool, 1}};
    QJsonValue const cls = fill(row.value("class"), parameters, place + "/class");
    RequestClassDefaults const* found = nullptr;
    for (RequestClassDefaults const& c : requestClassDefaults)
      if (cls.toString() == QLatin1String(c.name.data(), static_cast<qsizetype>(c.name.size()))) found = &c;
    if (found == nullptr) throw ConfigError(place + "/class", "must be urgent, short or long");
    p.requestClass = found->requestClass;
    p.latencyTarget = milliseconds(row, "aimMs", found->latencyTarget, parameters, place);
    p.deadline = milliseconds(row, "deadlineMs", found->deadline, parameters, place);
    QJsonValue const resumable = fill(row.value("resumable"), parameters, place + "/resumable");
    if (!resumable.isUndefined() && !resumable.isBool())
      throw ConfigError(place + "/resumable", "must be true or false");
    p.resumable = resumable.toBool();
    QJsonValue const events = fill(row.value("events"), parameters, place + "/events");
    if (!events.isUndefined() && !events.isBool()) throw ConfigError(place + "/events", "must be true or false");
    p.stream = events.toBool();
    p.idempotent = p.stream && p.resumable;
    p.regime = regime;
    out.push_back(std::move(p));
  }
  return out;
}

void checkTemplate(QJsonObject const& spec) {
  onlyFields(spec, {"parameters", "paths", "regime", "note"}, "/template");
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
  QJsonArray const rows = spec.value("paths").toArray();
  if (rows.isEmpty()) throw ConfigError("/template/paths", "must not be empty");
  if (static_cast<std::size_t>(rows.size()) > maxPaths)
    throw ConfigError("/template/paths", "more than " + std::to_string(maxPaths));
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const at = "/template/paths/" + std::to_string(i);
    if (!rows.at(i).isObject()) throw ConfigError(at, "must be an object");
    QJsonObject const row = rows.at(i).toObject();
    onlyFields(row, {"path", "pool", "class", "aimMs", "deadlineMs", "resumable", "events"}, at);
    for (char const* needed : {"path", "pool", "class"})
      if (!row.value(QLatin1String(needed)).isString()) throw ConfigError(at + "/" + needed, "must be a text");
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

std::string percentDecodeLabel(std::string const& addressPart) {
  return QByteArray::fromPercentEncoding(QByteArray::fromStdString(addressPart)).toStdString();
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
    QJsonObject const one = instances.value(name).toObject().value("spec").toObject();
    onlyFields(one, {"parameters", "regime", "note"}, at);
    objectAt(one, "parameters", at, false);
    for (Path const& p : renderInstance(toStdString(name), spec, one, at)) {
      if (!known(p.pool)) throw ConfigError(at, "no pool named " + p.pool);
      std::string const fault = p.regime.empty() ? "" : regimeFault(p.regime, p.pool);
      if (!fault.empty()) throw ConfigError(regimePlace(one, at), fault);
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
    QJsonObject const one = instances.value(name).toObject().value("spec").toObject();
    std::vector<Path> const paths =
        renderInstance(templateName + "." + toStdString(name), spec, one, "/instances/" + toStdString(name));
    out.insert(out.end(), paths.begin(), paths.end());
  }
  return out;
}

QJsonObject removeChangeHistory(QJsonObject value) {
  value.remove("changes");
  value.remove("taken");
  return value;
}

EndpointList readStoredEndpointList(QJsonObject value) {
  return readEndpointList(removeChangeHistory(std::move(value)));
}

QJsonObject endpointListJson(EndpointList const& pool) {
  QJsonArray rows;
  for (Replica const& r : pool.replicas) {
    QJsonObject row{{"address", core::toQString(r.address)},
                    {"zone", core::toQString(r.zone)},
                    {"state", r.state == ReplicaState::serving     ? "serving"
                              : r.state == ReplicaState::warmingUp ? "cold"
                                                                   : "leaving"}};
    if (!r.id.empty()) row.insert("id", core::toQString(r.id));
    rows.append(row);
  }
  return QJsonObject{
      {"generation", static_cast<qint64>(pool.generation)}, {"coldRate", pool.slowStartRate}, {"replicas", rows}};
}

EndpointList readEndpointList(QJsonObject const& value) {
  onlyFields(value, {"generation", "coldRate", "replicas"}, "");
  EndpointList out;
  if (!isInteger(value.value("generation")) || value.value("generation").toInteger() < 1)
    throw ConfigError("/generation", "must be an integer of 1 or more");
  out.generation = static_cast<std::uint64_t>(value.value("generation").toInteger());
  if (value.contains("coldRate")) {
    out.slowStartRate = value.value("coldRate").toDouble(-1);
    if (!(out.slowStartRate >= 0 && out.slowStartRate <= 1000))
      throw ConfigError("/coldRate", "must be a number from 0 to 1000");
  }
  if (!value.value("replicas").isArray()) throw ConfigError("/replicas", "must be a list");
  QJsonArray const rows = value.value("replicas").toArray();
  if (rows.size() > 4096) throw ConfigError("/replicas", "more than 4096");
  std::set<std::string> seen;
  std::set<std::string> ids;
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const at = "/replicas/" + std::to_string(i);
    if (!rows.at(i).isObject()) throw ConfigError(at, "must be an object");
    QJsonObject const row = rows.at(i).toObject();
    onlyFields(row, {"id", "address", "zone", "state"}, at);
    Replica r;
    if (row.contains("id")) {
      r.id = toStdString(row.value("id").toString());
      if (r.id.empty() || r.id.size() > maxTextBytes)
        throw ConfigError(at + "/id", "must be a text of 1 to " + std::to_string(maxTextBytes) + " bytes");
      if (!ids.insert(r.id).second) throw ConfigError(at + "/id", "stands twice");
    }
    r.address = toStdString(row.value("address").toString());
    std::size_t const colon = r.address.rfind(':');
    bool digits =
        colon != std::string::npos && colon > 0 && colon + 1 < r.address.size() && r.address.size() - colon <= 6;
    for (std::size_t k = colon + 1; digits && k < r.address.size(); ++k)
      digits = r.address[k] >= '0' && r.address[k] <= '9';
    if (!digits || std::stoi(r.address.substr(colon + 1)) > 65535 || std::stoi(r.address.substr(colon + 1)) == 0)
      throw ConfigError(at + "/address", "must be ip:port");
    if (!seen.insert(r.address).second) throw ConfigError(at + "/address", "stands twice");
    r.zone = toStdString(row.value("zone").toString());
    if (!isValidLabel(r.zone)) throw ConfigError(at + "/zone", "not a valid name");
    struct StateRow {
      char const* name;
      ReplicaState state;
    };
    constexpr std::array<StateRow, 3> states{
        {{"serving", ReplicaState::serving}, {"cold", ReplicaState::warmingUp}, {"leaving", ReplicaState::draining}}};
    bool found = false;
    for (StateRow const& s : states)
      if (row.value("state").toString() == QLatin1String(s.name)) {
        r.state = s.state;
        found = true;
      }
    if (!found) throw ConfigError(at + "/state", "must be serving, cold or leaving");
    out.replicas.push_back(std::move(r));
  }
  return out;
}

}  // namespace corkward::config
