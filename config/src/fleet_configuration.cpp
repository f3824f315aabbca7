#include <QJsonArray>
#include <limits>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "checks.h"

namespace corkward::config {

namespace {

using core::toStdString;

constexpr core::Milliseconds unbounded = std::numeric_limits<core::Milliseconds>::max();
/// Largest number of milliseconds, bytes, tokens or requests that a configuration may say.
constexpr qint64 maxNumber = qint64{1} << 40;
constexpr qint64 maxCount = qint64{1} << 30;
constexpr qint64 maxVersion = qint64{1} << 53;
constexpr std::size_t maxAddressBytes = 1024;

/// A path is of the first class whose rule holds for it.
struct ClassRule {
  RequestClass cls;
  core::Milliseconds maxLatencyTarget;
  core::Milliseconds minDeadline;
};

constexpr ClassRule classRules[] = {
    {RequestClass::urgent, 400, 0}, {RequestClass::bulk, unbounded, 10000}, {RequestClass::quick, unbounded, 0}};

struct KindRule {
  char const* name;
  bool repeatable;
  bool stream;
};

constexpr KindRule kindRules[] = {{"once", false, false}, {"repeatable", true, false}, {"stream", false, true}};

QJsonArray listAt(QJsonObject const& o, char const* name, std::string const& at, std::size_t most) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isArray()) throw ConfigError(at + "/" + name, v.isUndefined() ? "missing" : "must be a list");
  QJsonArray list = v.toArray();
  if (static_cast<std::size_t>(list.size()) > most)
    throw ConfigError(at + "/" + name, "more than " + std::to_string(most));
  return list;
}

QJsonObject itemAt(QJsonArray const& list, qsizetype i, std::string const& at) {
  QJsonValue const v = list.at(i);
  if (!v.isObject()) throw ConfigError(at, "must be an object");
  return v.toObject();
}

void optionalObject(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isUndefined() && !v.isObject()) throw ConfigError(at + "/" + name, "must be an object");
}

std::string text(QJsonObject const& o, char const* name, std::size_t longest, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  std::string out = toStdString(v.toString());
  if (out.empty() || out.size() > longest)
    throw ConfigError(at + "/" + name, "must be a text of 1 to " + std::to_string(longest) + " bytes");
  return out;
}

qint64 integer(QJsonObject const& o, char const* name, qint64 least, qint64 most, qint64 otherwise,
               std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined()) return otherwise;
  if (!isInteger(v) || v.toInteger() < least || v.toInteger() > most)
    throw ConfigError(at + "/" + name, "must be an integer, " + std::to_string(least) + " to " + std::to_string(most));
  return v.toInteger();
}

qint64 requiredInteger(QJsonObject const& o, char const* name, qint64 least, qint64 most, std::string const& at) {
  if (!o.contains(QLatin1String(name))) throw ConfigError(at + "/" + name, "missing");
  return integer(o, name, least, most, 0, at);
}

bool flag(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (!v.isUndefined() && !v.isBool()) throw ConfigError(at + "/" + name, "must be true or false");
  return v.toBool();
}

using PoolNames = std::unordered_set<std::string>;

std::string knownPool(QJsonObject const& o, PoolNames const& pools, std::string const& at) {
  std::string name = text(o, "pool", maxTextBytes, at);
  if (pools.count(name) == 0) throw ConfigError(at + "/pool", "no pool named " + name);
  return name;
}

std::vector<WeightedPool> readShares(QJsonObject const& object, PoolNames const& pools, std::string const& at) {
  if (object.contains("pool")) {
    if (object.contains("shares")) throw ConfigError(at + "/shares", "stands beside pool");
    return {WeightedPool{knownPool(object, pools, at), 1}};
  }
  QJsonValue const v = object.value("shares");
  if (!v.isArray())
    throw ConfigError(at + (v.isUndefined() ? "/pool" : "/shares"),
                      v.isUndefined() ? "missing, and no shares" : "must be a list");
  std::vector<WeightedPool> out;
  QJsonArray const list = v.toArray();
  for (qsizetype i = 0; i < list.size(); ++i) {
    std::string const pointer = at + "/shares/" + std::to_string(i);
    QJsonObject const one = itemAt(list, i, pointer);
    onlyFields(one, {"pool", "share"}, pointer);
    WeightedPool const share{knownPool(one, pools, pointer),
                             static_cast<std::uint32_t>(requiredInteger(one, "share", 0, maxCount, pointer))};
    if (share.weight > 0) out.push_back(share);
  }
  if (out.empty()) throw ConfigError(at + "/shares", "the weights sum to 0");
  return out;
}

PoolSettings readPool(QJsonObject const& object, std::string const& at) {
  onlyFields(object, {"name", "standing", "connections", "coldRate", "coldMs", "slots", "tokens", "extra"}, at);
  PoolSettings out;
  out.name = text(object, "name", maxTextBytes, at);
  if (object.contains("standing") && text(object, "standing", maxAddressBytes, at).front() != '/')
    throw ConfigError(at + "/standing", "must begin with /");
  out.maxConnections = static_cast<int>(integer(object, "connections", 0, maxCount, 0, at));
  QJsonValue const rate = object.value("coldRate");
  out.slowStartRate = rate.toDouble(rate.isUndefined() ? 0 : -1);
  if (!(out.slowStartRate >= 0 && out.slowStartRate <= static_cast<double>(maxCount)))
    throw ConfigError(at + "/coldRate", "must be a number, 0 to " + std::to_string(maxCount));
  out.slowStartDuration = integer(object, "coldMs", 0, maxNumber, 0, at);
  out.concurrentRequests = static_cast<int>(integer(object, "slots", 0, maxCount, 0, at));
  out.prefixCacheTokens = integer(object, "tokens", 0, maxNumber, 0, at);
  optionalObject(object, "extra", at);
  return out;
}

Path readPath(QJsonObject const& object, PoolNames const& pools, std::string const& at) {
  onlyFields(object,
             {"name", "host", "prefix", "kind", "deadlineMs", "aimMs", "gapAimMs", "urgency", "tries", "resumable",
              "affine", "pool", "shares", "open", "extra"},
             at);
  Path out;
  out.instance = text(object, "name", maxTextBytes, at);
  out.host = text(object, "host", maxAddressBytes, at);
  out.prefix = text(object, "prefix", maxAddressBytes, at);
  if (out.prefix.front() != '/' || out.prefix.back() != '/')
    throw ConfigError(at + "/prefix", "must begin and end with /");
  QString const kind = object.value("kind").toString();
  KindRule const* const found = std::find_if(std::begin(kindRules), std::end(kindRules),
                                             [&](KindRule const& k) { return kind == QLatin1String(k.name); });
  if (found == std::end(kindRules)) throw ConfigError(at + "/kind", "must be once, repeatable or stream");
  out.deadline = requiredInteger(object, "deadlineMs", 1, maxNumber, at);
  out.latencyTarget = integer(object, "aimMs", 0, maxNumber, 0, at);
  core::Milliseconds const target = out.latencyTarget > 0 ? out.latencyTarget : unbounded;
  out.requestClass = std::find_if(std::begin(classRules), std::end(classRules), [&](ClassRule const& r) {
                       return target <= r.maxLatencyTarget && out.deadline >= r.minDeadline;
                     })->cls;
  if (out.latencyTarget == 0)
    out.latencyTarget = std::find_if(std::begin(requestClassDefaults), std::end(requestClassDefaults),
                                     [&](RequestClassDefaults const& c) { return c.requestClass == out.requestClass; })
                            ->latencyTarget;
  out.eventGapTarget = integer(object, "gapAimMs", 0, maxNumber, 0, at);
  out.urgency = static_cast<int>(integer(object, "urgency", 0, 9, 5, at));
  out.maxAttempts = static_cast<int>(integer(object, "tries", 1, maxCount, 1, at));
  out.stream = found->stream;
  out.resumable = flag(object, "resumable", at) && out.stream;
  out.idempotent = found->repeatable || out.resumable;
  flag(object, "affine", at);
  out.isPublic = flag(object, "open", at);
  out.weightedPools = readShares(object, pools, at);
  out.pool = out.weightedPools.front().pool;
  optionalObject(object, "extra", at);
  return out;
}

double amount(QJsonObject const& o, char const* name, std::string const& at) {
  QJsonValue const v = o.value(QLatin1String(name));
  if (v.isUndefined() || v.isNull()) return 0;
  double const out = v.toDouble(-1);
  if (!(out >= 0 && out <= static_cast<double>(maxNumber)))
    throw ConfigError(at + "/" + name, "must be a number, 0 to " + std::to_string(maxNumber));
  return out;
}

std::vector<std::string> readKeys(QJsonObject const& object, std::string const& at) {
  std::vector<std::string> out;
  QJsonArray const list = object.contains("keys") ? listAt(object, "keys", at, maxTenantKeys) : QJsonArray();
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
  onlyFields(object, {"name", "keys", "urgency", "rate", "burst", "unit", "plainTokens", "extra"}, at);
  Tenant out;
  out.name = text(object, "name", maxTextBytes, at);
  out.keys = readKeys(object, at);
  if (!object.value("urgency").isUndefined() && !object.value("urgency").isNull())
    out.urgency = static_cast<int>(integer(object, "urgency", 0, 9, 5, at));
  out.ratePerSecond = amount(object, "rate", at);
  out.burst = amount(object, "burst", at);
  QJsonValue const unit = object.value("unit");
  if (!unit.isUndefined() && unit.toString() != "tokens" && unit.toString() != "requests")
    throw ConfigError(at + "/unit", "must be tokens or requests");
  out.inTokens = unit.toString() == "tokens";
  out.defaultTokens = integer(object, "plainTokens", 0, maxNumber, 0, at);
  optionalObject(object, "extra", at);
  return out;
}

/// Reads the tenants; a key that stands twice, be it at one tenant or two, is an error.
std::vector<Tenant> readTenants(QJsonObject const& spec) {
  std::vector<Tenant> out;
  if (!spec.contains("tenants")) return out;
  std::unordered_set<std::string> names;
  std::unordered_set<std::string> keys;
  QJsonArray const tenants = listAt(spec, "tenants", "", maxTenants);
  for (qsizetype i = 0; i < tenants.size(); ++i) {
    std::string const at = "/tenants/" + std::to_string(i);
    out.push_back(readTenant(itemAt(tenants, i, at), at));
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
  onlyFields(object, {"headBytes", "bodyBytes", "headMs", "idleMs"}, "/door");
  HttpLimits out;
  out.headerByteLimit = static_cast<std::uint32_t>(integer(object, "headBytes", 0, maxCount, 0, "/door"));
  out.bodyByteLimit = static_cast<std::uint64_t>(integer(object, "bodyBytes", 0, maxNumber, 0, "/door"));
  out.headerTimeout = integer(object, "headMs", 0, maxNumber, 0, "/door");
  out.idleTimeout = integer(object, "idleMs", 0, maxNumber, 0, "/door");
  return out;
}

/// Items of one list after the named ones were replaced, added and dropped.
QJsonArray patchList(QJsonArray const& current, QJsonObject const& set, QJsonObject const& drop, char const* list) {
  std::unordered_map<std::string, QJsonValue> fresh;
  std::vector<std::string> order;
  QJsonArray const items = set.contains(QLatin1String(list)) ? listAt(set, list, "/set", maxPaths) : QJsonArray();
  for (qsizetype i = 0; i < items.size(); ++i) {
    std::string const at = std::string("/set/") + list + "/" + std::to_string(i);
    std::string const name = text(itemAt(items, i, at), "name", maxTextBytes, at);
    if (!fresh.emplace(name, items.at(i)).second) throw ConfigError(at + "/name", "stands twice");
    order.push_back(name);
  }
  std::unordered_set<std::string> dropped;
  QJsonArray const names = drop.contains(QLatin1String(list)) ? listAt(drop, list, "/drop", maxPaths) : QJsonArray();
  for (qsizetype i = 0; i < names.size(); ++i) {
    std::string const at = std::string("/drop/") + list + "/" + std::to_string(i);
    if (!names.at(i).isString()) throw ConfigError(at, "must be a name");
    std::string const name = toStdString(names.at(i).toString());
    if (fresh.count(name) > 0) throw ConfigError(at, "is set in the same change");
    dropped.insert(name);
  }
  QJsonArray out;
  for (QJsonValue const item : current) {
    std::string const name = toStdString(item.toObject().value("name").toString());
    if (dropped.count(name) > 0) continue;
    auto const it = fresh.find(name);
    out.append(it == fresh.end() ? item : it->second);
    if (it != fresh.end()) fresh.erase(it);
  }
  for (std::string const& name : order) {
    auto const it = fresh.find(name);
    if (it != fresh.end()) out.append(it->second);
  }
  return out;
}

}  // namespace

FleetConfiguration readFleetConfiguration(QJsonObject const& spec) {
  onlyFields(spec, {"version", "paths", "pools", "tenants", "door", "extra"}, "");
  FleetConfiguration out;
  out.version = static_cast<std::uint64_t>(requiredInteger(spec, "version", 1, maxVersion, ""));
  PoolNames pools;
  QJsonArray const poolValues = listAt(spec, "pools", "", maxPools);
  for (qsizetype i = 0; i < poolValues.size(); ++i) {
    std::string const at = "/pools/" + std::to_string(i);
    out.pools.push_back(readPool(itemAt(poolValues, i, at), at));
    if (!pools.insert(out.pools.back().name).second) throw ConfigError(at + "/name", "stands twice");
  }
  std::unordered_set<std::string> names;
  std::set<std::pair<std::string, std::string>> routes;
  QJsonArray const pathValues = listAt(spec, "paths", "", maxPaths);
  out.paths.reserve(static_cast<std::size_t>(pathValues.size()));
  for (qsizetype i = 0; i < pathValues.size(); ++i) {
    std::string const at = "/paths/" + std::to_string(i);
    out.paths.push_back(readPath(itemAt(pathValues, i, at), pools, at));
    Path const& p = out.paths.back();
    if (!names.insert(p.instance).second) throw ConfigError(at + "/name", "stands twice");
    if (!routes.emplace(p.host, p.prefix).second)
      throw ConfigError(at + "/prefix", "another path has the same host and prefix");
  }
  out.tenants = readTenants(spec);
  out.http = readHttp(spec.value("door"));
  optionalObject(spec, "extra", "");
  return out;
}

QJsonObject patchFleetConfiguration(QJsonObject const& current, QJsonObject const& patch) {
  onlyFields(patch, {"version", "set", "drop", "door", "extra"}, "");
  if (!patch.contains("version")) throw ConfigError("/version", "missing");
  for (char const* part : {"set", "drop"}) {
    optionalObject(patch, part, "");
    onlyFields(patch.value(QLatin1String(part)).toObject(), {"paths", "pools", "tenants"}, std::string("/") + part);
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
