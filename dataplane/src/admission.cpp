#include <algorithm>
#include <functional>

#include <corkward/core/guarantees.h>

#include "internal.h"

namespace corkward::dataplane {

namespace {

/// The answers with this status promise the caller that nothing ran.
bool saysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

NameIndex RequestRouter::findPath(Request const& request) const {
  if (!request.instance.empty()) {
    std::unordered_map<std::string, NameIndex>::const_iterator const it =
        routes_.find(request.instance + "/" + request.path);
    return it == routes_.end() ? core::InternedNames::none : it->second;
  }
  std::string const key = request.host + request.target.substr(0, request.target.find_first_of("?#"));
  for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= request.host.size();
       slash = key.rfind('/', slash - 1)) {
    std::unordered_map<std::string, NameIndex>::const_iterator const it = routes_.find(key.substr(0, slash + 1));
    if (it != routes_.end()) return it->second;
    if (slash == 0) break;
  }
  return core::InternedNames::none;
}

NameIndex RequestRouter::choosePool(Tick now, Row const& row, CallId id) const {
  std::uint64_t sum = 0;
  for (std::pair<NameIndex, std::uint32_t> const& s : row.shares) sum += s.second;
  std::uint64_t at = core::RandomGenerator(seed_ ^ id).below(sum);
  NameIndex chosen = row.pool;
  for (std::pair<NameIndex, std::uint32_t> const& s : row.shares) {
    chosen = s.first;
    if (at < s.second) break;
    at -= s.second;
  }
  std::function<bool(NameIndex)> const serves = [&](NameIndex pool) {
    std::vector<NameIndex> const& all = poolViews_[pool].replicas;
    return std::any_of(all.begin(), all.end(),
                       [&](NameIndex const r) { return usable(now, r) && mayDraw(row.path.regime, r); });
  };
  if (row.shares.size() < 2 || serves(chosen)) return chosen;
  for (std::pair<NameIndex, std::uint32_t> const& s : row.shares)
    if (serves(s.first)) return s.first;
  return chosen;
}

bool RequestRouter::identify(Call& call, config::Path const& path) const {
  call.urgency = path.urgency;
  call.tenant.clear();
  if (path.host.empty() || !tenants_.required()) return true;
  config::Tenant const* const tenant = tenants_.byKey(call.request.key);
  if (tenant == nullptr) return path.isPublic;
  call.tenant = tenant->name;
  if (tenant->urgency >= 0) call.urgency = tenant->urgency;
  return true;
}

RouterCommands RequestRouter::onRequest(Tick now, Request const& request) {
  RouterCommands out;
  noteLag(now);
  count(now, "requests");
  CallId const id = request.call;
  Call call;
  call.request = request;
  call.phase = Phase::asking;
  call.arrived = now;
  call.phaseAt = now;
  NameIndex const path = findPath(request);
  if (path != core::InternedNames::none) {
    call.path = path;
    call.pathRevision = configurationRevision_;
  }
  calls_[id] = call;
  if (draining_ && now - drainedAt_ >= tuning_.drainServe) {
    reject(out, now, id, 503, "leaving", true, tuning_.comeBack);
    return out;
  }
  if (!servingLease(now)) {
    reject(out, now, id, 503, "no serving lease", true, tuning_.comeBack);
    return out;
  }
  if (path == core::InternedNames::none) {
    reject(out, now, id, 404, "no such path", true, 0);
    return out;
  }
  Row const& row = rows_[path];
  Call& mine = calls_[id];
  if (!identify(mine, row.path)) {
    reject(out, now, id, 401, "no tenant has this key", true, 0);
    return out;
  }
  if (outlastsDrain(now, row.path)) {
    reject(out, now, id, 503, "leaving before it could end", true, tuning_.comeBack);
    return out;
  }
  mine.pool = choosePool(now, row, id);
  mine.until = now + (request.deadline > 0 ? std::min(request.deadline, row.path.deadline) : row.path.deadline) -
               request.readFor;
  mine.prefix = request.prefix.empty() ? 0 : core::stableHash(request.instance + "|" + request.prefix);
  mine.echo = request.attempt > 1;
  mine.reached =
      request.earlierReachedReplica || (request.attempt > 1 && !request.earlierNotExecuted && row.path.resumable);
  Admission const admission = withinQuota(out, now, mine);
  if (admission == Admission::pending)
    mine.phase = Phase::counting;
  else if (admission == Admission::granted)
    place(out, now, id);
  else
    rejectOverQuota(out, now, id, admission);
  return out;
}

void RequestRouter::place(RouterCommands& out, Tick now, CallId id) {
  Call& mine = calls_.at(id);
  Request const& request = mine.request;
  Row const& row = rows_[mine.path];
  mine.phase = Phase::asking;
  if (!request.id.empty()) {
    expireSeen(now);
    std::string const key = request.instance + "|" + request.id;
    std::unordered_map<std::string, Seen>::iterator const it = seen_.find(key);
    if (it != seen_.end()) {
      Seen const before = it->second;
      mine.echo = true;
      mine.reached = mine.reached || before.reached;
      if (request.attempt > 0 && before.promisedAway >= request.attempt) {
        reject(out, now, id, 409, "a later attempt went to another node", false, 0);
        return;
      }
      if (before.mayHaveRun && !row.path.resumable) {
        reject(out, now, id, 409, "an earlier attempt may have run", false, 0);
        return;
      }
      if (request.attempt == 0) mine.claimants.insert(before.claimants.begin(), before.claimants.end());
      std::unordered_map<CallId, Call>::const_iterator const held = calls_.find(before.call);
      if (before.call != 0 && before.call != id && held != calls_.end()) {
        if (held->second.phase == Phase::held || held->second.phase == Phase::asking) {
          reject(out, now, before.call, 409, "replaced by a later attempt", true, 0);
        } else if (!row.path.resumable) {
          reject(out, now, id, 409, "an earlier attempt is in hand", false, 0);
          return;
        }
      }
    }
    remember(now, key).call = id;
  }
  if (!request.id.empty() && request.attempt == 0) {
    askOthers(out, now, id);
    decideClaim(out, now, id, false);
    return;
  }
  if (request.attempt > 1 && !request.earlierNotExecuted && !row.path.resumable) {
    if (request.id.empty()) {
      reject(out, now, id, 409, "a later attempt without an id cannot be told from the first", false, 0);
    } else if (request.age < 0) {
      reject(out, now, id, 409, "a later attempt that does not say its age cannot be looked up", false, 0);
    } else if (!remembers(now, request.age)) {
      reject(out, now, id, 409, "this node does not remember far enough to say whether an earlier attempt ran", false,
             0);
    } else {
      askOthers(out, now, id);
      if (calls_.at(id).waiting.empty()) admit(out, now, id);
    }
    return;
  }
  admit(out, now, id);
}

void RequestRouter::admit(RouterCommands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  std::string const shut = closed(now, regimeOf(call));
  if (!shut.empty()) {
    reject(out, now, id, 503, shut, true, tuning_.comeBack);
    return;
  }
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  bool const fresh = credits_.count(key) == 0;
  Credit& c = credit(out, now, key);
  if (fresh && call.request.segments.size() > 1) c.scaler.begin(home(call));
  call.phase = Phase::held;
  if (call.reached && !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance)) {
    reject(out, now, id, 503, "no retry left for what may have reached a replica before", true, tuning_.comeBack);
    return;
  }
  std::size_t const ahead = c.heldCount();
  if (call.request.segments.size() > 1 && !c.scaler.has(home(call))) look(out, now, key, id);
  if (ahead == 0 && tryConnect(out, now, id)) {
    look(out, now, key);
    return;
  }
  std::size_t const bound = std::max(tuning_.heldLeast, static_cast<std::size_t>(tuning_.heldPerCap * c.scaler.cap()));
  bool const none = c.scaler.subset().empty();
  Tick const wait = expectedWait(c, row.path.requestClass);
  bool const late = wait > static_cast<Tick>(tuning_.heldAims * static_cast<double>(row.path.latencyTarget)) ||
                    now + wait > call.until;
  bool const slow = c.scaler.allSlow() && ahead >= static_cast<std::size_t>(std::max(1.0, c.scaler.cap()));
  if (none || ahead >= bound || late || slow) {
    reject(out, now, id, 503,
           none   ? "no replica"
           : slow ? "all replicas slow"
                  : "too much held",
           true, comeBack(c, row.path.requestClass));
    return;
  }
  c.held[lane(row.path.requestClass)].push_back(id);
  look(out, now, key);
  pump(out, now, key);
}

void RequestRouter::unhold(CallId id) {
  Call const& call = calls_.at(id);
  if (call.phase != Phase::held) return;
  std::map<CreditKey, Credit>::iterator const it = credits_.find({call.pool, rows_[call.path].instance});
  if (it == credits_.end()) return;
  for (std::list<CallId>& lane : it->second.held) lane.remove(id);
}

char const* RequestRouter::nameOf(Phase phase) {
  switch (phase) {
    case Phase::asking:
      return "asking";
    case Phase::counting:
      return "counting";
    case Phase::held:
      return "held";
    case Phase::connecting:
      return "connecting";
    case Phase::handed:
      return "handed";
    case Phase::streaming:
      return "streaming";
  }
  return "unknown";
}

void RequestRouter::noteFailure(RouterCommands& out, Tick now, Call const& call, int status,
                                std::string const& reason) {
  bool const placed = call.phase != Phase::asking && call.phase != Phase::held;
  Failure failure;
  failure.trace = call.request.trace;
  if (call.path < rows_.size() && call.pathRevision > 0) failure.path = rows_[call.path].path.instance;
  if (placed && call.replica < replicas_.size()) failure.replica = replicas_[call.replica].address;
  failure.status = status;
  failure.reason = reason;
  failure.phase = nameOf(call.phase);
  failure.took = now - call.arrived;
  failure.handOvers = call.handedTo.size();
  failure.configuration = revisionOf(config::fleetConfigurationKey);
  if (std::optional<core::LogEvent> line = failures_.note(now, failure)) out.failures.push_back(std::move(*line));
}

void RequestRouter::drop(RouterCommands& out, Tick now, CallId id) {
  Call gone = calls_.at(id);
  forget(now, id);
  uncount(out, now, gone);
}

void RequestRouter::reject(RouterCommands& out, Tick now, CallId id, int status, std::string reason, bool notRun,
                           double retryAfter) {
  Call& call = calls_.at(id);
  CORKWARD_INVARIANT(call.phase != Phase::streaming);
  CORKWARD_INVARIANT(!notRun || call.phase != Phase::handed);
  notRun = notRun && !call.mayHaveRun;
  bool const once = call.outstanding && !rows_[call.path].path.repeatable && !rows_[call.path].path.resumable;
  CORKWARD_GUARANTEE(core::Guarantee::notExecutedIsTrue, !once || (!notRun && !saysNotRun(status)),
                     call.request.trace + " got " + std::to_string(status) + ": " + reason);
  unhold(id);
  noteFailure(out, now, call, status, reason);
  count(now, "denied_" + std::to_string(status), reason);
  if (!regimeOf(call).empty()) record(out, now, call, AuditOutcome::rejected, reason);
  out.calls.push_back(Reject{id, status, std::move(reason), notRun, retryAfter, call.reached || call.dispatched});
  drop(out, now, id);
}

}  // namespace corkward::dataplane
