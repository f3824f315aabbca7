// From the choice of a replica to the hand-over, with the last checks before it, and tries at other replicas.
#include <algorithm>

#include <corkward/core/guarantees.h>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::tryConnect(RouterCommands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  Credit& c = credits_.at(key);
  bool const room = mayTry(now, c, key, call);
  std::int64_t chosen = choose(now, call, usableOf(now, c, room));
  if (chosen < 0 && room && call.dispatched && !regimeOf(call).empty())
    chosen = choose(now, call, beyondPart(now, call.pool));
  if (chosen < 0) return false;
  NameIndex const replica = static_cast<NameIndex>(chosen);
  if (replicas_[replica].state == config::ReplicaState::cold) {
    bool const taken = warm_.at(replica).bucket.take(now, coldRate(call.pool));
    CORKWARD_INVARIANT(taken);
  }
  connectTo(out, now, id, replica);
  return true;
}

void RequestRouter::connectTo(RouterCommands& out, Tick now, CallId id, NameIndex replica) {
  Call& call = calls_.at(id);
  Row const& row = rows_[call.path];
  call.phase = Phase::connecting;
  call.phaseAt = now;
  call.replica = replica;
  call.counted = true;
  credits_.at({call.pool, row.instance}).scaler.onSent(replica, row.path.requestClass == config::RequestClass::bulk);
  ++replicas_[replica].inFlight;
  out.calls.push_back(Connect{id, addressOf(replica), row.path.path, false, !row.path.repeatable,
                              regimeOf(call).empty() ? "" : replicas_[replica].id, ownEvents(row.path)});
}

RouterCommands RequestRouter::onConnected(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::handed && it->second.resumes > 0) {
    if (servingLease(now) && usable(now, it->second.replica) && lawful(now, it->second) &&
        spendQuota(now, it->second)) {
      record(out, now, it->second, AuditOutcome::resumed);
      out.calls.push_back(handOver(now, id));
    } else if (!rows_[it->second.path].path.stream || !resumeElsewhere(out, now, id)) {
      breakOff(out, now, id);
    }
    return out;
  }
  if (it == calls_.end() || it->second.phase != Phase::connecting) return out;
  Call& call = it->second;
  if (!servingLease(now)) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 503, "no serving lease", true, tuning_.comeBack);
    return out;
  }
  NameIndex const path = call.pathRevision == configurationRevision_ ? call.path : findPath(call.request);
  if (path == core::InternedNames::none) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 404, "the configuration has changed", true, 0);
    return out;
  }
  if (!identify(call, rows_[path].path)) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 401, "the tenant's key was taken away", true, 0);
    return out;
  }
  std::vector<std::pair<NameIndex, std::uint32_t>> const& shares = rows_[path].shares;
  bool const rebound = rows_[path].path.regime != rows_[call.path].path.regime;
  if (rebound || std::none_of(shares.begin(), shares.end(),
                              [&](std::pair<NameIndex, std::uint32_t> const& s) { return s.first == call.pool; })) {
    out.calls.push_back(CloseUpstream{id});
    call.phase = Phase::held;
    uncount(out, now, call);
    call.path = path;
    call.pathRevision = configurationRevision_;
    call.pool = choosePool(now, rows_[path], id);
    admit(out, now, id);
    return out;
  }
  std::string const shut = closed(now, regimeOf(call));
  if (!shut.empty()) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 503, shut, true, tuning_.comeBack);
    return out;
  }
  if (!usable(now, call.replica) || !lawful(now, call)) {
    out.calls.push_back(CloseUpstream{id});
    retry(out, now, id, "replica left before sending");
    return out;
  }
  if (now >= call.until) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 503, "deadline passed", true, tuning_.comeBack);
    return out;
  }
  if (!spendQuota(now, call)) {
    out.calls.push_back(CloseUpstream{id});
    bool const ran = call.outstanding;
    reject(out, now, id, ran ? 502 : 429, ran ? "unknown, may have run; its tenant is beyond its limit" : overQuota,
           !ran, ran ? 0 : tuning_.quotaComeBack);
    return out;
  }
  if (!call.reached && !call.dispatched) budget_.first(now, call.pool);
  call.phase = Phase::handed;
  call.phaseAt = now;
  call.handedAt = now;
  call.dispatched = true;
  if (!call.request.id.empty()) {
    Seen& seen = remember(now, call.request.instance + "|" + call.request.id);
    seen.mayHaveRun = true;
    seen.reached = true;
  }
  if (call.prefix != 0) {
    count(now, prefixes_.last(call.prefix) == static_cast<std::int64_t>(call.replica) ? "prefix_kept" : "prefix_moved");
    prefixes_.served(call.prefix, call.replica);
  }
  count(now, "handed_over");
  record(out, now, call, AuditOutcome::handedOver);
  out.calls.push_back(handOver(now, id));
  return out;
}

void RequestRouter::checkHandOver(Tick now, Call const& call, Tick left) const {
  Row const& row = rows_[call.path];
  std::string const& trace = call.request.trace;
  bool const mayRepeat = row.path.repeatable || row.path.resumable || call.resumes > 0;
  CORKWARD_GUARANTEE(core::Guarantee::runsOnce, mayRepeat || !call.outstanding, trace + " is handed over once more");
  bool const bounded = !row.path.host.empty() && regimeOf(call).empty();
  bool const samePath = call.pathRevision == configurationRevision_;
  CORKWARD_GUARANTEE(
      core::Guarantee::withinAttempts,
      !bounded || !samePath || static_cast<int>(call.handedTo.size()) < std::max(row.path.maxAttempts, 1),
      trace + " is handed to replica " + std::to_string(call.handedTo.size() + 1));
  CORKWARD_GUARANTEE(core::Guarantee::allowedReplica,
                     usable(now, call.replica) && replicas_[call.replica].pool == call.pool,
                     trace + " goes to " + replicaNames_.name(call.replica));
  Tick const waited = now - call.arrived + call.request.readFor;
  CORKWARD_GUARANTEE(core::Guarantee::timeLeft,
                     call.request.deadline <= 0 || left <= std::max<Tick>(call.request.deadline - waited, 1),
                     trace + " goes on with " + std::to_string(left) + " ms");
}

SendRequest RequestRouter::handOver(Tick now, CallId id) {
  Call& call = calls_.at(id);
  Tick const left = std::max<Tick>(call.until - now, 1);
  checkHandOver(now, call, left);
  call.outstanding = true;
  call.handedTo.push_back(call.replica);
  call.judged = false;
  std::vector<PromptSegment> const& parts = call.request.segments;
  if (parts.size() > 1) {
    call.reading = unread(call, call.replica, home(call)) + parts.back().tokens;
    replicas_[call.replica].reading += call.reading;
  }
  std::optional<config::PoolSettings> const& terms = poolViews_[call.pool].terms;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    kept_.sent(call.replica, parts[i].hash, parts[i].tokens, terms ? terms->tokens / 2 : 0);
  int rank = call.urgency;
  if (!parts.empty() && tuning_.ranksBySize) {
    std::int64_t tokens = 0;
    for (PromptSegment const& p : parts) tokens += p.tokens;
    rank = tokens < tuning_.shortTokens ? 1 : tokens < tuning_.longTokens ? 3 : 5;
  }
  bool const tells = tenants_.required() && !rows_[call.path].path.host.empty();
  return SendRequest{id,
                     replicas_[call.replica].id,
                     left,
                     rank,
                     regimeOf(call),
                     tells ? std::optional<std::string>(call.tenant) : std::nullopt};
}

bool RequestRouter::mayGoOn(Tick now, Call const& call) const {
  config::Path const& path = rows_[call.path].path;
  return static_cast<int>(call.handedTo.size()) < std::max(path.maxAttempts, 1) && now < call.until;
}

bool RequestRouter::resumeElsewhere(RouterCommands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  uncount(out, now, call);
  Row const& row = rows_[call.path];
  Credit& c = credits_.at({call.pool, row.instance});
  std::int64_t chosen = choose(now, call, usableOf(now, c, true));
  if (chosen < 0 && !regimeOf(call).empty()) chosen = choose(now, call, beyondPart(now, call.pool));
  if (chosen < 0 || !servingLease(now)) return false;
  call.replica = static_cast<NameIndex>(chosen);
  if (replicas_[call.replica].state == config::ReplicaState::cold &&
      !warm_.at(call.replica).bucket.take(now, coldRate(call.pool)))
    return false;
  c.scaler.onSent(call.replica, row.path.requestClass == config::RequestClass::bulk);
  ++replicas_[call.replica].inFlight;
  call.counted = true;
  call.phase = Phase::handed;
  call.phaseAt = now;
  out.calls.push_back(Connect{id, addressOf(call.replica), row.path.path, true, false,
                              regimeOf(call).empty() ? "" : replicas_[call.replica].id, ownEvents(row.path)});
  return true;
}

void RequestRouter::retry(RouterCommands& out, Tick now, CallId id, char const* why) {
  Call& call = calls_.at(id);
  bool const again = call.dispatched;
  CORKWARD_INVARIANT(call.phase == Phase::connecting);
  call.phase = Phase::held;
  uncount(out, now, call);
  if (now >= call.until) {
    reject(out, now, id, 503, "deadline passed", true, tuning_.comeBack);
    return;
  }
  if (again && (!mayGoOn(now, call) || !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance))) {
    reject(out, now, id, 503, std::string(why) + "; no retry left", true, tuning_.comeBack);
    return;
  }
  count(now, again ? "retried_dispatched" : "retried");
  CreditKey const key{call.pool, rows_[call.path].instance};
  if (tryConnect(out, now, id)) return;
  credits_.at(key).held[lane(rows_[call.path].path.requestClass)].push_front(id);
}

void RequestRouter::takeBack(RouterCommands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  call.handedTo.pop_back();
  call.outstanding = false;
  if (call.quota == QuotaState::used) call.quota = QuotaState::taken;
  call.phase = Phase::connecting;
  call.dispatched = !call.handedTo.empty();
  if (!call.dispatched && !call.request.id.empty())
    remember(now, call.request.instance + "|" + call.request.id).mayHaveRun = false;
  record(out, now, call, AuditOutcome::notExecuted);
}

RouterCommands RequestRouter::onConnectFailure(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  bool const resuming = it->second.phase == Phase::handed && it->second.resumes > 0;
  if (!resuming && it->second.phase == Phase::handed) takeBack(out, now, id);
  if (!resuming && it->second.phase != Phase::connecting) return out;
  it->second.judged = now >= it->second.until;
  recordOutcome(out, now, it->second, true);
  if (resuming) {
    cool(it->second.replica, now + tuning_.coolFor);
    if (!rows_[it->second.path].path.stream || !resumeElsewhere(out, now, id)) breakOff(out, now, id);
    return out;
  }
  cool(it->second.replica, now + tuning_.coolFor);
  logEvent(out, now, "replica-cooled",
           {{"replica", replicaNames_.name(it->second.replica)}, {"why", "connect rejected"}});
  retry(out, now, id, "replica refused the connection");
  refreshCandidates(out, now);
  return out;
}

RouterCommands RequestRouter::onLocalConnectFailure(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call const& call = it->second;
  char const* const why = "this node is out of descriptors";
  if (call.phase == Phase::handed && call.resumes > 0) {
    breakOff(out, now, id, why);
  } else if (call.phase == Phase::connecting) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 503, why, true, tuning_.comeBack);
  }
  return out;
}

}  // namespace corkward::dataplane
