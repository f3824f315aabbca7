#include <algorithm>
#include <functional>

#include <corkward/core/guarantees.h>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

namespace {

/// Whether a response with this status tells the caller that the request was not executed.
bool impliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

NameIndex RequestRouter::choosePool(Milliseconds now, Route const& route, CallId id) const {
  std::uint64_t totalWeight = 0;
  for (Route::Backend const& backend : route.backends) totalWeight += backend.weight;
  std::uint64_t position = core::RandomGenerator(seed_ ^ id).below(totalWeight);
  NameIndex chosen = route.pool;
  for (Route::Backend const& backend : route.backends) {
    chosen = backend.pool;
    if (position < backend.weight) break;
    position -= backend.weight;
  }
  std::function<bool(NameIndex)> const serves = [&](NameIndex pool) {
    std::vector<NameIndex> const& all = pools_[pool].replicas;
    return std::any_of(all.begin(), all.end(),
                       [&](NameIndex const r) { return usable(now, r) && regimePolicy_.mayUse(route.path.regime, r); });
  };
  if (route.backends.size() < 2 || serves(chosen)) return chosen;
  for (Route::Backend const& backend : route.backends)
    if (serves(backend.pool)) return backend.pool;
  return chosen;
}

bool RequestRouter::identifyTenant(Call& call, config::Path const& path) const {
  call.urgency = path.urgency;
  call.tenant.clear();
  if (path.host.empty() || !tenants_.required()) return true;
  config::Tenant const* const tenant = tenants_.byKey(call.request.tenantKey);
  if (tenant == nullptr) return path.isPublic;
  call.tenant = tenant->name;
  if (tenant->urgency >= 0) call.urgency = tenant->urgency;
  return true;
}

RouterCommands RequestRouter::onRequest(Milliseconds now, Request const& request) {
  RouterCommands out;
  recordLag(now);
  countMetric(now, "requests");
  CallId const id = request.call;
  Call call;
  call.request = request;
  call.phase = Phase::queryingRequestId;
  call.arrived = now;
  call.phaseSince = now;
  NameIndex const path = routes_.find(request);
  if (path != core::InternedNames::none) {
    call.path = path;
    call.pathRevision = routes_.revision();
  }
  calls_[id] = call;
  if (draining_ && now - drainedAt_ >= tuning_.drainAcceptPeriod) {
    reject(out, now, id, 503, "leaving", true, tuning_.defaultRetryAfter);
    return out;
  }
  if (!servingLease(now)) {
    reject(out, now, id, 503, "no serving lease", true, tuning_.defaultRetryAfter);
    return out;
  }
  if (path == core::InternedNames::none) {
    reject(out, now, id, 404, "no such path", true, 0);
    return out;
  }
  Route const& route = routes_[path];
  Call& storedCall = calls_[id];
  if (!identifyTenant(storedCall, route.path)) {
    reject(out, now, id, 401, "no tenant has this key", true, 0);
    return out;
  }
  if (outlastsDrain(now, route.path)) {
    reject(out, now, id, 503, "leaving before it could end", true, tuning_.defaultRetryAfter);
    return out;
  }
  storedCall.pool = choosePool(now, route, id);
  storedCall.deadline = now +
                        (request.deadline > 0 ? std::min(request.deadline, route.path.deadline) : route.path.deadline) -
                        request.readDuration;
  storedCall.prefix = request.prefix.empty() ? 0 : core::stableHash(request.instance + "|" + request.prefix);
  storedCall.isRepeatedAttempt = request.attempt > 1;
  storedCall.reachedReplica =
      request.earlierReachedReplica || (request.attempt > 1 && !request.earlierNotExecuted && route.path.resumable);
  Admission const admission = admitByQuota(out, now, storedCall);
  if (admission == Admission::pending)
    storedCall.phase = Phase::awaitingQuota;
  else if (admission == Admission::granted)
    admitOrQueue(out, now, id);
  else
    rejectOverQuota(out, now, id, admission);
  return out;
}

void RequestRouter::admitOrQueue(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  Request const& request = call.request;
  call.phase = Phase::queryingRequestId;
  if (!request.id.empty() && !claimRequestId(out, now, id)) return;
  if (!request.id.empty() && request.attempt == 0) {
    queryPeers(out, now, id);
    decideRequestId(out, now, id, false);
  } else if (request.attempt > 1 && !request.earlierNotExecuted && !routes_[call.path].path.resumable) {
    admitLaterAttempt(out, now, id);
  } else {
    admit(out, now, id);
  }
}

bool RequestRouter::claimRequestId(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  expireRequestIds(now);
  std::string const key = requestIdKey(call.request);
  RequestIdRecord const* const record = requestIds_.find(key);
  if (record != nullptr && !mayReplaceEarlier(out, now, id, *record)) return false;
  requestIds_.use(now, key).activeCall = id;
  return true;
}

bool RequestRouter::mayReplaceEarlier(RouterCommands& out, Milliseconds now, CallId id,
                                      RequestIdRecord const& earlier) {
  Call& call = calls_.at(id);
  std::uint64_t const attempt = call.request.attempt;
  bool const resumable = routes_[call.path].path.resumable;
  call.isRepeatedAttempt = true;
  call.reachedReplica = call.reachedReplica || earlier.reachedReplica;
  if (attempt > 0 && earlier.claimedByAttempt >= attempt) {
    reject(out, now, id, 409, "a later attempt went to another node", false, 0);
    return false;
  }
  if (earlier.mayHaveRun && !resumable) {
    reject(out, now, id, 409, "an earlier attempt may have run", false, 0);
    return false;
  }
  if (attempt == 0) call.earlierClaimants.insert(earlier.claimants.begin(), earlier.claimants.end());
  CallId const activeCall = earlier.activeCall;
  auto const active = calls_.find(activeCall);
  if (activeCall == 0 || activeCall == id || active == calls_.end()) return true;
  if (active->second.phase == Phase::queued || active->second.phase == Phase::queryingRequestId) {
    reject(out, now, activeCall, 409, "replaced by a later attempt", true, 0);
  } else if (!resumable) {
    reject(out, now, id, 409, "an earlier attempt is in hand", false, 0);
    return false;
  }
  return true;
}

void RequestRouter::admitLaterAttempt(RouterCommands& out, Milliseconds now, CallId id) {
  Request const& request = calls_.at(id).request;
  if (request.id.empty()) {
    reject(out, now, id, 409, "a later attempt without an id cannot be told from the first", false, 0);
  } else if (request.ageMs < 0) {
    reject(out, now, id, 409, "a later attempt that does not say its age cannot be looked up", false, 0);
  } else if (!remembersSince(now, request.ageMs)) {
    reject(out, now, id, 409, "this node does not remember far enough to say whether an earlier attempt ran", false, 0);
  } else {
    queryPeers(out, now, id);
    if (calls_.at(id).awaitedPeers.empty()) admit(out, now, id);
  }
}

void RequestRouter::admit(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  std::string const regimeProblem = regimeRejectionReason(now, regimeOf(call));
  if (!regimeProblem.empty()) {
    reject(out, now, id, 503, regimeProblem, true, tuning_.defaultRetryAfter);
    return;
  }
  Route const& route = routes_[call.path];
  QueueKey const key{call.pool, route.instance};
  bool const isNewQueue = queues_.count(key) == 0;
  AdmissionQueue& queue = queueFor(out, now, key);
  if (isNewQueue && call.request.segments.size() > 1) queue.scaler.beginWith(affinityReplica(call));
  call.phase = Phase::queued;
  if (call.reachedReplica && !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance)) {
    reject(out, now, id, 503, "no retry left for what may have reached a replica before", true,
           tuning_.defaultRetryAfter);
    return;
  }
  std::size_t const ahead = queue.queuedCount();
  if (call.request.segments.size() > 1 && !queue.scaler.has(affinityReplica(call))) evaluateQueue(out, now, key, id);
  if (ahead == 0 && attemptConnect(out, now, id)) {
    evaluateQueue(out, now, key);
    return;
  }
  std::size_t const maxQueued =
      std::max(tuning_.minQueueLength, static_cast<std::size_t>(tuning_.queuedPerCapacity * queue.scaler.cap()));
  bool const noReplica = queue.scaler.subset().empty();
  Milliseconds const wait = expectedWait(queue, route.path.requestClass);
  bool const tooLate =
      wait > static_cast<Milliseconds>(tuning_.maxQueueTargets * static_cast<double>(route.path.latencyTarget)) ||
      now + wait > call.deadline;
  bool const allSlow =
      queue.scaler.areAllSlow() && ahead >= static_cast<std::size_t>(std::max(1.0, queue.scaler.cap()));
  if (noReplica || ahead >= maxQueued || tooLate || allSlow) {
    rejectForCapacity(out, now, id, noReplica ? "no replica" : allSlow ? "all replicas slow" : "too much held");
    return;
  }
  queue.waiting[classIndex(route.path.requestClass)].push_back(id);
  evaluateQueue(out, now, key);
  dispatchQueued(out, now, key);
}

void RequestRouter::rejectForCapacity(RouterCommands& out, Milliseconds now, CallId id, std::string reason) {
  Call const& call = calls_.at(id);
  Route const& route = routes_[call.path];
  QueueKey const key{call.pool, route.instance};
  AdmissionQueue& queue = queues_.at(key);
  bool const couldBeSent =
      queue.scaler.inFlight() == 0 && chooseReplica(now, call, usableCandidates(now, queue, true)) >= 0;
  if (queue.stall.onRejected(now, couldBeSent)) {
    countMetric(now, std::string(events::requestsStalled.metricLabel()), poolNames_.name(key.first));
    out.failures.push_back(core::LogEvent{events::requestsStalled,
                                          {{"pool", poolNames_.name(key.first)},
                                           {"instance", instanceNames_.name(key.second)},
                                           {"cap", std::to_string(queue.scaler.cap())},
                                           {"reason", reason}}});
  }
  reject(out, now, id, 503, std::move(reason), true, retryAfter(queue, route.path.requestClass));
}

void RequestRouter::dequeue(CallId id) {
  Call const& call = calls_.at(id);
  if (call.phase != Phase::queued) return;
  auto const it = queues_.find({call.pool, routes_[call.path].instance});
  if (it == queues_.end()) return;
  for (std::list<CallId>& waitingCalls : it->second.waiting) waitingCalls.remove(id);
}

char const* RequestRouter::phaseName(Phase phase) {
  switch (phase) {
    case Phase::queryingRequestId:
      return "asking";
    case Phase::awaitingQuota:
      return "counting";
    case Phase::queued:
      return "held";
    case Phase::connecting:
      return "connecting";
    case Phase::dispatched:
      return "handed";
    case Phase::streaming:
      return "streaming";
  }
  return "unknown";
}

void RequestRouter::recordFailure(RouterCommands& out, Milliseconds now, Call const& call, int status,
                                  std::string const& reason) {
  bool const hasReplica = call.phase != Phase::queryingRequestId && call.phase != Phase::queued;
  Failure failure;
  failure.trace = call.request.attemptName;
  if (call.path < routes_.size() && call.pathRevision > 0) failure.path = routes_[call.path].path.instance;
  if (hasReplica && call.replica < replicas_.size()) failure.replica = replicas_[call.replica].address;
  failure.status = status;
  failure.reason = reason;
  failure.phase = phaseName(call.phase);
  failure.duration = now - call.arrived;
  failure.dispatches = call.dispatchedTo.size();
  failure.configuration = revisionOf(config::fleetConfigurationKey);
  if (std::optional<core::LogEvent> event = failures_.record(now, failure)) out.failures.push_back(std::move(*event));
}

void RequestRouter::dropCall(RouterCommands& out, Milliseconds now, CallId id) {
  Call ended = calls_.at(id);
  removeCall(now, id);
  releaseSlot(out, now, ended);
}

void RequestRouter::reject(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason,
                           bool notExecuted, double retryAfter) {
  Call& call = calls_.at(id);
  CORKWARD_INVARIANT(call.phase != Phase::streaming);
  CORKWARD_INVARIANT(!notExecuted || call.phase != Phase::dispatched);
  notExecuted = notExecuted && !call.mayHaveRun;
  bool const mustRunOnce =
      call.outstanding && !routes_[call.path].path.idempotent && !routes_[call.path].path.resumable;
  CORKWARD_GUARANTEE(core::Guarantee::notExecutedIsTrue, !mustRunOnce || (!notExecuted && !impliesNotExecuted(status)),
                     call.request.attemptName + " got " + std::to_string(status) + ": " + reason);
  dequeue(id);
  recordFailure(out, now, call, status, reason);
  countMetric(now, "denied_" + std::to_string(status), reason);
  if (!regimeOf(call).empty()) recordAudit(out, now, call, AuditOutcome::rejected, reason);
  out.calls.push_back(
      Reject{id, status, std::move(reason), notExecuted, retryAfter, call.reachedReplica || call.dispatched});
  dropCall(out, now, id);
}

}  // namespace corkward::dataplane
