// Connecting to a replica, the last checks before the dispatch, the dispatch, and retries on other replicas.
#include <algorithm>

#include <corkward/core/guarantees.h>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::attemptConnect(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  Route const& route = routes_[call.path];
  QueueKey const key{call.pool, route.instance};
  AdmissionQueue& queue = queues_.at(key);
  bool const hasCapacity = mayAttempt(now, queue, key, call);
  std::int64_t chosen = chooseReplica(now, call, usableCandidates(now, queue, hasCapacity));
  if (chosen < 0 && hasCapacity && call.dispatched && !regimeOf(call).empty())
    chosen = chooseReplica(now, call, candidatesBeyondSubset(now, call.pool));
  if (chosen < 0) return false;
  auto const replica = static_cast<NameIndex>(chosen);
  if (replicas_[replica].state == config::ReplicaState::warmingUp) {
    bool const acquired = warmupLeases_.takeToken(now, replica, slowStartRate(call.pool));
    CORKWARD_INVARIANT(acquired);
  } else if (!queue.scaler.hasCapacity(route.path.requestClass == config::RequestClass::bulk)) {
    countMetric(now, "probed");
  }
  connectTo(out, now, id, replica);
  return true;
}

void RequestRouter::connectTo(RouterCommands& out, Milliseconds now, CallId id, NameIndex replica) {
  Call& call = calls_.at(id);
  Route const& route = routes_[call.path];
  call.phase = Phase::connecting;
  call.phaseSince = now;
  call.replica = replica;
  call.holdsSlot = true;
  AdmissionQueue& queue = queues_.at({call.pool, route.instance});
  queue.scaler.onSent(now, replica, route.path.requestClass == config::RequestClass::bulk);
  queue.stall.onSent();
  ++replicas_[replica].inFlight;
  out.calls.push_back(Connect{id, addressOf(replica), route.path.path, false, !route.path.idempotent,
                              regimeOf(call).empty() ? "" : replicas_[replica].id, isInstanceEventStream(route.path)});
}

void RequestRouter::connectOrQueueFirst(RouterCommands& out, Milliseconds now, CallId id) {
  if (attemptConnect(out, now, id)) return;
  Call const& call = calls_.at(id);
  Route const& route = routes_[call.path];
  queues_.at({call.pool, route.instance}).waiting[classIndex(route.path.requestClass)].push_front(id);
}

RouterCommands RequestRouter::onConnected(Milliseconds now, CallId id) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  if (call.phase == Phase::dispatched && call.resumes > 0) {
    dispatchResume(out, now, id);
    return out;
  }
  if (call.phase != Phase::connecting || !confirmRoute(out, now, id) || !confirmDispatch(out, now, id)) return out;
  recordDispatch(now, call);
  recordAudit(out, now, call, AuditOutcome::dispatched);
  out.calls.push_back(dispatch(now, id));
  return out;
}

void RequestRouter::dispatchResume(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  if (servingLease(now) && usable(now, call.replica) && allowedByRegime(now, call) && spendQuota(now, call)) {
    recordAudit(out, now, call, AuditOutcome::resumed);
    out.calls.push_back(dispatch(now, id));
  } else if (!routes_[call.path].path.stream || !resumeOnOtherReplica(out, now, id)) {
    abortStream(out, now, id);
  }
}

void RequestRouter::rejectConnected(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason,
                                    double retryAfter) {
  out.calls.push_back(CloseUpstream{id});
  reject(out, now, id, status, std::move(reason), true, retryAfter);
}

bool RequestRouter::confirmRoute(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  if (!servingLease(now)) {
    rejectConnected(out, now, id, 503, "no serving lease", tuning_.defaultRetryAfter);
    return false;
  }
  NameIndex const path = call.pathRevision == routes_.revision() ? call.path : routes_.find(call.request);
  if (path == core::InternedNames::none) {
    rejectConnected(out, now, id, 404, "the configuration has changed", 0);
    return false;
  }
  Route const& route = routes_[path];
  if (!identifyTenant(call, route.path)) {
    rejectConnected(out, now, id, 401, "the tenant's key was taken away", 0);
    return false;
  }
  bool const samePool = std::any_of(route.backends.begin(), route.backends.end(),
                                    [&](Route::Backend const& backend) { return backend.pool == call.pool; });
  if (samePool && route.path.regime == routes_[call.path].path.regime) return true;
  out.calls.push_back(CloseUpstream{id});
  call.phase = Phase::queued;
  releaseSlot(out, now, call);
  call.path = path;
  call.pathRevision = routes_.revision();
  call.pool = choosePool(now, route, id);
  admit(out, now, id);
  return false;
}

bool RequestRouter::confirmDispatch(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  std::string const regimeProblem = regimeRejectionReason(now, regimeOf(call));
  if (!regimeProblem.empty()) {
    rejectConnected(out, now, id, 503, regimeProblem, tuning_.defaultRetryAfter);
    return false;
  }
  if (!usable(now, call.replica) || !allowedByRegime(now, call)) {
    out.calls.push_back(CloseUpstream{id});
    retry(out, now, id, "replica left before sending");
    return false;
  }
  if (now >= call.deadline) {
    rejectConnected(out, now, id, 503, "deadline passed", tuning_.defaultRetryAfter);
    return false;
  }
  if (spendQuota(now, call)) return true;
  if (call.outstanding) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 502, "unknown, may have run; its tenant is beyond its limit", false, 0);
  } else {
    rejectConnected(out, now, id, 429, quotaExpiredReason, tuning_.quotaRetryAfter);
  }
  return false;
}

void RequestRouter::recordDispatch(Milliseconds now, Call& call) {
  if (!call.reachedReplica && !call.dispatched) retryBudgets_.onFirstAttempt(now, call.pool);
  call.phase = Phase::dispatched;
  call.phaseSince = now;
  call.dispatchedAt = now;
  call.dispatched = true;
  if (!call.request.id.empty()) {
    RequestIdRecord& record = requestIds_.use(now, requestIdKey(call.request));
    record.mayHaveRun = true;
    record.reachedReplica = true;
  }
  if (call.prefix != 0) {
    bool const sameReplica = prefixes_.lastReplica(call.prefix) == static_cast<std::int64_t>(call.replica);
    countMetric(now, sameReplica ? "prefix_kept" : "prefix_moved");
    prefixes_.recordServed(call.prefix, call.replica);
  }
  countMetric(now, "handed_over");
}

void RequestRouter::checkDispatch(Milliseconds now, Call const& call, Milliseconds remainingMs) const {
  Route const& route = routes_[call.path];
  std::string const& trace = call.request.attemptName;
  bool const mayRepeat = route.path.idempotent || route.path.resumable || call.resumes > 0;
  CORKWARD_GUARANTEE(core::Guarantee::runsOnce, mayRepeat || !call.outstanding, trace + " is handed over once more");
  bool const bounded = !route.path.host.empty() && regimeOf(call).empty();
  bool const samePath = call.pathRevision == routes_.revision();
  CORKWARD_GUARANTEE(
      core::Guarantee::withinAttempts,
      !bounded || !samePath || static_cast<int>(call.dispatchedTo.size()) < std::max(route.path.maxAttempts, 1),
      trace + " is handed to replica " + std::to_string(call.dispatchedTo.size() + 1));
  CORKWARD_GUARANTEE(core::Guarantee::allowedReplica,
                     usable(now, call.replica) && replicas_[call.replica].pool == call.pool,
                     trace + " goes to " + replicaNames_.name(call.replica));
  Milliseconds const waited = now - call.arrived + call.request.readDuration;
  CORKWARD_GUARANTEE(
      core::Guarantee::timeLeft,
      call.request.deadline <= 0 || remainingMs <= std::max<Milliseconds>(call.request.deadline - waited, 1),
      trace + " goes on with " + std::to_string(remainingMs) + " ms");
}

SendRequest RequestRouter::dispatch(Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  Milliseconds const remainingMs = std::max<Milliseconds>(call.deadline - now, 1);
  checkDispatch(now, call, remainingMs);
  call.outstanding = true;
  call.dispatchedTo.push_back(call.replica);
  call.outcomeRecorded = false;
  std::vector<PromptSegment> const& segments = call.request.segments;
  if (segments.size() > 1) {
    call.prefillTokens = uncachedPrefillTokens(call, call.replica, affinityReplica(call)) + segments.back().tokens;
    replicas_[call.replica].prefillTokens += call.prefillTokens;
  }
  std::optional<config::PoolSettings> const& poolSettings = pools_[call.pool].settings;
  for (std::size_t i = 0; i + 1 < segments.size(); ++i)
    prefixCache_.recordSent(call.replica, segments[i].hash, segments[i].tokens,
                            poolSettings ? poolSettings->prefixCacheTokens / 2 : 0);
  int urgency = call.urgency;
  if (!segments.empty() && tuning_.prioritizeByPromptSize) {
    std::int64_t tokens = 0;
    for (PromptSegment const& segment : segments) tokens += segment.tokens;
    urgency = tokens < tuning_.shortPromptTokens ? 1 : tokens < tuning_.longPromptTokens ? 3 : 5;
  }
  bool const sendsTenant = tenants_.required() && !routes_[call.path].path.host.empty();
  return SendRequest{id,
                     replicas_[call.replica].id,
                     remainingMs,
                     urgency,
                     regimeOf(call),
                     sendsTenant ? std::optional<std::string>(call.tenant) : std::nullopt};
}

bool RequestRouter::mayRetry(Milliseconds now, Call const& call) const {
  config::Path const& path = routes_[call.path].path;
  return static_cast<int>(call.dispatchedTo.size()) < std::max(path.maxAttempts, 1) && now < call.deadline;
}

bool RequestRouter::resumeOnOtherReplica(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  releaseSlot(out, now, call);
  Route const& route = routes_[call.path];
  AdmissionQueue& queue = queues_.at({call.pool, route.instance});
  std::int64_t chosen = chooseReplica(now, call, usableCandidates(now, queue, true));
  if (chosen < 0 && !regimeOf(call).empty()) chosen = chooseReplica(now, call, candidatesBeyondSubset(now, call.pool));
  if (chosen < 0 || !servingLease(now)) return false;
  call.replica = static_cast<NameIndex>(chosen);
  if (replicas_[call.replica].state == config::ReplicaState::warmingUp &&
      !warmupLeases_.takeToken(now, call.replica, slowStartRate(call.pool)))
    return false;
  queue.scaler.onSent(now, call.replica, route.path.requestClass == config::RequestClass::bulk);
  ++replicas_[call.replica].inFlight;
  call.holdsSlot = true;
  call.phase = Phase::dispatched;
  call.phaseSince = now;
  out.calls.push_back(Connect{id, addressOf(call.replica), route.path.path, true, false,
                              regimeOf(call).empty() ? "" : replicas_[call.replica].id,
                              isInstanceEventStream(route.path)});
  return true;
}

void RequestRouter::retry(RouterCommands& out, Milliseconds now, CallId id, char const* why) {
  Call& call = calls_.at(id);
  bool const wasDispatched = call.dispatched;
  CORKWARD_INVARIANT(call.phase == Phase::connecting);
  call.phase = Phase::queued;
  releaseSlot(out, now, call);
  if (now >= call.deadline) {
    reject(out, now, id, 503, "deadline passed", true, tuning_.defaultRetryAfter);
    return;
  }
  if (wasDispatched &&
      (!mayRetry(now, call) || !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance))) {
    reject(out, now, id, 503, std::string(why) + "; no retry left", true, tuning_.defaultRetryAfter);
    return;
  }
  countMetric(now, wasDispatched ? "retried_dispatched" : "retried");
  connectOrQueueFirst(out, now, id);
}

void RequestRouter::undoDispatch(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  call.dispatchedTo.pop_back();
  call.outstanding = false;
  if (call.quotaState == QuotaState::used) call.quotaState = QuotaState::acquired;
  call.phase = Phase::connecting;
  call.dispatched = !call.dispatchedTo.empty();
  if (!call.dispatched && !call.request.id.empty()) requestIds_.use(now, requestIdKey(call.request)).mayHaveRun = false;
  recordAudit(out, now, call, AuditOutcome::notExecuted);
}

RouterCommands RequestRouter::onConnectFailure(Milliseconds now, CallId id) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end()) return out;
  bool const resuming = it->second.phase == Phase::dispatched && it->second.resumes > 0;
  if (!resuming && it->second.phase == Phase::dispatched) undoDispatch(out, now, id);
  if (!resuming && it->second.phase != Phase::connecting) return out;
  it->second.outcomeRecorded = now >= it->second.deadline;
  recordOutcome(out, now, it->second, true);
  if (resuming) {
    backOff(it->second.replica, now + tuning_.connectFailureBackoff);
    if (!routes_[it->second.path].path.stream || !resumeOnOtherReplica(out, now, id)) abortStream(out, now, id);
    return out;
  }
  backOff(it->second.replica, now + tuning_.connectFailureBackoff);
  logEvent(out, now, events::replicaBackoff,
           {{"replica", replicaNames_.name(it->second.replica)}, {"why", "connect rejected"}});
  retry(out, now, id, "replica refused the connection");
  refreshCandidates(out, now);
  return out;
}

RouterCommands RequestRouter::onLocalConnectFailure(Milliseconds now, CallId id) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call const& call = it->second;
  char const* const why = "this node is out of descriptors";
  if (call.phase == Phase::dispatched && call.resumes > 0) {
    abortStream(out, now, id, why);
  } else if (call.phase == Phase::connecting) {
    out.calls.push_back(CloseUpstream{id});
    reject(out, now, id, 503, why, true, tuning_.defaultRetryAfter);
  }
  return out;
}

}  // namespace corkward::dataplane
