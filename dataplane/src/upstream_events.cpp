// Events of a dispatched request: first byte, replica failure, end of the response, and the caller's disconnect.
#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

RouterCommands RequestRouter::onFirstByte(Milliseconds now, CallId id, bool runKnown) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::dispatched) return out;
  Call& call = it->second;
  Route const& route = routes_[call.path];
  bool const first = !call.runKnown && call.resumes == 0;
  finishPrefill(call);
  call.phase = Phase::streaming;
  call.phaseSince = now;
  call.runKnown = runKnown;
  if (!first) return out;
  if (isOverdue(call, now - call.dispatchedAt)) recordOutcome(out, now, call, true);
  QueueKey const key{call.pool, route.instance};
  queues_.at(key).scaler.onFirstByte(now, call.replica, now - call.dispatchedAt, route.path.latencyTarget);
  countMetric(now, "first_words");
  dispatchQueued(out, now, key);
  return out;
}

RouterCommands RequestRouter::onUpstreamError(Milliseconds now, CallId id) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::dispatched) return out;
  Call& call = it->second;
  countMetric(now, "replica_failed");
  recordOutcome(out, now, call, true);
  Route const& route = routes_[call.path];
  if (call.resumes > 0 || !route.path.idempotent || !mayRetry(now, call) || !servingLease(now)) return out;
  std::int64_t chosen = chooseReplica(now, call, usableCandidates(now, queues_.at({call.pool, route.instance}), true));
  if (chosen < 0) {
    chosen = chooseReplica(now, call, candidatesBeyondSubset(now, call.pool));
  }
  if (chosen < 0) return out;
  auto const replica = static_cast<NameIndex>(chosen);
  bool const warmingUp = replicas_[replica].state == config::ReplicaState::warmingUp;
  if ((warmingUp && !warmupLeases_.takeToken(now, replica, slowStartRate(call.pool))) ||
      !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance))
    return out;
  countMetric(now, "retried_dispatched");
  call.mayHaveRun = route.path.host.empty();
  out.calls.push_back(CloseUpstream{id});
  releaseSlot(out, now, call);
  connectTo(out, now, id, replica);
  return out;
}

RouterCommands RequestRouter::onProgress(Milliseconds now, CallId id) {
  auto const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::streaming) it->second.phaseSince = now;
  return {};
}

UpstreamResult RequestRouter::recordUpstreamResult(RouterCommands& out, Milliseconds now, Call& call,
                                                   UpstreamResult result) {
  if (result == UpstreamResult::complete || result == UpstreamResult::connectionLost)
    recordOutcome(out, now, call, result == UpstreamResult::connectionLost);
  if (result == UpstreamResult::staleConnection) {
    countMetric(now, "connection_forgotten");
    return UpstreamResult::connectionLost;
  }
  if (result == UpstreamResult::notExecuted) {
    call.outstanding = false;
    if (call.quotaState == QuotaState::used) call.quotaState = QuotaState::acquired;
    recordAudit(out, now, call, AuditOutcome::notExecuted);
  }
  return result;
}

RouterCommands RequestRouter::onUpstreamFinished(Milliseconds now, CallId id, UpstreamResult result) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  CORKWARD_INVARIANT(call.phase == Phase::dispatched || call.phase == Phase::streaming);
  result = recordUpstreamResult(out, now, call, result);
  config::Path const& path = routes_[call.path].path;
  if (result == UpstreamResult::complete) {
    countMetric(now, "served");
    serviceTimes_.record(path, now - call.arrived);
    recordAudit(out, now, call, AuditOutcome::served);
    dropCall(out, now, id);
  } else if (path.stream || !path.host.empty()) {
    recoverStream(out, now, id, result);
  } else if (result == UpstreamResult::notExecuted && isFirstRun(call)) {
    retryNotExecuted(out, now, id);
  } else if (trySameReplicaResume(now, call, result)) {
    resumeOnSameReplica(out, now, id);
  } else {
    failUpstream(out, now, id);
    refreshCandidates(out, now);
  }
  return out;
}

bool RequestRouter::isFirstRun(Call const& call) {
  return call.phase == Phase::dispatched && call.resumes == 0;
}

bool RequestRouter::isResumeSpent(Call const& call) const {
  return call.resumes > 0 && !regimeOf(call).empty();
}

void RequestRouter::failUpstream(RouterCommands& out, Milliseconds now, CallId id) {
  if (isFirstRun(calls_.at(id)))
    reject(out, now, id, 502, "unknown, may have run", false, 0);
  else
    abortStream(out, now, id);
}

void RequestRouter::backOffOverloaded(Milliseconds now, NameIndex replica) {
  countMetric(now, "replica_not_run");
  backOff(replica, std::max(replicas_[replica].backoffUntil, now + tuning_.overloadBackoff));
}

bool RequestRouter::tryStreamRetry(Milliseconds now, Call const& call, UpstreamResult result) {
  bool const idempotent = routes_[call.path].path.idempotent;
  bool const repeatable =
      result == UpstreamResult::notExecuted || (result == UpstreamResult::connectionLost && idempotent);
  bool const resumable = !isFirstRun(call) && !regimeOf(call).empty() && now < call.deadline;
  return repeatable && !isResumeSpent(call) && (resumable || mayRetry(now, call)) && servingLease(now) &&
         retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
}

void RequestRouter::recoverStream(RouterCommands& out, Milliseconds now, CallId id, UpstreamResult result) {
  Call& call = calls_.at(id);
  bool const firstRun = isFirstRun(call);
  bool const mayRepeat = tryStreamRetry(now, call, result);
  if (result == UpstreamResult::notExecuted) backOffOverloaded(now, call.replica);
  refreshCandidates(out, now);
  if (mayRepeat && !firstRun) {
    ++call.resumes;
    countMetric(now, "resumed");
    if (!resumeOnOtherReplica(out, now, id)) abortStream(out, now, id);
  } else if (mayRepeat) {
    bool const isInstancePath = routes_[call.path].path.host.empty();
    countMetric(now, "retried_dispatched");
    call.mayHaveRun = call.mayHaveRun || (result == UpstreamResult::connectionLost && isInstancePath);
    out.calls.push_back(CloseUpstream{id});
    call.phase = Phase::queued;
    releaseSlot(out, now, call);
    connectOrQueueFirst(out, now, id);
  } else if (firstRun && result == UpstreamResult::notExecuted) {
    call.phase = Phase::connecting;
    reject(out, now, id, 503, "replica said not run; no retry left", true, tuning_.defaultRetryAfter);
  } else {
    failUpstream(out, now, id);
  }
}

void RequestRouter::retryNotExecuted(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  if (!call.request.id.empty()) requestIds_.setNotExecuted(requestIdKey(call.request));
  backOffOverloaded(now, call.replica);
  call.phase = Phase::connecting;
  retry(out, now, id, "replica said not run");
}

bool RequestRouter::trySameReplicaResume(Milliseconds now, Call const& call, UpstreamResult result) {
  return result == UpstreamResult::connectionLost && call.runKnown && routes_[call.path].path.resumable &&
         call.resumes < tuning_.maxResumes && !isResumeSpent(call) && allowedByRegime(now, call) &&
         replicas_[call.replica].listed && servingLease(now) &&
         retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
}

void RequestRouter::resumeOnSameReplica(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  ++call.resumes;
  call.phase = Phase::dispatched;
  call.phaseSince = now;
  countMetric(now, "resumed");
  config::Path const& path = routes_[call.path].path;
  std::string const incarnation = regimeOf(call).empty() ? "" : replicas_[call.replica].id;
  out.calls.push_back(
      Connect{id, addressOf(call.replica), path.path, true, true, incarnation, isInstanceEventStream(path)});
}

void RequestRouter::abortStream(RouterCommands& out, Milliseconds now, CallId id, std::string const& why) {
  countMetric(now, "broken");
  recordFailure(out, now, calls_.at(id), 0, why);
  recordAudit(out, now, calls_.at(id), AuditOutcome::aborted, why);
  out.calls.push_back(CloseUpstream{id});
  out.calls.push_back(ResetDownstream{id});
  dropCall(out, now, id);
}

RouterCommands RequestRouter::onCallerDisconnected(Milliseconds now, CallId id) {
  RouterCommands out;
  auto const it = calls_.find(id);
  if (it == calls_.end()) return out;
  countMetric(now, "caller_gone");
  recordFailure(out, now, it->second, 0, "the caller left");
  if (it->second.holdsSlot) out.calls.push_back(CloseUpstream{id});
  if (it->second.phase == Phase::dispatched || it->second.phase == Phase::streaming)
    recordAudit(out, now, it->second, AuditOutcome::aborted, "the caller went away");
  dequeue(id);
  dropCall(out, now, id);
  return out;
}

bool RequestRouter::outlastsDrain(Milliseconds now, config::Path const& path) const {
  if (!draining_ || tuning_.drainTimeout <= 0) return false;
  return now + serviceTimes_.expected(path) > drainedAt_ + tuning_.drainTimeout;
}

}  // namespace corkward::dataplane
