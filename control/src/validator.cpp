#include <corkward/control/validator.h>

#include <QJsonArray>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/control/change_history.h>
#include <corkward/core/json.h>

namespace corkward::control {

namespace {

using consensus::Verdict;

Verdict reject(int status, std::string const& error, std::string const& reason, std::string const& pointer = "") {
  Verdict v;
  v.status = status;
  v.body = QJsonObject{{"error", core::toQString(error)}, {"reason", core::toQString(reason)}};
  if (!pointer.empty()) v.body.insert("pointer", core::toQString(pointer));
  return v;
}

Verdict replay(int status, std::uint64_t revision, std::string const& changeId) {
  Verdict v;
  v.status = status;
  v.body = QJsonObject{
      {"changeId", core::toQString(changeId)}, {"stamp", static_cast<qint64>(revision)}, {"replayed", true}};
  return v;
}

std::string bare(std::string const& ifMatch) {
  if (ifMatch.size() >= 2 && ifMatch.front() == '"' && ifMatch.back() == '"')
    return ifMatch.substr(1, ifMatch.size() - 2);
  return ifMatch;
}

Verdict stale(transport::OperatorCall const& call, qint64 newest) {
  Verdict v =
      reject(412, "stale revision", "built on " + bare(call.ifMatch) + ", but the newest is " + std::to_string(newest));
  v.body.insert("stamp", newest);
  return v;
}

std::vector<std::string> split(std::string const& path) {
  std::vector<std::string> out;
  std::string part;
  for (std::size_t i = 1; i <= path.size(); ++i) {
    if (i == path.size() || path[i] == '/') {
      out.push_back(part);
      part.clear();
    } else {
      part += path[i];
    }
  }
  return out;
}

/// Digest by which a reused change id shows. The base of an order on a zone is no operator's and no part of it.
QString digestOf(std::string const& key, transport::OperatorCall const& call) {
  std::string const base = key.rfind("zone:", 0) == 0 ? "" : bare(call.ifMatch);
  return QString::number(core::stableHash(call.method + " " + call.path + " " + base + " " + call.body), 16);
}

QJsonObject readBody(transport::OperatorCall const& call) {
  QJsonValue const v = core::parseJson(call.body);
  if (!v.isObject()) throw core::JsonError("must be an object");
  return v.toObject();
}

/// Body of a change; a call that takes something away has none.
QJsonObject changeBody(transport::OperatorCall const& call) {
  return call.method == "DELETE" ? QJsonObject() : readBody(call);
}

/// Answer to a call by what its key remembers of its changes: taken, or not known any more; nothing: it was not taken.
/// @param newest highest base that a change of the key can be built on now
std::optional<Verdict> validatePast(std::uint64_t revision, std::uint64_t newest, transport::OperatorCall const& call,
                                    std::string const& digest, QJsonObject const& value) {
  bool isNumber = false;
  std::uint64_t const base = core::toQString(bare(call.ifMatch)).toULongLong(&isNumber);
  ChangeHistory const history(value, newest);
  switch (history.outcomeOf(digest, isNumber ? base : newest)) {
    case PastOutcome::applied:
      return replay(200, revision - history.changesSince(digest), call.changeId);
    case PastOutcome::notApplied:
      return std::nullopt;
    case PastOutcome::forgotten:
      break;
  }
  return reject(503, "outcome not remembered",
                "built on " + bare(call.ifMatch) +
                    ", older than all changes that are remembered; read what is in place and build on that");
}

/// The key's history with one more change, which was built on its newest base.
QJsonObject historyWith(QJsonObject const& value, std::uint64_t newest, std::string const& digest) {
  ChangeHistory history(value, newest);
  history.append(digest, newest);
  return history.json();
}

Verdict validateFamily(std::uint64_t revision, QJsonObject const& value, transport::OperatorCall const& call,
                       ClusterView const& around) {
  QJsonObject const family = config::withoutHistory(value);
  Target const target = *targetOf(call.path);
  bool const ofInstance = !target.instance.empty();
  QJsonObject const instances = family.value("instances").toObject();
  QJsonObject const current =
      ofInstance ? instances.value(core::toQString(target.instance)).toObject() : family.value("template").toObject();
  qint64 const have = current.value("stamp").toInteger();
  if (call.method == "GET") {
    if (have == 0) return reject(404, "not found", "no such " + std::string(ofInstance ? "instance" : "template"));
    Verdict v;
    v.body = QJsonObject{{"spec", current.value("spec")}, {"stamp", have}};
    if (!ofInstance) {
      QJsonArray names;
      for (QString const& n : instances.keys()) names.append(n);
      v.body.insert("instances", names);
    }
    return v;
  }
  if (call.ifMatch.empty())
    return reject(428, "revision missing",
                  "say If-Match with the revision the change was built on, 0 to make a new one");
  qint64 const next = static_cast<qint64>(revision) + 1;
  QJsonObject changed = family;
  QJsonObject body;
  bool unsure = false;
  try {
    body = changeBody(call);
    std::optional<Verdict> const past =
        validatePast(revision, revision, call, orderDigest(call, body, call.changeId), value);
    if (past && (past->status == 200 || bare(call.ifMatch) != std::to_string(have))) return *past;
    if (bare(call.ifMatch) != std::to_string(have)) return stale(call, have);
    if (call.method != "PUT" && have == 0)
      return reject(404, "not found", "no such " + std::string(ofInstance ? "instance" : "template"));
    if (ofInstance && !family.contains("template")) return reject(404, "not found", "no such template");
    QJsonObject fresh;
    if (call.method == "PUT")
      fresh = QJsonObject{{"spec", body}, {"stamp", next}};
    else if (call.method == "PATCH")
      fresh = QJsonObject{{"spec", core::mergePatch(current.value("spec"), body)}, {"stamp", next}};
    if (ofInstance) {
      QJsonObject all = instances;
      if (call.method == "DELETE")
        all.remove(core::toQString(target.instance));
      else
        all.insert(core::toQString(target.instance), fresh);
      changed.insert("instances", all);
    } else if (call.method == "DELETE") {
      changed.remove("template");
    } else {
      changed.insert("template", fresh);
    }
    config::PoolKnown const poolKnown = [&](std::string const& pool) {
      bool const known = around.poolKnown(pool);
      unsure = unsure || (!known && around.poolUnsure(pool));
      return known;
    };
    config::checkFamily(changed, poolKnown, [&](std::string const& regime, std::string const& pool) {
      std::optional<config::RegimeFault> const fault = around.regimeFault(around.regimes(), regime, pool);
      return fault ? fault->reason : std::string();
    });
  } catch (core::JsonError const& e) {
    return reject(400, "malformed", e.what(), "/");
  } catch (config::ConfigError const& e) {
    // No refusal rests on a key that is not recovered yet.
    if (unsure) return reject(503, "not confirmed", "the pools are still being recovered; send it again");
    return reject(422, "not a valid configuration", e.reason(), e.pointer());
  }
  if (core::jsonText(changed).size() > 4 * maxCallBodyBytes)
    return reject(413, "too large", "the family would pass its limit");
  Verdict v;
  v.status = call.method == "PUT" && have == 0 ? 201 : 200;
  v.body = QJsonObject{{"changeId", core::toQString(call.changeId)}, {"stamp", next}};
  if (call.dryRun) {
    v.status = 200;
    v.body.insert("dryRun", true);
    return v;
  }
  v.change = true;
  v.value = changed;
  v.value.insert(ChangeHistory::field, historyWith(value, revision, orderDigest(call, body, call.changeId)));
  return v;
}

Verdict replayWhole(std::uint64_t revision, qint64 version, std::string const& changeId) {
  Verdict v = replay(200, revision, changeId);
  v.body.insert("version", version);
  return v;
}

Verdict rejectWhole(Verdict v, std::uint64_t revision, qint64 version) {
  v.body.insert("version", version);
  v.body.insert("stamp", static_cast<qint64>(revision));
  return v;
}

/// A call on the whole configuration that was built on another version than the newest one.
Verdict validatePastWhole(std::uint64_t revision, transport::OperatorCall const& call, std::string const& digest,
                          qint64 version, QJsonObject const& current) {
  qint64 const have = current.value("spec").toObject().value("version").toInteger();
  std::optional<Verdict> past = validatePast(revision, static_cast<std::uint64_t>(have), call, digest, current);
  if (past && past->status == 200) past->body.insert("version", version);
  if (past) return *past;
  std::string const reason = "built on " + bare(call.ifMatch) + ", but the newest is " + std::to_string(have);
  return rejectWhole(reject(412, "stale version", reason), revision, have);
}

/// Upper bound of the whole configuration's text after a change, without writing it out.
qint64 wholeBytes(QJsonArray const& window, transport::OperatorCall const& call) {
  qint64 const before =
      call.method == "PATCH" ? window.last().toObject().value("bytes").toInteger(maxFleetConfigurationBytes) : 0;
  return before + static_cast<qint64>(call.body.size());
}

Verdict validateWhole(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  QJsonObject const spec = current.value("spec").toObject();
  qint64 const have = spec.value("version").toInteger();
  if (call.method == "GET") {
    if (have == 0) return reject(404, "not found", "no configuration so far");
    Verdict v;
    v.body = QJsonObject{{"spec", spec}, {"version", have}, {"stamp", static_cast<qint64>(revision)}};
    return v;
  }
  if (call.method != "PUT" && call.method != "PATCH")
    return reject(405, "method not allowed", "the configuration is read, put or patched");
  if (call.ifMatch.empty())
    return reject(428, "version missing",
                  "say If-Match with the version the change was built on, 0 when there is none so far");
  try {
    QJsonObject next = readBody(call);
    qint64 const version = next.value("version").toInteger();
    if (call.method == "PUT" && version == have && have > 0 && next == spec)
      return replayWhole(revision, have, call.changeId);
    std::uint64_t const newest = static_cast<std::uint64_t>(have);
    std::string const digest = orderDigest(call, next, "");
    if (bare(call.ifMatch) != std::to_string(have)) return validatePastWhole(revision, call, digest, version, current);
    if (call.method == "PATCH" && have == 0) return reject(404, "not found", "no configuration so far");
    if (version <= have)
      return rejectWhole(
          reject(422, "not a valid configuration", "must be an integer above " + std::to_string(have), "/version"),
          revision, have);
    if (call.method == "PATCH") {
      next = config::patchFleetConfiguration(spec, next);
      bool const mayPass =
          wholeBytes(current.value("changes").toArray(), call) > static_cast<qint64>(maxFleetConfigurationBytes);
      if (mayPass && core::jsonText(next).size() > maxFleetConfigurationBytes)
        return reject(413, "too large", "the configuration would pass its limit");
    }
    config::readFleetConfiguration(next);
    Verdict v;
    v.status = have == 0 ? 201 : 200;
    v.body = QJsonObject{{"changeId", core::toQString(call.changeId)},
                         {"version", version},
                         {"stamp", static_cast<qint64>(revision) + 1}};
    if (call.dryRun) {
      v.status = 200;
      v.body.insert("dryRun", true);
      return v;
    }
    v.change = true;
    v.value = QJsonObject{{"spec", next}, {ChangeHistory::field, historyWith(current, newest, digest)}};
    return v;
  } catch (core::JsonError const& e) {
    return reject(400, "malformed", e.what(), "/");
  } catch (config::ConfigError const& e) {
    return reject(422, "not a valid configuration", e.reason(), e.pointer());
  }
}

/// A list that a controller has read itself names the revision that it knew when it read: one that was under way
/// through a cut or a pause is not written over what was read meanwhile. Lists that the platform gives name none.
Verdict validatePool(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  if (call.method == "GET") {
    if (revision == 0) return reject(404, "not found", "no such pool");
    Verdict v;
    v.body = current;
    v.body.insert("stamp", static_cast<qint64>(revision));
    return v;
  }
  try {
    QJsonObject const next = readBody(call);
    config::EndpointList const list = config::readPool(next);
    std::uint64_t const have = static_cast<std::uint64_t>(current.value("generation").toInteger());
    if (list.generation == have && next == current) return replay(200, revision, call.changeId);
    if (!call.ifMatch.empty() && call.ifMatch != std::to_string(revision))
      return reject(412, "another list is in place", "the list held has revision " + std::to_string(revision));
    if (list.generation <= have)
      return reject(409, "older generation", "the list held has generation " + std::to_string(have));
    Verdict v;
    v.change = !call.dryRun;
    v.value = next;
    v.body = QJsonObject{{"changeId", core::toQString(call.changeId)}, {"stamp", static_cast<qint64>(revision) + 1}};
    return v;
  } catch (core::JsonError const& e) {
    return reject(400, "malformed", e.what(), "/");
  } catch (config::ConfigError const& e) {
    return reject(422, "not a valid list", e.reason(), e.pointer());
  }
}

/// An order on a zone names no base. The controller that it came in at says the revision that it knew then, so that an
/// order which was under way for long is not carried out after a later one.
Verdict validateZone(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  bool const have = current.value("evacuated").toBool();
  if (call.method == "GET") {
    Verdict v;
    v.body = QJsonObject{{"evacuated", have}, {"stamp", static_cast<qint64>(revision)}};
    return v;
  }
  bool const want = call.method == "PUT";
  if (want == have) return replay(200, revision, call.changeId);
  if (!call.ifMatch.empty() && bare(call.ifMatch) != std::to_string(revision))
    return reject(503, "outcome unknown",
                  "the zone was changed after this order came in; send it again if it still holds");
  Verdict v;
  v.change = !call.dryRun;
  v.value = QJsonObject{{"evacuated", want}};
  v.body = QJsonObject{
      {"changeId", core::toQString(call.changeId)}, {"stamp", static_cast<qint64>(revision) + 1}, {"evacuated", want}};
  return v;
}

/// What the tenants in place could not be served under these certificates, one line for each.
std::vector<config::RegimeFault> uncovered(config::Regimes const& regimes, ClusterView const& around) {
  std::vector<config::RegimeFault> out;
  for (config::RegimeUse const& use : around.regimeUses()) {
    std::optional<config::RegimeFault> const fault = around.regimeFault(regimes, use.regime, use.pool);
    if (fault) out.push_back(config::RegimeFault{fault->pointer, use.instance + ": " + fault->reason});
  }
  return out;
}

Verdict validateRegimes(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call,
                        ClusterView const& around) {
  std::string const name = targetOf(call.path)->instance;
  QJsonObject const spec = current.value("spec").toObject();
  Verdict v;
  if (call.method == "GET") {
    if (revision == 0) return reject(404, "not found", "no certificates so far");
    v.body = QJsonObject{{"spec", spec}, {"stamp", static_cast<qint64>(revision)}};
    if (name.empty()) return v;
    QJsonValue const one = spec.value("certificates").toObject().value(core::toQString(name));
    if (!one.isObject()) return reject(404, "not found", "no such certificate");
    v.body.insert("spec", one);
    return v;
  }
  bool const revokes = call.method == "DELETE" && !name.empty();
  if (!revokes && !name.empty())
    return reject(405, "method not allowed", "a certificate is read or deleted; declare it with all others");
  if (!revokes && call.method == "DELETE")
    return reject(405, "method not allowed", "certificates are put, patched, or deleted one by one");
  if (!revokes && call.ifMatch.empty())
    return reject(428, "revision missing",
                  "say If-Match with the revision the change was built on, 0 when there are none so far");
  try {
    QJsonObject const body = changeBody(call);
    std::string const digest = orderDigest(call, body, call.changeId);
    bool const elsewhere = !call.ifMatch.empty() && bare(call.ifMatch) != std::to_string(revision);
    std::optional<Verdict> const past = validatePast(revision, revision, call, digest, current);
    if (past && (past->status == 200 || elsewhere)) return *past;
    if (elsewhere) return stale(call, static_cast<qint64>(revision));
    if (call.method != "PUT" && revision == 0) return reject(404, "not found", "no certificates so far");
    QJsonObject next = spec;
    if (revokes) {
      QJsonObject all = spec.value("certificates").toObject();
      if (!all.contains(core::toQString(name))) return reject(404, "not found", "no such certificate");
      all.remove(core::toQString(name));
      next.insert("certificates", all);
    } else {
      next = call.method == "PUT" ? body : core::mergePatch(spec, body).toObject();
    }
    std::vector<config::RegimeFault> const faults = uncovered(config::readRegimes(next), around);
    if (!revokes && !faults.empty())
      return reject(422, "not a valid declaration",
                    faults.front().reason + "; a certificate that must end at once is deleted by its name",
                    faults.front().pointer);
    if (core::jsonText(next).size() > maxCallBodyBytes)
      return reject(413, "too large", "the certificates would pass their limit");
    v.status = revision == 0 ? 201 : 200;
    v.body = QJsonObject{{"changeId", core::toQString(call.changeId)}, {"stamp", static_cast<qint64>(revision) + 1}};
    if (!faults.empty()) {
      QJsonArray lines;
      for (config::RegimeFault const& f : faults) lines.append(core::toQString(f.reason));
      v.body.insert("uncovered", lines);
    }
    v.value = QJsonObject{{"spec", next}, {ChangeHistory::field, historyWith(current, revision, digest)}};
    v.change = !call.dryRun;
    if (call.dryRun) {
      v.status = 200;
      v.body.insert("dryRun", true);
    }
    return v;
  } catch (core::JsonError const& e) {
    return reject(400, "malformed", e.what(), "/");
  } catch (config::ConfigError const& e) {
    return reject(422, "not a valid declaration", e.reason(), e.pointer());
  }
}

Verdict validateAlert(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  Verdict v;
  if (call.method == "GET") {
    v.body = current;
    if (revision == 0) v.body.insert("state", "clear");
    v.body.insert("stamp", static_cast<qint64>(revision));
    return v;
  }
  if (call.method != "PUT") return reject(405, "method not allowed", "an alert is read or put");
  if (call.ifMatch.empty()) return reject(428, "revision missing", "say If-Match with the revision that was read");
  if (bare(call.ifMatch) != std::to_string(revision)) return stale(call, static_cast<qint64>(revision));
  try {
    QJsonObject const next = readBody(call);
    QString const state = next.value("state").toString();
    if (state != "clear" && state != "claimed" && state != "done")
      return reject(422, "not a valid alert", "must be clear, claimed or done", "/state");
    if (next.size() != 2 || !next.value("by").isString() || next.value("by").toString().size() > 64)
      return reject(422, "not a valid alert", "must have state and by, a name of up to 64 bytes", "/by");
    v.change = !call.dryRun;
    v.value = next;
    v.body = QJsonObject{{"changeId", core::toQString(call.changeId)}, {"stamp", static_cast<qint64>(revision) + 1}};
    return v;
  } catch (core::JsonError const& e) {
    return reject(400, "malformed", e.what(), "/");
  }
}

Verdict declareGone(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  QString const link = core::toQString(targetOf(call.path)->instance);
  QJsonArray gone = current.value("gone").toArray();
  if (gone.contains(link)) return replay(200, revision, call.changeId);
  QJsonArray nodes;
  for (QJsonValue const n : current.value("nodes").toArray())
    if (n.toObject().value("link").toString() != link) nodes.append(n);
  bool known = nodes.size() < current.value("nodes").toArray().size();
  for (QJsonValue const n : current.value("previous").toArray())
    known = known || n.toObject().value("link").toString() == link;
  if (!known) return reject(404, "not found", "no such node on the roster");
  gone.append(link);
  while (gone.size() > 64) gone.removeFirst();
  Verdict v;
  v.change = !call.dryRun;
  v.value = QJsonObject{{"nodes", nodes}, {"gone", gone}, {"previous", current.value("nodes").toArray()}};
  v.body = QJsonObject{{"changeId", core::toQString(call.changeId)}, {"stamp", static_cast<qint64>(revision) + 1}};
  return v;
}

Verdict validateRoster(std::uint64_t revision, QJsonObject const& current, transport::OperatorCall const& call) {
  if (call.method == "DELETE") return declareGone(revision, current, call);
  if (bare(call.ifMatch) != std::to_string(revision)) return reject(412, "stale revision", "the roster has moved on");
  Verdict v;
  v.change = true;
  v.value = core::parseJson(call.body).toObject();
  v.value.insert("previous", current.value("nodes").toArray());
  return v;
}

}  // namespace

std::optional<Target> targetOf(std::string const& path) {
  if (path == config::fleetConfigurationPage) return Target{config::fleetConfigurationKey, "", ""};
  std::vector<std::string> const parts = split(path);
  if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "certificates") return Target{config::regimesKey, "", ""};
  if (parts.size() < 3 || parts[0] != "v1") return std::nullopt;
  if (parts[1] == "certificates" && parts.size() == 3 && config::validName(parts[2]))
    return Target{config::regimesKey, "", parts[2]};
  if (parts[1] == "templates" && config::validName(parts[2])) {
    if (parts.size() == 3) return Target{"family:" + parts[2], parts[2], ""};
    if (parts.size() == 5 && parts[3] == "instances" && config::validName(parts[4]))
      return Target{"family:" + parts[2], parts[2], parts[4]};
  }
  std::string const label = config::labelOf(parts.back());
  if (parts[1] == "evacuations" && parts.size() == 3 && config::validLabel(label))
    return Target{"zone:" + label, "", ""};
  if (parts[1] == "alerts" && parts.size() == 3 && config::validName(parts[2]))
    return Target{"alert:" + parts[2], "", ""};
  if (parts[1] == "platform" && parts.size() == 4 && parts[2] == "pools" && config::validLabel(label))
    return Target{"pool:" + label, "", ""};
  if (parts[1] == "roster" && parts.size() == 3) return Target{"roster", "", ""};
  if (parts[1] == "nodes" && parts.size() == 3 && !parts[2].empty() && parts[2].size() < 64)
    return Target{"roster", "", parts[2]};
  return std::nullopt;
}

consensus::Verdict validateCall(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& around) {
  QJsonArray window = value.value("changes").toArray();
  for (QJsonValue const c : window) {
    QJsonObject const o = c.toObject();
    if (call.method == "GET" || call.dryRun || call.changeId.empty() ||
        o.value("id").toString() != core::toQString(call.changeId))
      continue;
    if (o.value("digest").toString() != digestOf(key, call))
      return reject(409, "change id reused", "the id " + call.changeId + " stands for another change");
    Verdict again =
        replay(o.value("status").toInt(), static_cast<std::uint64_t>(o.value("stamp").toInteger()), call.changeId);
    if (o.contains("version")) again.body.insert("version", o.value("version"));
    return again;
  }
  QJsonObject const bare = config::withoutHistory(value);
  Verdict v = key.rfind("family:", 0) == 0           ? validateFamily(revision, value, call, around)
              : key.rfind("pool:", 0) == 0           ? validatePool(revision, bare, call)
              : key.rfind("zone:", 0) == 0           ? validateZone(revision, bare, call)
              : key.rfind("alert:", 0) == 0          ? validateAlert(revision, bare, call)
              : key == "roster"                      ? validateRoster(revision, bare, call)
              : key == config::regimesKey            ? validateRegimes(revision, value, call, around)
              : key == config::fleetConfigurationKey ? validateWhole(revision, value, call)
                                                     : reject(404, "not found", "no such key");
  if (!v.change) return v;
  bool const whole = key == config::fleetConfigurationKey;
  if (whole || !call.changeId.empty()) {
    QJsonObject entry{{"id", core::toQString(call.changeId)},
                      {"digest", digestOf(key, call)},
                      {"status", v.status},
                      {"stamp", static_cast<qint64>(revision) + 1}};
    if (whole) {
      entry.insert("version", v.body.value("version"));
      entry.insert("bytes", wholeBytes(window, call));
    }
    window.append(entry);
  }
  while (static_cast<std::size_t>(window.size()) > config::changeWindow) window.removeFirst();
  v.value.insert("changes", window);
  return v;
}

}  // namespace corkward::control
