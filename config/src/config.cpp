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

using core::str;

QJsonObject objectAt(QJsonObject const& o, char const* name, std::string const& at, bool needed) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined() && !needed) return {};
  if (!v.isObject()) throw Error(at + "/" + name, needed && v.isUndefined() ? "missing" : "must be an object");
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
    throw Error(at + "/type", "must be string, integer or boolean");
  for (char const* bound : {"min", "max"}) {
    if (!p.contains(QLatin1String(bound))) continue;
    if (type != QLatin1String("integer") || !isInteger(p.value(QLatin1String(bound))))
      throw Error(at + "/" + bound, "must be an integer, for an integer parameter");
  }
  if (p.contains("choices")) {
    if (!p.value("choices").isArray()) throw Error(at + "/choices", "must be a list");
    for (QJsonValue const c : p.value("choices").toArray())
      if (!typeFits(type, c)) throw Error(at + "/choices", "must hold values of the parameter's type");
  }
}

void checkValue(QJsonObject const& p, QJsonValue const& v, std::string const& at) {
  if (!typeFits(p.value("type").toString(), v)) throw Error(at, "must be of type " + str(p.value("type").toString()));
  if (p.contains("min") && v.toInteger() < p.value("min").toInteger()) throw Error(at, "below the minimum");
  if (p.contains("max") && v.toInteger() > p.value("max").toInteger()) throw Error(at, "over the maximum");
  if (p.contains("choices") && !p.value("choices").toArray().contains(v)) throw Error(at, "not one of the choices");
}

QJsonValue fill(QJsonValue const& v, QJsonObject const& parameters, std::string const& at) {
  if (!v.isString()) return v;
  QString const text = v.toString();
  if (text.startsWith("${") && text.endsWith("}") && text.count("${") == 1) {
    QString const name = text.mid(2, text.size() - 3);
    if (!parameters.contains(name)) throw Error(at, "unknown parameter " + str(name));
    return parameters.value(name);
  }
  QString out;
  qsizetype from = 0;
  for (;;) {
    qsizetype const open = text.indexOf("${", from);
    if (open < 0) break;
    qsizetype const close = text.indexOf('}', open);
    if (close < 0) throw Error(at, "${ without }");
    QString const name = text.mid(open + 2, close - open - 2);
    if (!parameters.contains(name)) throw Error(at, "unknown parameter " + str(name));
    QJsonValue const value = parameters.value(name);
    out += text.mid(from, open - from) + (value.isString() ? value.toString() : core::qstr(core::jsonText(value)));
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
    throw Error(at + "/" + name, "must be an integer of milliseconds, 10 to 600000");
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
  if (!v.isString() || !validName(str(v.toString()))) throw Error(place, "not a valid name");
  return str(v.toString());
}

std::vector<Path> renderInstance(std::string const& instance, QJsonObject const& spec, QJsonObject const& one,
                                 std::string const& at) {
  QJsonObject const given = one.value("parameters").toObject();
  QJsonObject const declared = spec.value("parameters").toObject();
  QJsonObject parameters;
  for (QString const& name : declared.keys()) {
    QJsonObject const p = declared.value(name).toObject();
    QJsonValue const v = given.contains(name) ? given.value(name) : p.value("default");
    if (v.isUndefined()) throw Error(at + "/parameters/" + str(name), "missing parameter");
    checkValue(p, v, at + "/parameters/" + str(name));
    parameters.insert(name, v);
  }
  for (QString const& name : given.keys())
    if (!declared.contains(name)) throw Error(at + "/parameters/" + str(name), "the template has no such parameter");
  std::string const regime = regimeOf(spec, one, parameters, at);
  std::vector<Path> out;
  std::set<std::string> seen;
  QJsonArray const rows = spec.value("paths").toArray();
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const place = "/template/paths/" + std::to_string(i);
    QJsonObject const row = rows.at(i).toObject();
    Path p;
    p.instance = instance;
    p.path = str(fill(row.value("path"), parameters, place + "/path").toString());
    if (!validPath(p.path)) throw Error(place + "/path", "not a valid path: " + p.path);
    if (!seen.insert(p.path).second)
      throw Error(place + "/path", "ambiguous: " + p.path + " stands twice in " + instance);
    p.pool = str(fill(row.value("pool"), parameters, place + "/pool").toString());
    p.shares = {Share{p.pool, 1}};
    QJsonValue const cls = fill(row.value("class"), parameters, place + "/class");
    ClassRow const* found = nullptr;
    for (ClassRow const& c : classTable)
      if (cls.toString() == QLatin1String(c.name.data(), static_cast<qsizetype>(c.name.size()))) found = &c;
    if (found == nullptr) throw Error(place + "/class", "must be urgent, short or long");
    p.cls = found->cls;
    p.aim = milliseconds(row, "aimMs", found->aim, parameters, place);
    p.deadline = milliseconds(row, "deadlineMs", found->deadline, parameters, place);
    QJsonValue const resumable = fill(row.value("resumable"), parameters, place + "/resumable");
    if (!resumable.isUndefined() && !resumable.isBool()) throw Error(place + "/resumable", "must be true or false");
    p.resumable = resumable.toBool();
    QJsonValue const events = fill(row.value("events"), parameters, place + "/events");
    if (!events.isUndefined() && !events.isBool()) throw Error(place + "/events", "must be true or false");
    p.stream = events.toBool();
    p.repeatable = p.stream && p.resumable;
    p.regime = regime;
    out.push_back(std::move(p));
  }
  return out;
}

void checkTemplate(QJsonObject const& spec) {
  onlyFields(spec, {"parameters", "paths", "regime", "note"}, "/template");
  if (spec.contains("regime") && !spec.value("regime").isString()) throw Error("/template/regime", "must be a text");
  if (spec.contains("note") && !spec.value("note").isString()) throw Error("/template/note", "must be a text");
  QJsonObject const declared = objectAt(spec, "parameters", "/template", false);
  if (declared.size() > 64) throw Error("/template/parameters", "more than 64");
  for (QString const& name : declared.keys()) {
    std::string const at = "/template/parameters/" + str(name);
    if (!validName(str(name))) throw Error(at, "not a valid name");
    if (!declared.value(name).isObject()) throw Error(at, "must be an object");
    QJsonObject const p = declared.value(name).toObject();
    checkParameter(p, at);
    if (p.contains("default")) checkValue(p, p.value("default"), at + "/default");
  }
  if (!spec.value("paths").isArray()) throw Error("/template/paths", "must be a list");
  QJsonArray const rows = spec.value("paths").toArray();
  if (rows.isEmpty()) throw Error("/template/paths", "must not be empty");
  if (static_cast<std::size_t>(rows.size()) > maxPaths)
    throw Error("/template/paths", "more than " + std::to_string(maxPaths));
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const at = "/template/paths/" + std::to_string(i);
    if (!rows.at(i).isObject()) throw Error(at, "must be an object");
    QJsonObject const row = rows.at(i).toObject();
    onlyFields(row, {"path", "pool", "class", "aimMs", "deadlineMs", "resumable", "events"}, at);
    for (char const* needed : {"path", "pool", "class"})
      if (!row.value(QLatin1String(needed)).isString()) throw Error(at + "/" + needed, "must be a text");
  }
}

}  // namespace

bool validName(std::string const& name) {
  if (name.empty() || name.size() > 63 || name.front() == '-') return false;
  return std::all_of(name.begin(), name.end(),
                     [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
}

bool validLabel(std::string const& label) {
  if (label.empty() || label.size() > maxText || label == "." || label == "..") return false;
  QString const text = core::qstr(label);
  return str(text) == label &&
         std::none_of(text.begin(), text.end(), [](QChar c) { return c.category() == QChar::Other_Control; });
}

std::string addressPart(std::string const& label) {
  return QUrl::toPercentEncoding(core::qstr(label)).toStdString();
}

std::string labelOf(std::string const& addressPart) {
  return QByteArray::fromPercentEncoding(QByteArray::fromStdString(addressPart)).toStdString();
}

void checkFamily(QJsonObject const& family, PoolKnown const& known, RegimeFaultOf const& regimeFault) {
  QJsonObject const instances = family.value("instances").toObject();
  if (!family.contains("template")) {
    if (!instances.isEmpty()) throw Error("/template", "has instances");
    return;
  }
  QJsonObject const spec = family.value("template").toObject().value("spec").toObject();
  checkTemplate(spec);
  if (static_cast<std::size_t>(instances.size()) > maxInstances) throw Error("/instances", "too many");
  std::size_t rendered = 0;
  for (QString const& name : instances.keys()) {
    std::string const at = "/instances/" + str(name);
    QJsonObject const one = instances.value(name).toObject().value("spec").toObject();
    onlyFields(one, {"parameters", "regime", "note"}, at);
    objectAt(one, "parameters", at, false);
    for (Path const& p : renderInstance(str(name), spec, one, at)) {
      if (!known(p.pool)) throw Error(at, "no pool named " + p.pool);
      std::string const fault = p.regime.empty() ? "" : regimeFault(p.regime, p.pool);
      if (!fault.empty()) throw Error(regimePlace(one, at), fault);
      if (++rendered > maxRendered)
        throw Error("/instances", "more than " + std::to_string(maxRendered) + " paths in all");
    }
  }
}

std::vector<Path> render(std::string const& templateName, QJsonObject const& family) {
  std::vector<Path> out;
  QJsonObject const spec = family.value("template").toObject().value("spec").toObject();
  QJsonObject const instances = family.value("instances").toObject();
  for (QString const& name : instances.keys()) {
    QJsonObject const one = instances.value(name).toObject().value("spec").toObject();
    std::vector<Path> const paths =
        renderInstance(templateName + "." + str(name), spec, one, "/instances/" + str(name));
    out.insert(out.end(), paths.begin(), paths.end());
  }
  return out;
}

QJsonObject withoutHistory(QJsonObject value) {
  value.remove("changes");
  value.remove("taken");
  return value;
}

Pool keptPool(QJsonObject value) {
  return readPool(withoutHistory(std::move(value)));
}

QJsonObject poolJson(Pool const& pool) {
  QJsonArray rows;
  for (Replica const& r : pool.replicas) {
    QJsonObject row{{"address", core::qstr(r.address)},
                    {"zone", core::qstr(r.zone)},
                    {"state", r.state == ReplicaState::serving ? "serving"
                              : r.state == ReplicaState::cold  ? "cold"
                                                               : "leaving"}};
    if (!r.id.empty()) row.insert("id", core::qstr(r.id));
    rows.append(row);
  }
  return QJsonObject{
      {"generation", static_cast<qint64>(pool.generation)}, {"coldRate", pool.coldRate}, {"replicas", rows}};
}

Pool readPool(QJsonObject const& value) {
  onlyFields(value, {"generation", "coldRate", "replicas"}, "");
  Pool out;
  if (!isInteger(value.value("generation")) || value.value("generation").toInteger() < 1)
    throw Error("/generation", "must be an integer of 1 or more");
  out.generation = static_cast<std::uint64_t>(value.value("generation").toInteger());
  if (value.contains("coldRate")) {
    out.coldRate = value.value("coldRate").toDouble(-1);
    if (!(out.coldRate >= 0 && out.coldRate <= 1000)) throw Error("/coldRate", "must be a number from 0 to 1000");
  }
  if (!value.value("replicas").isArray()) throw Error("/replicas", "must be a list");
  QJsonArray const rows = value.value("replicas").toArray();
  if (rows.size() > 4096) throw Error("/replicas", "more than 4096");
  std::set<std::string> seen;
  std::set<std::string> ids;
  for (qsizetype i = 0; i < rows.size(); ++i) {
    std::string const at = "/replicas/" + std::to_string(i);
    if (!rows.at(i).isObject()) throw Error(at, "must be an object");
    QJsonObject const row = rows.at(i).toObject();
    onlyFields(row, {"id", "address", "zone", "state"}, at);
    Replica r;
    if (row.contains("id")) {
      r.id = str(row.value("id").toString());
      if (r.id.empty() || r.id.size() > maxText)
        throw Error(at + "/id", "must be a text of 1 to " + std::to_string(maxText) + " bytes");
      if (!ids.insert(r.id).second) throw Error(at + "/id", "stands twice");
    }
    r.address = str(row.value("address").toString());
    std::size_t const colon = r.address.rfind(':');
    bool digits =
        colon != std::string::npos && colon > 0 && colon + 1 < r.address.size() && r.address.size() - colon <= 6;
    for (std::size_t k = colon + 1; digits && k < r.address.size(); ++k)
      digits = r.address[k] >= '0' && r.address[k] <= '9';
    if (!digits || std::stoi(r.address.substr(colon + 1)) > 65535 || std::stoi(r.address.substr(colon + 1)) == 0)
      throw Error(at + "/address", "must be ip:port");
    if (!seen.insert(r.address).second) throw Error(at + "/address", "stands twice");
    r.zone = str(row.value("zone").toString());
    if (!validLabel(r.zone)) throw Error(at + "/zone", "not a valid name");
    struct StateRow {
      char const* name;
      ReplicaState state;
    };
    constexpr std::array<StateRow, 3> states{
        {{"serving", ReplicaState::serving}, {"cold", ReplicaState::cold}, {"leaving", ReplicaState::leaving}}};
    bool found = false;
    for (StateRow const& s : states)
      if (row.value("state").toString() == QLatin1String(s.name)) {
        r.state = s.state;
        found = true;
      }
    if (!found) throw Error(at + "/state", "must be serving, cold or leaving");
    out.replicas.push_back(std::move(r));
  }
  return out;
}

}  // namespace corkward::config
