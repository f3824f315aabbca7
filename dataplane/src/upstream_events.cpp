// How a request that was handed over goes on: its first word, its failure, its end, its caller leaving.
#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

namespace {

/// Part of the longest time that a path's requests took which fades with each one that is served.
constexpr Tick fadeOfTaken = 32;
/// Served requests of a path after which their times are relied on.
constexpr unsigned servedToKnow = 16;
/// Paths whose times are remembered.
constexpr std::size_t mostTaken = 4096;

}  // namespace

RouterCommands RequestRouter::firstByteReceived(Tick now, CallId id, bool runKnown) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::handed) return out;
  Call& call = it->second;
  Row const& row = rows_[call.path];
  bool const first = !call.runKnown && call.resumes == 0;
  haveRead(call);
  call.phase = Phase::streaming;
  call.phaseAt = now;
  call.runKnown = runKnown;
  if (!first) return out;
  if (overdue(call, now - call.handedAt)) recordOutcome(out, now, call, true);
  CreditKey const key{call.pool, row.instance};
  credits_.at(key).scaler.onFirstByte(now, call.replica, now - call.handedAt, row.path.latencyTarget);
  count(now, "first_words");
  pump(out, now, key);
  return out;
}

RouterCommands RequestRouter::upstreamFailed(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::handed) return out;
  Call& call = it->second;
  count(now, "replica_failed");
  recordOutcome(out, now, call, true);
  Row const& row = rows_[call.path];
  if (call.resumes > 0 || !row.path.repeatable || !mayGoOn(now, call) || !servingLease(now)) return out;
  std::int64_t chosen = choose(now, call, usableOf(now, credits_.at({call.pool, row.instance}), true));
  if (chosen < 0) {
    chosen = choose(now, call, beyondPart(now, call.pool));
  }
  if (chosen < 0) return out;
  NameIndex const replica = static_cast<NameIndex>(chosen);
  bool const cold = replicas_[replica].state == config::ReplicaState::cold;
  if ((cold && !warm_.at(replica).bucket.take(now, coldRate(call.pool))) ||
      !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance))
    return out;
  count(now, "retried_dispatched");
  call.mayHaveRun = row.path.host.empty();
  out.calls.push_back(CloseUpstream{id});
  uncount(out, now, call);
  connectTo(out, now, id, replica);
  return out;
}

RouterCommands RequestRouter::progress(Tick now, CallId id) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::streaming) it->second.phaseAt = now;
  return {};
}

RouterCommands RequestRouter::upstreamFinished(Tick now, CallId id, UpstreamResult end) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  bool const streaming = call.phase == Phase::streaming;
  CORKWARD_INVARIANT(call.phase == Phase::handed || streaming);
  if (end == UpstreamResult::complete || end == UpstreamResult::connectionLost)
    recordOutcome(out, now, call, end == UpstreamResult::connectionLost);
  if (end == UpstreamResult::staleConnection) {
    count(now, "connection_forgotten");
    end = UpstreamResult::connectionLost;
  }
  if (end == UpstreamResult::notExecuted) {
    call.outstanding = false;
    if (call.quota == QuotaState::used) call.quota = QuotaState::taken;
  }
  if (end == UpstreamResult::complete) {
    count(now, "served");
    noteTaken(call, now - call.arrived);
    record(out, now, call, AuditOutcome::served);
    drop(out, now, id);
    return out;
  }
  Replica const& r = replicas_[call.replica];
  Row const& row = rows_[call.path];
  bool const spent = call.resumes > 0 && !regimeOf(call).empty();
  if (end == UpstreamResult::notExecuted) record(out, now, call, AuditOutcome::notExecuted);
  if (row.path.stream || !row.path.host.empty()) {
    bool const fromStart = !streaming && call.resumes == 0;
    bool const once = !fromStart && !regimeOf(call).empty() && now < call.until;
    bool const again =
        (end == UpstreamResult::notExecuted || (end == UpstreamResult::connectionLost && row.path.repeatable)) &&
        !spent && (once || mayGoOn(now, call)) && servingLease(now) &&
        budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance);
    if (end == UpstreamResult::notExecuted) {
      count(now, "replica_not_run");
      cool(call.replica, std::max(replicas_[call.replica].coolUntil, now + tuning_.busyFor));
    }
    refreshCandidates(out, now);
    if (again && !fromStart) {
      ++call.resumes;
      count(now, "resumed");
      if (!resumeElsewhere(out, now, id)) breakOff(out, now, id);
    } else if (again) {
      count(now, "retried_dispatched");
      call.mayHaveRun = call.mayHaveRun || (end == UpstreamResult::connectionLost && row.path.host.empty());
      out.calls.push_back(CloseUpstream{id});
      call.phase = Phase::held;
      uncount(out, now, call);
      if (!tryConnect(out, now, id))
        credits_.at({call.pool, row.instance}).held[lane(row.path.requestClass)].push_front(id);
    } else if (fromStart && end == UpstreamResult::notExecuted) {
      call.phase = Phase::connecting;
      reject(out, now, id, 503, "replica said not run; no retry left", true, tuning_.comeBack);
    } else if (fromStart) {
      reject(out, now, id, 502, "unknown, may have run", false, 0);
    } else {
      breakOff(out, now, id);
    }
    return out;
  }
  if (end == UpstreamResult::notExecuted && !streaming && call.resumes == 0) {
    if (!call.request.id.empty()) seen_[call.request.instance + "|" + call.request.id].mayHaveRun = false;
    count(now, "replica_not_run");
    cool(call.replica, std::max(replicas_[call.replica].coolUntil, now + tuning_.busyFor));
    call.phase = Phase::connecting;
    retry(out, now, id, "replica said not run");
    return out;
  }
  bool const mayResume = end == UpstreamResult::connectionLost && call.runKnown && row.path.resumable &&
                         call.resumes < tuning_.resumes && !spent && lawful(now, call) && r.listed &&
                         servingLease(now) && budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance);
  if (mayResume) {
    ++call.resumes;
    call.phase = Phase::handed;
    call.phaseAt = now;
    count(now, "resumed");
    out.calls.push_back(Connect{id, addressOf(call.replica), row.path.path, true, true,
                                regimeOf(call).empty() ? "" : r.id, ownEvents(row.path)});
    return out;
  }
  if (streaming || call.resumes > 0) {
    breakOff(out, now, id);
  } else {
    reject(out, now, id, 502, "unknown, may have run", false, 0);
  }
  refreshCandidates(out, now);
  return out;
}

void RequestRouter::breakOff(RouterCommands& out, Tick now, CallId id, std::string const& why) {
  count(now, "broken");
  noteFailure(out, now, calls_.at(id), 0, why);
  record(out, now, calls_.at(id), AuditOutcome::broken, why);
  out.calls.push_back(CloseUpstream{id});
  out.calls.push_back(ResetDownstream{id});
  drop(out, now, id);
}

RouterCommands RequestRouter::callerDisconnected(Tick now, CallId id) {
  RouterCommands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  count(now, "caller_gone");
  noteFailure(out, now, it->second, 0, "the caller left");
  if (it->second.counted) out.calls.push_back(CloseUpstream{id});
  if (it->second.phase == Phase::handed || it->second.phase == Phase::streaming)
    record(out, now, it->second, AuditOutcome::broken, "the caller went away");
  unhold(id);
  drop(out, now, id);
  return out;
}

void RequestRouter::noteTaken(Call const& call, Tick took) {
  config::Path const& path = rows_[call.path].path;
  Taken& taken = taken_[{path.instance, path.path}];
  ++taken.served;
  taken.longest = std::max(took, taken.longest - taken.longest / fadeOfTaken);
  if (taken_.size() > mostTaken) taken_.clear();
}

bool RequestRouter::outlastsDrain(Tick now, config::Path const& path) const {
  if (!draining_ || tuning_.drainLimit <= 0) return false;
  std::map<std::pair<std::string, std::string>, Taken>::const_iterator const it =
      taken_.find({path.instance, path.path});
  bool const known = it != taken_.end() && it->second.served >= servedToKnow;
  Tick const expected = known ? std::min(path.deadline, it->second.longest * 5 / 4) : path.deadline;
  return now + expected > drainedAt_ + tuning_.drainLimit;
}

}  // namespace corkward::dataplane
