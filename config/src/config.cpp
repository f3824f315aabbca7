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

core::Tick milliseconds(QJsonObject const& pathSpec, char const* name, core::Tick otherwise,
                        QJsonObject const& parameters, std::string const& at) {
  QJsonValue const raw = pathSpec.value(QLatin1String(name));
  if (raw.isUndefined()) return otherwise;
  QJsonValue const v = fill(raw, parameters, at + "/" + name);
  if (!isInteger(v) || v.toInteger() < 10 || v.toInteger() > 600000)
    throw ConfigError(at + "/" + name, "must be an integer of milliseconds, 10 to 600000");
  return v.toInteger();
}

/// Where an instance's regime stands: an instance may put another in place of its template's, but never none.
std::string regimePointer(QJsonObject const& one, std::string const& at) {
  return one.contains("regime") ? at + "/regime" : "/template/regime";
}

std::string regimeOf(QJsonObject const& spec, QJsonObject const& one, QJsonObject const& parameters,
                     std::string const& at) {
  if (!one.contains("regime") && !spec.contains("regime")) return "";
  std::string const pointer = regimePointer(one, at);
  QJsonValue const v = one.contains("regime") ? one.value("regime") : fill(spec.value("regime"), parameters, pointer);
  if (!v.isString() || !isValidName(toStdString(v.toString()))) throw ConfigError(pointer, "not a valid name");
  return toStdString(v.toString());
}

/// Values of the template's parameters for one instance: those it gives, and the defaults of the others.
QJsonObject resolveParameters(QJsonObject const& spec, QJsonObject const& one, std::string const& at) {
  QJsonObject const given = one.value("parameters").toObject();
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

/// An optional flag of a path; false when it is missing.
bool renderFlag(QJsonObject const& pathSpec, char const* name, QJsonObject const& parameters, std::string const& at) {
  QJsonValue const value = fill(pathSpec.value(QLatin1String(name)), parameters, at + "/" + name);
  if (!value.isUndefined() && !value.isBool()) throw ConfigError(at + "/" + name, "must be true or false");
  return value.toBool();
}

std::string renderPathName(QJsonObject const& pathSpec, QJsonObject const& parameters, std::string const& at) {
  std::string const path = toStdString(fill(pathSpec.value("path"), parameters, at + "/path").toString());
  if (!validPath(path)) throw ConfigError(at + "/path", "not a valid path: " + path);
  return path;
}

/// Fills in all of a path but its instance, its name and its regime.
Path renderPath(QJsonObject const& pathSpec, QJsonObject const& parameters, std::string const& at) {
  Path path;
  path.pool = toStdString(fill(pathSpec.value("pool"), parameters, at + "/pool").toString());
  path.weightedPools = {WeightedPool{path.pool, 1}};
  QString const className = fill(pathSpec.value("class"), parameters, at + "/class").toString();
  RequestClassDefaults const& defaults = findRequestClass(className, at + "/class");
  path.requestClass = defaults.requestClass;
  path.latencyTarget = milliseconds(pathSpec, "aimMs", defaults.latencyTarget, parameters, at);
  path.deadline = milliseconds(pathSpec, "deadlineMs", defaults.deadline, parameters, at);
  path.resumable = renderFlag(pathSpec, "resumable", parameters, at);
  path.stream = renderFlag(pathSpec, "events", parameters, at);
  path.idempotent = path.stream && path.resumable;
  return path;
}

std::vector<Path> renderInstance(std::string const& instance, QJsonObject const& spec, QJsonObject const& one,
                                 std::string const& at) {
  QJsonObject const parameters = resolveParameters(spec, one, at);
  std::string const regime = regimeOf(spec, one, parameters, at);
  std::vector<Path> paths;
  std::set<std::string> names;
  QJsonArray const pathSpecs = spec.value("paths").toArray();
  for (qsizetype i = 0; i < pathSpecs.size(); ++i) {
    std::string const pathAt = "/template/paths/" + std::to_string(i);
    QJsonObject const pathSpec = pathSpecs.at(i).toObject();
    std::string const name = renderPathName(pathSpec, parameters, pathAt);
    if (!names.insert(name).second)
      throw ConfigError(pathAt + "/path", "ambiguous: " + name + " stands twice in " + instance);
    Path path = renderPath(pathSpec, parameters, pathAt);
    path.instance = instance;
    path.path = name;
    path.regime = regime;
    paths.push_back(std::move(path));
  }
  return paths;
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
  QJsonArray const pathSpecs = spec.value("paths").toArray();
  if (pathSpecs.isEmpty()) throw ConfigError("/template/paths", "must not be empty");
  if (static_cast<std::size_t>(pathSpecs.size()) > maxPaths)
    throw ConfigError("/template/paths", "more than " + std::to_string(maxPaths));
  for (qsizetype i = 0; i < pathSpecs.size(); ++i) {
    std::string const at = "/template/paths/" + std::to_string(i);
    if (!pathSpecs.at(i).isObject()) throw ConfigError(at, "must be an object");
    QJsonObject const pathSpec = pathSpecs.at(i).toObject();
    onlyFields(pathSpec, {"path", "pool", "class", "aimMs", "deadlineMs", "resumable", "events"}, at);
    for (char const* needed : {"path", "pool", "class"})
      if (!pathSpec.value(QLatin1String(needed)).isString()) throw ConfigError(at + "/" + needed, "must be a text");
  }
}

/// Replicas that one endpoint list may name.
constexpr qsizetype maxReplicas = 4096;
constexpr int maxSlowStartRate = 1000;
constexpr int maxPort = 65535;
/// A colon and the digits of the highest port.
constexpr std::size_t maxPortSuffixBytes = 6;

/// What must not stand twice in one endpoint list.
struct UsedReplicaNames {
  std::set<std::string> ids;
  std::set<std::string> addresses;
};

struct ReplicaStateName {
  char const* name;
  ReplicaState state;
};

/// The names of the states in the JSON of an endpoint list.
constexpr std::array<ReplicaStateName, 3> replicaStateNames{
    {{"serving", ReplicaState::serving}, {"cold", ReplicaState::warmingUp}, {"leaving", ReplicaState::draining}}};

char const* nameOf(ReplicaState state) {
  auto const known = std::find_if(replicaStateNames.begin(), replicaStateNames.end(),
                                  [&](ReplicaStateName const& entry) { return entry.state == state; });
  CORKWARD_INVARIANT(known != replicaStateNames.end());
  return known->name;
}

std::uint64_t readGeneration(QJsonValue const& value) {
  if (!isInteger(value) || value.toInteger() < 1) throw ConfigError("/generation", "must be an integer of 1 or more");
  return static_cast<std::uint64_t>(value.toInteger());
}

double readSlowStartRate(QJsonValue const& value) {
  double const rate = value.toDouble(-1);
  if (!(rate >= 0 && rate <= maxSlowStartRate))
    throw ConfigError("/coldRate", "must be a number from 0 to " + std::to_string(maxSlowStartRate));
  return rate;
}

std::string readReplicaId(QJsonValue const& value, std::string const& at) {
  std::string id = toStdString(value.toString());
  if (id.empty() || id.size() > maxTextBytes)
    throw ConfigError(at, "must be a text of 1 to " + std::to_string(maxTextBytes) + " bytes");
  return id;
}

/// Whether a text is an address and a port with a colon between them; the address itself is not looked at.
bool isAddressWithPort(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string const digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() >= maxPortSuffixBytes) return false;
  if (!std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; })) return false;
  int const port = std::stoi(digits);
  return port > 0 && port <= maxPort;
}

ReplicaState readReplicaState(QString const& name, std::string const& at) {
  for (ReplicaStateName const& known : replicaStateNames)
    if (name == QLatin1String(known.name)) return known.state;
  throw ConfigError(at, "must be serving, cold or leaving");
}

Replica readReplica(QJsonObject const& value, UsedReplicaNames& used, std::string const& at) {
  onlyFields(value, {"id", "address", "zone", "state"}, at);
  Replica replica;
  if (value.contains("id")) {
    replica.id = readReplicaId(value.value("id"), at + "/id");
    if (!used.ids.insert(replica.id).second) throw ConfigError(at + "/id", "stands twice");
  }
  replica.address = toStdString(value.value("address").toString());
  if (!isAddressWithPort(replica.address)) throw ConfigError(at + "/address", "must be ip:port");
  if (!used.addresses.insert(replica.address).second) throw ConfigError(at + "/address", "stands twice");
  replica.zone = toStdString(value.value("zone").toString());
  if (!isValidLabel(replica.zone)) throw ConfigError(at + "/zone", "not a valid name");
  replica.state = readReplicaState(value.value("state").toString(), at + "/state");
  return replica;
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
      if (!fault.empty()) throw ConfigError(regimePointer(one, at), fault);
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

QJsonObject endpointListJson(EndpointList const& list) {
  QJsonArray replicas;
  for (Replica const& replica : list.replicas) {
    QJsonObject value{{"address", core::toQString(replica.address)},
                      {"zone", core::toQString(replica.zone)},
                      {"state", nameOf(replica.state)}};
    if (!replica.id.empty()) value.insert("id", core::toQString(replica.id));
    replicas.append(value);
  }
  return QJsonObject{
      {"generation", static_cast<qint64>(list.generation)}, {"coldRate", list.slowStartRate}, {"replicas", replicas}};
}

EndpointList readEndpointList(QJsonObject const& value) {
  onlyFields(value, {"generation", "coldRate", "replicas"}, "");
  EndpointList list;
  list.generation = readGeneration(value.value("generation"));
  if (value.contains("coldRate")) list.slowStartRate = readSlowStartRate(value.value("coldRate"));
  if (!value.value("replicas").isArray()) throw ConfigError("/replicas", "must be a list");
  QJsonArray const replicas = value.value("replicas").toArray();
  if (replicas.size() > maxReplicas) throw ConfigError("/replicas", "more than " + std::to_string(maxReplicas));
  UsedReplicaNames used;
  for (qsizetype i = 0; i < replicas.size(); ++i) {
    std::string const at = "/replicas/" + std::to_string(i);
    if (!replicas.at(i).isObject()) throw ConfigError(at, "must be an object");
    list.replicas.push_back(readReplica(replicas.at(i).toObject(), used, at));
  }
  return list;
}

}  // namespace corkward::config
