// Regimes: which requests are bound to one, and what happens to them when certificates end or are revoked.
#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

namespace {

std::string const noRegime;

}  // namespace

std::string const& RequestRouter::regimeOf(Call const& call) const {
  if (!regimePolicy_.anyBound() || call.pathRevision == 0) return noRegime;
  NameIndex const path = call.pathRevision == routes_.revision() ? call.path : routes_.find(call.request);
  return routes_[path == core::InternedNames::none ? call.path : path].path.regime;
}

std::string RequestRouter::regimeStopReason(Milliseconds now, std::string const& regime) const {
  if (!tuning_.leaseRequired || !servingLease(now)) return "no serving lease";
  config::WallTime const wall = wallTimeAt(now);
  if (!wall) return "no wall time, so no certificate counts";
  if (regimePolicy_.declared().regimes.count(regime) == 0) return "no regime " + regime + " is declared";
  if (!config::routerMayForward(regimePolicy_.declared(), regime, partialView_.self().link, partialView_.self().zone,
                                wall))
    return "this node is not certified for regime " + regime;
  return "";
}

std::string RequestRouter::regimeRejectionReason(Milliseconds now, std::string const& regime) const {
  if (regime.empty()) return "";
  std::string reason = regimeStopReason(now, regime);
  if (reason.empty() && !tuning_.auditRecordsAvailable) reason = "no records of regimes can be kept";
  return reason;
}

config::Certificate const* RequestRouter::certificate(Milliseconds now, std::string const& regime,
                                                      NameIndex replica) const {
  Replica const& known = replicas_[replica];
  if (!known.listed) return nullptr;
  return config::findCertificate(regimePolicy_.declared(), regime, poolNames_.name(known.pool),
                                 config::Replica{known.id, known.address, known.zone, known.state}, wallTimeAt(now));
}

bool RequestRouter::allowedByRegime(Milliseconds now, Call const& call) const {
  std::string const& regime = regimeOf(call);
  return regime.empty() ||
         (regimeRejectionReason(now, regime).empty() && certificate(now, regime, call.replica) != nullptr);
}

void RequestRouter::refreshCertified(Milliseconds now) {
  if (!regimePolicy_.isStale(now)) return;
  CertifiedReplicas certified;
  for (auto const& [name, regime] : regimePolicy_.declared().regimes)
    for (PoolView const& view : pools_)
      for (NameIndex const replica : view.replicas)
        if (certificate(now, name, replica) != nullptr) certified.add(name, replica, regime.reservedFraction);
  if (!regimePolicy_.update(now, std::move(certified))) return;
  for (PoolView& view : pools_) view.changed = true;
}

scaling::Candidates RequestRouter::candidatesOf(PoolView const& view, std::string const& regime) {
  auto const candidates = view.candidates.find(regime);
  return candidates == view.candidates.end() ? scaling::Candidates() : candidates->second;
}

bool RequestRouter::certifiedFor(Milliseconds now, Call const& call, NameIndex replica) const {
  std::string const& regime = regimeOf(call);
  if (!regimePolicy_.mayUse(regime, replica)) return false;
  if (!regime.empty()) return regimeRejectionReason(now, regime).empty();
  std::optional<double> const reserved = regimePolicy_.reservedFraction(replica);
  if (!reserved) return true;
  int inFlightWithoutRegime = replicas_[replica].inFlight;
  for (auto const& [key, queue] : queues_)
    if (!regimePolicy_.regimeOf(key.second).empty()) inFlightWithoutRegime -= queue.scaler.inFlightAt(replica);
  double const limit = queues_.at({call.pool, routes_[call.path].instance}).scaler.limit();
  return inFlightWithoutRegime + 1 <= std::max(1.0, (1.0 - *reserved) * limit);
}

void RequestRouter::recordAudit(RouterCommands& out, Milliseconds now, Call const& call, AuditOutcome outcome,
                                std::string reason) {
  std::string const& regime = regimeOf(call);
  if (regime.empty()) return;
  WriteAuditRecord record;
  record.call = call.request.call;
  record.outcome = outcome;
  record.regime = regime;
  record.instance = call.request.instance;
  record.reason = std::move(reason);
  if (outcome != AuditOutcome::rejected) {
    Replica const& replica = replicas_[call.replica];
    record.pool = poolNames_.name(replica.pool);
    record.address = replica.address;
    record.incarnation = replica.id;
    record.zone = replica.zone;
    config::Certificate const* const valid = certificate(now, regime, call.replica);
    if (valid != nullptr) record.certificate = valid->name;
  }
  out.calls.push_back(std::move(record));
}

std::vector<CallId> RequestRouter::callsOfRegimes() const {
  std::vector<CallId> ids;
  for (auto const& [callId, call] : calls_)
    if (call.phase != Phase::queryingRequestId && call.phase != Phase::awaitingQuota && !regimeOf(call).empty())
      ids.push_back(callId);
  std::sort(ids.begin(), ids.end());
  return ids;
}

void RequestRouter::enforceRegimes(RouterCommands& out, Milliseconds now) {
  if (!regimePolicy_.anyBound()) return;
  refreshCertified(now);
  std::map<std::string, RegimeStatus> statuses;
  for (CallId const id : callsOfRegimes()) {
    auto const it = calls_.find(id);
    if (it == calls_.end()) continue;
    std::string const regime = regimeOf(it->second);
    auto status = statuses.find(regime);
    if (status == statuses.end()) {
      RegimeStatus const current{regimeStopReason(now, regime), regimeRejectionReason(now, regime)};
      status = statuses.emplace(regime, current).first;
    }
    enforceRegime(out, now, id, status->second);
  }
}

void RequestRouter::enforceRegime(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status) {
  Call const& call = calls_.at(id);
  bool const certified = regimePolicy_.mayUse(regimeOf(call), call.replica);
  if (call.phase == Phase::queued) {
    enforceWhileQueued(out, now, id, status);
  } else if (call.phase == Phase::connecting) {
    enforceWhileConnecting(out, now, id, status, certified);
  } else if (!status.stopReason.empty() || !certified) {
    abandonForRegime(out, now, id, status.stopReason.empty() ? "no certificate any more" : status.stopReason);
  } else if (isResumeUnsent(call) && now - call.phaseSince > tuning_.connectTimeout) {
    out.calls.push_back(CloseUpstream{id});
    RouterCommands const commands = onConnectFailure(now, id);
    out.calls.insert(out.calls.end(), commands.calls.begin(), commands.calls.end());
    out.logEvents.insert(out.logEvents.end(), commands.logEvents.begin(), commands.logEvents.end());
  }
}

void RequestRouter::enforceWhileQueued(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status) {
  Call const& call = calls_.at(id);
  std::string const& regime = regimeOf(call);
  std::vector<NameIndex> const& replicas = pools_[call.pool].replicas;
  bool const anyCertified = std::any_of(replicas.begin(), replicas.end(),
                                        [&](NameIndex const replica) { return regimePolicy_.mayUse(regime, replica); });
  if (status.rejectionReason.empty() && anyCertified) return;
  std::string const reason = anyCertified ? status.rejectionReason : "no certified replica";
  reject(out, now, id, 503, reason, true, tuning_.defaultRetryAfter);
}

void RequestRouter::enforceWhileConnecting(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status,
                                           bool certified) {
  if (status.rejectionReason.empty() && certified) return;
  out.calls.push_back(CloseUpstream{id});
  if (status.rejectionReason.empty())
    retry(out, now, id, "the certificate ended before sending");
  else
    reject(out, now, id, 503, status.rejectionReason, true, tuning_.defaultRetryAfter);
}

bool RequestRouter::isResumeUnsent(Call const& call) {
  return call.phase == Phase::dispatched && call.resumes > 0 && call.dispatchedTo.back() != call.replica;
}

void RequestRouter::abandonForRegime(RouterCommands& out, Milliseconds now, CallId id, std::string const& reason) {
  Call& call = calls_.at(id);
  Route const& route = routes_[call.path];
  countMetric(now, "regime_left", reason);
  bool const mayContinue =
      regimeRejectionReason(now, regimeOf(call)).empty() && route.path.idempotent && now < call.deadline;
  if (isResumeUnsent(call)) {
    out.calls.push_back(CloseUpstream{id});
    if (!mayContinue || !route.path.stream || !resumeOnOtherReplica(out, now, id)) abortStream(out, now, id, reason);
    return;
  }
  if (call.phase == Phase::streaming || call.resumes > 0) {
    bool const resumes = mayContinue && route.path.stream && call.runKnown && call.resumes == 0 &&
                         retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
    if (resumes) {
      ++call.resumes;
      countMetric(now, "resumed");
      out.calls.push_back(CloseUpstream{id});
    }
    if (!resumes || !resumeOnOtherReplica(out, now, id)) abortStream(out, now, id, reason);
    return;
  }
  out.calls.push_back(CloseUpstream{id});
  if (!mayContinue || !mayRetry(now, call) ||
      !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance)) {
    reject(out, now, id, 502, "unknown, may have run; " + reason, false, 0);
    return;
  }
  countMetric(now, "retried_dispatched");
  call.mayHaveRun = true;
  call.phase = Phase::queued;
  releaseSlot(out, now, call);
  connectOrQueueFirst(out, now, id);
}

}  // namespace corkward::dataplane
