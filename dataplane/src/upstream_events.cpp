// How a request that was handed over goes on: its first word, its failure, its end, its caller leaving.
#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

RouterCommands RequestRouter::onFirstByte(Tick now, CallId id, bool runKnown) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::dispatched) return out;
  Call& call = it->second;
  Route const& row = routes_[call.path];
  bool const first = !call.runKnown && call.resumes == 0;
  finishPrefill(call);
  call.phase = Phase::streaming;
  call.phaseSince = now;
  call.runKnown = runKnown;
  if (!first) return out;
  if (isOverdue(call, now - call.dispatchedAt)) recordOutcome(out, now, call, true);
  QueueKey const key{call.pool, row.instance};
  queues_.at(key).scaler.onFirstByte(now, call.replica, now - call.dispatchedAt, row.path.latencyTarget);
  countMetric(now, "first_words");
  dispatchQueued(out, now, key);
  return out;
}

RouterCommands RequestRouter::onUpstreamError(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::dispatched) return out;
  Call& call = it->second;
  countMetric(now, "replica_failed");
  recordOutcome(out, now, call, true);
  Route const& row = routes_[call.path];
  if (call.resumes > 0 || !row.path.idempotent || !mayRetry(now, call) || !servingLease(now)) return out;
  std::int64_t chosen = chooseReplica(now, call, usableCandidates(now, queues_.at({call.pool, row.instance}), true));
  if (chosen < 0) {
    chosen = chooseReplica(now, call, candidatesBeyondSubset(now, call.pool));
  }
  if (chosen < 0) return out;
  NameIndex const replica = static_cast<NameIndex>(chosen);
  bool const cold = replicas_[replica].state == config::ReplicaState::warmingUp;
  if ((cold && !warmupLeases_.takeToken(now, replica, slowStartRate(call.pool))) ||
      !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance))
    return out;
  countMetric(now, "retried_dispatched");
  call.mayHaveRun = row.path.host.empty();
  out.calls.push_back(CloseUpstream{id});
  releaseSlot(out, now, call);
  connectTo(out, now, id, replica);
  return out;
}

RouterCommands RequestRouter::onProgress(Tick now, CallId id) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::streaming) it->second.phaseSince = now;
  return {};
}

RouterCommands RequestRouter::onUpstreamFinished(Tick now, CallId id, UpstreamResult end) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  bool const streaming = call.phase == Phase::streaming;
  CORKWARD_INVARIANT(call.phase == Phase::dispatched || streaming);
  if (end == UpstreamResult::complete || end == UpstreamResult::connectionLost)
    recordOutcome(out, now, call, end == UpstreamResult::connectionLost);
  if (end == UpstreamResult::staleConnection) {
    countMetric(now, "connection_forgotten");
    end = UpstreamResult::connectionLost;
  }
  if (end == UpstreamResult::notExecuted) {
    call.outstanding = false;
    if (call.quotaState == QuotaState::used) call.quotaState = QuotaState::taken;
  }
  if (end == UpstreamResult::complete) {
    countMetric(now, "served");
    serviceTimes_.record(routes_[call.path].path, now - call.arrived);
    recordAudit(out, now, call, AuditOutcome::served);
    dropCall(out, now, id);
    return out;
  }
  Replica const& r = replicas_[call.replica];
  Route const& row = routes_[call.path];
  bool const spent = call.resumes > 0 && !regimeOf(call).empty();
  if (end == UpstreamResult::notExecuted) recordAudit(out, now, call, AuditOutcome::notExecuted);
  if (row.path.stream || !row.path.host.empty()) {
    bool const fromStart = !streaming && call.resumes == 0;
    bool const once = !fromStart && !regimeOf(call).empty() && now < call.deadline;
    bool const again =
        (end == UpstreamResult::notExecuted || (end == UpstreamResult::connectionLost && row.path.idempotent)) &&
        !spent && (once || mayRetry(now, call)) && servingLease(now) &&
        retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
    if (end == UpstreamResult::notExecuted) {
      countMetric(now, "replica_not_run");
      backOff(call.replica, std::max(replicas_[call.replica].backoffUntil, now + tuning_.overloadBackoff));
    }
    refreshCandidates(out, now);
    if (again && !fromStart) {
      ++call.resumes;
      countMetric(now, "resumed");
      if (!resumeOnOtherReplica(out, now, id)) abortStream(out, now, id);
    } else if (again) {
      countMetric(now, "retried_dispatched");
      call.mayHaveRun = call.mayHaveRun || (end == UpstreamResult::connectionLost && row.path.host.empty());
      out.calls.push_back(CloseUpstream{id});
      call.phase = Phase::queued;
      releaseSlot(out, now, call);
      if (!attemptConnect(out, now, id))
        queues_.at({call.pool, row.instance}).waiting[lane(row.path.requestClass)].push_front(id);
    } else if (fromStart && end == UpstreamResult::notExecuted) {
      call.phase = Phase::connecting;
      reject(out, now, id, 503, "replica said not run; no retry left", true, tuning_.defaultRetryAfter);
    } else if (fromStart) {
      reject(out, now, id, 502, "unknown, may have run", false, 0);
    } else {
      abortStream(out, now, id);
    }
    return out;
  }
  if (end == UpstreamResult::notExecuted && !streaming && call.resumes == 0) {
    if (!call.request.id.empty()) requestIds_.setNotExecuted(requestIdKey(call.request));
    countMetric(now, "replica_not_run");
    backOff(call.replica, std::max(replicas_[call.replica].backoffUntil, now + tuning_.overloadBackoff));
    call.phase = Phase::connecting;
    retry(out, now, id, "replica said not run");
    return out;
  }
  bool const mayResume = end == UpstreamResult::connectionLost && call.runKnown && row.path.resumable &&
                         call.resumes < tuning_.maxResumes && !spent && allowedByRegime(now, call) && r.listed &&
                         servingLease(now) &&
                         retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
  if (mayResume) {
    ++call.resumes;
    call.phase = Phase::dispatched;
    call.phaseSince = now;
    countMetric(now, "resumed");
    out.calls.push_back(Connect{id, addressOf(call.replica), row.path.path, true, true,
                                regimeOf(call).empty() ? "" : r.id, ownEvents(row.path)});
    return out;
  }
  if (streaming || call.resumes > 0) {
    abortStream(out, now, id);
  } else {
    reject(out, now, id, 502, "unknown, may have run", false, 0);
  }
  refreshCandidates(out, now);
  return out;
}

void RequestRouter::abortStream(RouterCommands& out, Tick now, CallId id, std::string const& why) {
  countMetric(now, "broken");
  recordFailure(out, now, calls_.at(id), 0, why);
  recordAudit(out, now, calls_.at(id), AuditOutcome::aborted, why);
  out.calls.push_back(CloseUpstream{id});
  out.calls.push_back(ResetDownstream{id});
  dropCall(out, now, id);
}

RouterCommands RequestRouter::onCallerDisconnected(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
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

bool RequestRouter::outlastsDrain(Tick now, config::Path const& path) const {
  if (!draining_ || tuning_.drainTimeout <= 0) return false;
  return now + serviceTimes_.expected(path) > drainedAt_ + tuning_.drainTimeout;
}

}  // namespace corkward::dataplane
