#include <QJsonArray>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "checks.h"

namespace corkward::config {

namespace {

using core::toStdString;

constexpr core::Milliseconds unbounded = std::numeric_limits<core::Milliseconds>::max();
/// Maximum number of milliseconds, bytes, tokens or requests that a configuration may state.
constexpr qint64 maxNumber = qint64{1} << 40;
constexpr qint64 maxCount = qint64{1} << 30;
constexpr qint64 maxVersion = qint64{1} << 53;
constexpr std::size_t maxAddressBytes = 1024;

/// Condition for a class. A path belongs to the first class in `classRules` whose condition it meets: its latency
/// target is at most `maxLatencyTarget` and its deadline is at least `minDeadline`.
struct RequestClassRule {
  RequestClass requestClass;
  core::Milliseconds maxLatencyTarget;
  core::Milliseconds minDeadline;
};

constexpr RequestClassRule classRules[] = {
    {RequestClass::urgent, 400, 0}, {RequestClass::bulk, unbounded, 10000}, {RequestClass::quick, unbounded, 0}};

/// Kind of a path as the configuration names it, and its effect on requests and responses.
struct KindRule {
  char const* name;
  bool idempotent;
  bool stream;
};

constexpr KindRule kindRules[] = {{"once", false, false}, {"repeatable", true, false}, {"stream", false, true}};

QJsonArray requireList(QJsonObject const& o, char const* name, std::string const& at, std::size_t maximum) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isArray()) throw ConfigError(at + "/" + name, v.isUndefined() ? "missing" : "must be a list");
  QJsonArray list = v.toArray();
  if (static_cast<std::size_t>(list.size()) > maximum)
    throw ConfigError(at + "/" + name, "more than " + std::to_string(maximum));
  return list;
}

QJsonObject objectItem(QJsonArray const& list, qsizetype i, std::string const& at) {
  QJsonValue const v = list.at(i);
  if (!v.isObject()) throw ConfigError(at, "must be an object");
  return v.toObject();
}

void checkOptionalObject(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isUndefined() && !v.isObject()) throw ConfigError(at + "/" + name, "must be an object");
}

std::string requireText(QJsonObject const& o, char const* name, std::size_t maxBytes, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  std::string out = toStdString(v.toString());
  if (out.empty() || out.size() > maxBytes)
    throw ConfigError(at + "/" + name, "must be a text of 1 to " + std::to_string(maxBytes) + " bytes");
  return out;
}

qint64 readInteger(QJsonObject const& o, char const* name, qint64 minimum, qint64 maximum, qint64 defaultValue,
                   std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined()) return defaultValue;
  if (!isInteger(v) || v.toInteger() < minimum || v.toInteger() > maximum)
    throw ConfigError(at + "/" + name,
                      "must be an integer, " + std::to_string(minimum) + " to " + std::to_string(maximum));
  return v.toInteger();
}

qint64 requiredInteger(QJsonObject const& o, char const* name, qint64 minimum, qint64 maximum, std::string const& at) {
  if (!o.contains(QLatin1String(name))) throw ConfigError(at + "/" + name, "missing");
  return readInteger(o, name, minimum, maximum, 0, at);
}

bool readFlag(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isUndefined() && !v.isBool()) throw ConfigError(at + "/" + name, "must be true or false");
  return v.toBool();
}

using PoolNames = std::unordered_set<std::string>;

std::string requirePool(QJsonObject const& o, PoolNames const& pools, std::string const& at) {
  std::string name = requireText(o, "pool", maxTextBytes, at);
  if (pools.count(name) == 0) throw ConfigError(at + "/pool", "no pool named " + name);
  return name;
}

std::vector<WeightedPool> readShares(QJsonObject const& object, PoolNames const& pools, std::string const& at) {
  if (object.contains("pool")) {
    if (object.contains("shares")) throw ConfigError(at + "/shares", "stands beside pool");
    return {WeightedPool{requirePool(object, pools, at), 1}};
  }
  QJsonValue const v = object.value("shares");
  if (!v.isArray())
    throw ConfigError(at + (v.isUndefined() ? "/pool" : "/shares"),
                      v.isUndefined() ? "missing, and no shares" : "must be a list");
  std::vector<WeightedPool> out;
  QJsonArray const list = v.toArray();
  for (qsizetype i = 0; i < list.size(); ++i) {
    std::string const pointer = at + "/shares/" + std::to_string(i);
    QJsonObject const item = objectItem(list, i, pointer);
    rejectUnknownFields(item, {"pool", "share"}, pointer);
    WeightedPool const share{requirePool(item, pools, pointer),
                             static_cast<std::uint32_t>(requiredInteger(item, "share", 0, maxCount, pointer))};
    if (share.weight > 0) out.push_back(share);
  }
  if (out.empty()) throw ConfigError(at + "/shares", "the weights sum to 0");
  return out;
}

PoolSettings readPool(QJsonObject const& object, std::string const& at) {
  rejectUnknownFields(object, {"name", "standing", "connections", "coldRate", "coldMs", "slots", "tokens", "extra"},
                      at);
  PoolSettings out;
  out.name = requireText(object, "name", maxTextBytes, at);
  if (object.contains("standing") && requireText(object, "standing", maxAddressBytes, at).front() != '/')
    throw ConfigError(at + "/standing", "must begin with /");
  out.maxConnections = static_cast<int>(readInteger(object, "connections", 0, maxCount, 0, at));
  QJsonValue const rate = object.value("coldRate");
  out.slowStartRate = rate.toDouble(rate.isUndefined() ? 0 : -1);
  if (!(out.slowStartRate >= 0 && out.slowStartRate <= static_cast<double>(maxCount)))
    throw ConfigError(at + "/coldRate", "must be a number, 0 to " + std::to_string(maxCount));
  out.slowStartDuration = readInteger(object, "coldMs", 0, maxNumber, 0, at);
  out.concurrentRequests = static_cast<int>(readInteger(object, "slots", 0, maxCount, 0, at));
  out.prefixCacheTokens = readInteger(object, "tokens", 0, maxNumber, 0, at);
  checkOptionalObject(object, "extra", at);
  return out;
}

Path readPath(QJsonObject const& object, PoolNames const& pools, std::string const& at) {
  rejectUnknownFields(object,
                      {"name", "host", "prefix", "kind", "deadlineMs", "aimMs", "gapAimMs", "urgency", "tries",
                       "resumable", "affine", "pool", "shares", "open", "extra"},
                      at);
  Path out;
  out.instance = requireText(object, "name", maxTextBytes, at);
  out.host = core::HostName(requireText(object, "host", maxAddressBytes, at));
  out.prefix = requireText(object, "prefix", maxAddressBytes, at);
  if (out.prefix.front() != '/' || out.prefix.back() != '/')
    throw ConfigError(at + "/prefix", "must begin and end with /");
  QString const kind = object.value("kind").toString();
  KindRule const* const found = std::find_if(std::begin(kindRules), std::end(kindRules),
                                             [&](KindRule const& k) { return kind == QLatin1String(k.name); });
  if (found == std::end(kindRules)) throw ConfigError(at + "/kind", "must be once, repeatable or stream");
  out.deadline = requiredInteger(object, "deadlineMs", 1, maxNumber, at);
  out.latencyTarget = readInteger(object, "aimMs", 0, maxNumber, 0, at);
  core::Milliseconds const target = out.latencyTarget > 0 ? out.latencyTarget : unbounded;
  out.requestClass = std::find_if(std::begin(classRules), std::end(classRules), [&](RequestClassRule const& r) {
                       return target <= r.maxLatencyTarget && out.deadline >= r.minDeadline;
                     })->requestClass;
  if (out.latencyTarget == 0)
    out.latencyTarget = std::find_if(std::begin(requestClassDefaults), std::end(requestClassDefaults),
                                     [&](RequestClassDefaults const& c) { return c.requestClass == out.requestClass; })
                            ->latencyTarget;
  out.eventGapTarget = readInteger(object, "gapAimMs", 0, maxNumber, 0, at);
  out.urgency = static_cast<int>(readInteger(object, "urgency", 0, 9, 5, at));
  out.maxAttempts = static_cast<int>(readInteger(object, "tries", 1, maxCount, 1, at));
  out.stream = found->stream;
  out.resumable = readFlag(object, "resumable", at) && out.stream;
  out.idempotent = found->idempotent || out.resumable;
  readFlag(object, "affine", at);
  out.isPublic = readFlag(object, "open", at);
  out.weightedPools = readShares(object, pools, at);
  out.pool = out.weightedPools.front().pool;
  checkOptionalObject(object, "extra", at);
  return out;
}

double readAmount(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined() || v.isNull()) return 0;
  double const out = v.toDouble(-1);
  if (!(out >= 0 && out <= static_cast<double>(maxNumber)))
    throw ConfigError(at + "/" + name, "must be a number, 0 to " + std::to_string(maxNumber));
  return out;
}

std::vector<std::string> readKeys(QJsonObject const& object, std::string const& at) {
  std::vector<std::string> out;
  QJsonArray const list = object.contains("keys") ? requireList(object, "keys", at, maxTenantKeys) : QJsonArray();
  for (qsizetype i = 0; i < list.size(); ++i) {
    std::string key = toStdString(list.at(i).toString());
    if (key.empty() || key.size() > maxAddressBytes)
      throw ConfigError(at + "/keys/" + std::to_string(i),
                        "must be a text of 1 to " + std::to_string(maxAddressBytes) + " bytes");
    out.push_back(std::move(key));
  }
  return out;
}

Tenant readTenant(QJsonObject const& object, std::string const& at) {
  rejectUnknownFields(object, {"name", "keys", "urgency", "rate", "burst", "unit", "plainTokens", "extra"}, at);
  Tenant out;
  out.name = requireText(object, "name", maxTextBytes, at);
  out.keys = readKeys(object, at);
  if (!object.value("urgency").isUndefined() && !object.value("urgency").isNull())
    out.urgency = static_cast<int>(readInteger(object, "urgency", 0, 9, 5, at));
  out.ratePerSecond = readAmount(object, "rate", at);
  out.burst = readAmount(object, "burst", at);
  QJsonValue const unit = object.value("unit");
  if (!unit.isUndefined() && unit.toString() != "tokens" && unit.toString() != "requests")
    throw ConfigError(at + "/unit", "must be tokens or requests");
  out.inTokens = unit.toString() == "tokens";
  out.defaultTokens = readInteger(object, "plainTokens", 0, maxNumber, 0, at);
  checkOptionalObject(object, "extra", at);
  return out;
}

/// Reads the tenants. Throws ConfigError if a key occurs twice, whether in one tenant or in two.
std::vector<Tenant> readTenants(QJsonObject const& spec) {
  std::vector<Tenant> out;
  if (!spec.contains("tenants")) return out;
  std::unordered_set<std::string> names;
  std::unordered_set<std::string> keys;
  QJsonArray const tenants = requireList(spec, "tenants", "", maxTenants);
  for (qsizetype i = 0; i < tenants.size(); ++i) {
    std::string const at = "/tenants/" + std::to_string(i);
    out.push_back(readTenant(objectItem(tenants, i, at), at));
    if (!names.insert(out.back().name).second) throw ConfigError(at + "/name", "stands twice");
    for (std::string const& key : out.back().keys)
      if (!keys.insert(key).second) throw ConfigError(at + "/keys", "a key stands twice");
  }
  return out;
}

HttpLimits readHttp(QJsonValue const& v) {
  if (v.isUndefined()) return {};
  if (!v.isObject()) throw ConfigError("/door", "must be an object");
  QJsonObject const object = v.toObject();
  rejectUnknownFields(object, {"headBytes", "bodyBytes", "headMs", "idleMs"}, "/door");
  HttpLimits out;
  out.headerByteLimit = static_cast<std::uint32_t>(readInteger(object, "headBytes", 0, maxCount, 0, "/door"));
  out.bodyByteLimit = static_cast<std::uint64_t>(readInteger(object, "bodyBytes", 0, maxNumber, 0, "/door"));
  out.headerTimeout = readInteger(object, "headMs", 0, maxNumber, 0, "/door");
  out.idleTimeout = readInteger(object, "idleMs", 0, maxNumber, 0, "/door");
  return out;
}

/// Returns the items of one list after a patch. An item of `set` replaces the item of the same name or is appended; an
/// item that `drop` names is removed.
QJsonArray patchList(QJsonArray const& current, QJsonObject const& set, QJsonObject const& drop, char const* list) {
  std::unordered_map<std::string, QJsonValue> replacements;
  std::vector<std::string> order;
  QJsonArray const items = set.contains(QLatin1String(list)) ? requireList(set, list, "/set", maxPaths) : QJsonArray();
  for (qsizetype i = 0; i < items.size(); ++i) {
    std::string const at = std::string("/set/") + list + "/" + std::to_string(i);
    std::string const name = requireText(objectItem(items, i, at), "name", maxTextBytes, at);
    if (!replacements.emplace(name, items.at(i)).second) throw ConfigError(at + "/name", "stands twice");
    order.push_back(name);
  }
  std::unordered_set<std::string> dropped;
  QJsonArray const names =
      drop.contains(QLatin1String(list)) ? requireList(drop, list, "/drop", maxPaths) : QJsonArray();
  for (qsizetype i = 0; i < names.size(); ++i) {
    std::string const at = std::string("/drop/") + list + "/" + std::to_string(i);
    if (!names.at(i).isString()) throw ConfigError(at, "must be a name");
    std::string const name = toStdString(names.at(i).toString());
    if (replacements.count(name) > 0) throw ConfigError(at, "is set in the same change");
    dropped.insert(name);
  }
  QJsonArray out;
  for (QJsonValue const item : current) {
    std::string const name = toStdString(item.toObject().value("name").toString());
    if (dropped.count(name) > 0) continue;
    auto const it = replacements.find(name);
    out.append(it == replacements.end() ? item : it->second);
    if (it != replacements.end()) replacements.erase(it);
  }
  for (std::string const& name : order) {
    auto const it = replacements.find(name);
    if (it != replacements.end()) out.append(it->second);
  }
  return out;
}

/// Host and prefix by which requests select a path.
using PathSelector = std::pair<core::HostName, std::string>;

PathSelector selectorOf(Path const& path) {
  return {path.host, path.prefix};
}

/// Throws ConfigError if no request can select one of the paths: its host has no name, or an earlier path has the same
/// host and prefix.
void checkSelectors(std::vector<Path> const& paths) {
  std::set<PathSelector> selectors;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    std::string const at = "/paths/" + std::to_string(i);
    if (paths[i].host.empty()) throw ConfigError(at + "/host", "names no host");
    if (!selectors.insert(selectorOf(paths[i])).second)
      throw ConfigError(at + "/prefix", "another path has the same host and prefix");
  }
}

/// Removes the paths that checkSelectors rejects and returns their names; readCommittedFleetConfiguration says which.
/// @param values the paths as the configuration has them
std::vector<std::string> removeUnselectable(std::vector<Path>& paths, QJsonArray const& values) {
  auto const isNormalForm = [&](std::size_t i) {
    return core::HostName::isNormalForm(toStdString(values.at(static_cast<qsizetype>(i))["host"].toString()));
  };
  std::map<PathSelector, std::size_t> selected;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    if (paths[i].host.empty()) continue;
    auto const [entry, isNew] = selected.emplace(selectorOf(paths[i]), i);
    if (!isNew && isNormalForm(i)) entry->second = i;
  }
  std::vector<Path> remaining;
  std::vector<std::string> removed;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    auto const entry = selected.find(selectorOf(paths[i]));
    if (entry != selected.end() && entry->second == i)
      remaining.push_back(std::move(paths[i]));
    else
      removed.push_back(paths[i].instance);
  }
  paths = std::move(remaining);
  return removed;
}

std::vector<Path> readPaths(QJsonArray const& values, PoolNames const& pools) {
  std::vector<Path> out;
  std::unordered_set<std::string> names;
  out.reserve(static_cast<std::size_t>(values.size()));
  for (qsizetype i = 0; i < values.size(); ++i) {
    std::string const at = "/paths/" + std::to_string(i);
    out.push_back(readPath(objectItem(values, i, at), pools, at));
    if (!names.insert(out.back().instance).second) throw ConfigError(at + "/name", "stands twice");
  }
  return out;
}

/// Reads a fleet configuration without checking that its paths can be selected.
FleetConfiguration readUnchecked(QJsonObject const& spec) {
  rejectUnknownFields(spec, {"version", "paths", "pools", "tenants", "door", "extra"}, "");
  FleetConfiguration out;
  out.version = static_cast<std::uint64_t>(requiredInteger(spec, "version", 1, maxVersion, ""));
  PoolNames pools;
  QJsonArray const poolValues = requireList(spec, "pools", "", maxPools);
  for (qsizetype i = 0; i < poolValues.size(); ++i) {
    std::string const at = "/pools/" + std::to_string(i);
    out.pools.push_back(readPool(objectItem(poolValues, i, at), at));
    if (!pools.insert(out.pools.back().name).second) throw ConfigError(at + "/name", "stands twice");
  }
  out.paths = readPaths(requireList(spec, "paths", "", maxPaths), pools);
  out.tenants = readTenants(spec);
  out.http = readHttp(spec.value("door"));
  checkOptionalObject(spec, "extra", "");
  return out;
}

}  // namespace

FleetConfiguration readFleetConfiguration(QJsonObject const& spec) {
  FleetConfiguration out = readUnchecked(spec);
  checkSelectors(out.paths);
  return out;
}

FleetConfiguration readCommittedFleetConfiguration(QJsonObject const& spec) {
  FleetConfiguration out = readUnchecked(spec);
  out.ignoredPaths = removeUnselectable(out.paths, spec.value("paths").toArray());
  return out;
}

QJsonObject patchFleetConfiguration(QJsonObject const& current, QJsonObject const& patch) {
  rejectUnknownFields(patch, {"version", "set", "drop", "door", "extra"}, "");
  if (!patch.contains("version")) throw ConfigError("/version", "missing");
  for (char const* section : {"set", "drop"}) {
    checkOptionalObject(patch, section, "");
    rejectUnknownFields(patch.value(QLatin1String(section)).toObject(), {"paths", "pools", "tenants"},
                        std::string("/") + section);
  }
  QJsonObject const set = patch.value("set").toObject();
  QJsonObject const drop = patch.value("drop").toObject();
  QJsonObject out = current;
  for (char const* list : {"paths", "pools", "tenants"})
    if (set.contains(QLatin1String(list)) || drop.contains(QLatin1String(list)))
      out.insert(QLatin1String(list), patchList(current.value(QLatin1String(list)).toArray(), set, drop, list));
  for (char const* field : {"version", "door", "extra"})
    if (patch.contains(QLatin1String(field))) out.insert(QLatin1String(field), patch.value(QLatin1String(field)));
  return out;
}

}  // namespace corkward::config
