#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

namespace {

std::string const unbound;

}  // namespace

std::string const& RequestRouter::regimeOf(Call const& call) const {
  if (!regimePolicy_.anyBound() || call.pathRevision == 0) return unbound;
  NameIndex const path = call.pathRevision == routes_.revision() ? call.path : routes_.find(call.request);
  return routes_[path == core::InternedNames::none ? call.path : path].path.regime;
}

std::string RequestRouter::regimeUncertainty(Milliseconds now, std::string const& regime) const {
  if (!tuning_.leaseRequired || !servingLease(now)) return "no serving lease";
  config::WallTime const wall = wallTimeAt(now);
  if (!wall) return "no wall time, so no certificate counts";
  if (regimePolicy_.declared().regimes.count(regime) == 0) return "no regime " + regime + " is declared";
  if (!config::routerMayForward(regimePolicy_.declared(), regime, partialView_.self().link, partialView_.self().zone,
                                wall))
    return "this node is not certified for regime " + regime;
  return "";
}

std::string RequestRouter::regimeRejection(Milliseconds now, std::string const& regime) const {
  if (regime.empty()) return "";
  std::string why = regimeUncertainty(now, regime);
  if (why.empty() && !tuning_.auditRecordsAvailable) why = "no records of regimes can be kept";
  return why;
}

config::Certificate const* RequestRouter::certificate(Milliseconds now, std::string const& regime,
                                                      NameIndex replica) const {
  Replica const& r = replicas_[replica];
  if (!r.listed) return nullptr;
  return config::findCertificate(regimePolicy_.declared(), regime, poolNames_.name(r.pool),
                                 config::Replica{r.id, r.address, r.zone, r.state}, wallTimeAt(now));
}

bool RequestRouter::allowedByRegime(Milliseconds now, Call const& call) const {
  std::string const& regime = regimeOf(call);
  return regime.empty() || (regimeRejection(now, regime).empty() && certificate(now, regime, call.replica) != nullptr);
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
  auto const it = view.candidates.find(regime);
  return it == view.candidates.end() ? scaling::Candidates() : it->second;
}

bool RequestRouter::certifiedFor(Milliseconds now, Call const& call, NameIndex replica) const {
  std::string const& regime = regimeOf(call);
  if (!regimePolicy_.mayUse(regime, replica)) return false;
  if (!regime.empty()) return regimeRejection(now, regime).empty();
  std::optional<double> const reserved = regimePolicy_.reservedFraction(replica);
  if (!reserved) return true;
  int others = replicas_[replica].inFlight;
  for (auto const& [key, queue] : queues_)
    if (!regimePolicy_.regimeOf(key.second).empty()) others -= queue.scaler.inFlightAt(replica);
  double const limit = queues_.at({call.pool, routes_[call.path].instance}).scaler.limit();
  return others + 1 <= std::max(1.0, (1.0 - *reserved) * limit);
}

void RequestRouter::recordAudit(RouterCommands& out, Milliseconds now, Call const& call, AuditOutcome happened,
                                std::string reason) {
  std::string const& regime = regimeOf(call);
  if (regime.empty()) return;
  WriteAuditRecord r;
  r.call = call.request.call;
  r.outcome = happened;
  r.regime = regime;
  r.instance = call.request.instance;
  r.reason = std::move(reason);
  if (happened != AuditOutcome::rejected) {
    Replica const& at = replicas_[call.replica];
    r.pool = poolNames_.name(at.pool);
    r.address = at.address;
    r.incarnation = at.id;
    r.zone = at.zone;
    config::Certificate const* const under = certificate(now, regime, call.replica);
    if (under != nullptr) r.certificate = under->name;
  }
  out.calls.push_back(std::move(r));
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
  std::map<std::string, RegimeStanding> standings;
  for (CallId const id : callsOfRegimes()) {
    auto const it = calls_.find(id);
    if (it == calls_.end()) continue;
    std::string const regime = regimeOf(it->second);
    auto standing = standings.find(regime);
    if (standing == standings.end()) {
      RegimeStanding const fresh{regimeUncertainty(now, regime), regimeRejection(now, regime)};
      standing = standings.emplace(regime, fresh).first;
    }
    enforceRegime(out, now, id, standing->second);
  }
}

void RequestRouter::enforceRegime(RouterCommands& out, Milliseconds now, CallId id, RegimeStanding const& standing) {
  Call const& call = calls_.at(id);
  bool const certified = regimePolicy_.mayUse(regimeOf(call), call.replica);
  if (call.phase == Phase::queued) {
    enforceWhileQueued(out, now, id, standing);
  } else if (call.phase == Phase::connecting) {
    enforceWhileConnecting(out, now, id, standing, certified);
  } else if (!standing.uncertainty.empty() || !certified) {
    abandonForRegime(out, now, id, standing.uncertainty.empty() ? "no certificate any more" : standing.uncertainty);
  } else if (isResumeUnsent(call) && now - call.phaseSince > tuning_.connectTimeout) {
    out.calls.push_back(CloseUpstream{id});
    RouterCommands const more = onConnectFailure(now, id);
    out.calls.insert(out.calls.end(), more.calls.begin(), more.calls.end());
    out.logEvents.insert(out.logEvents.end(), more.logEvents.begin(), more.logEvents.end());
  }
}

void RequestRouter::enforceWhileQueued(RouterCommands& out, Milliseconds now, CallId id,
                                       RegimeStanding const& standing) {
  Call const& call = calls_.at(id);
  std::string const& regime = regimeOf(call);
  std::vector<NameIndex> const& replicas = pools_[call.pool].replicas;
  bool const anyCertified = std::any_of(replicas.begin(), replicas.end(),
                                        [&](NameIndex const replica) { return regimePolicy_.mayUse(regime, replica); });
  if (standing.rejection.empty() && anyCertified) return;
  std::string const reason = anyCertified ? standing.rejection : "no certified replica";
  reject(out, now, id, 503, reason, true, tuning_.defaultRetryAfter);
}

void RequestRouter::enforceWhileConnecting(RouterCommands& out, Milliseconds now, CallId id,
                                           RegimeStanding const& standing, bool certified) {
  if (standing.rejection.empty() && certified) return;
  out.calls.push_back(CloseUpstream{id});
  if (standing.rejection.empty())
    retry(out, now, id, "the certificate ended before sending");
  else
    reject(out, now, id, 503, standing.rejection, true, tuning_.defaultRetryAfter);
}

bool RequestRouter::isResumeUnsent(Call const& call) {
  return call.phase == Phase::dispatched && call.resumes > 0 && call.dispatchedTo.back() != call.replica;
}

void RequestRouter::abandonForRegime(RouterCommands& out, Milliseconds now, CallId id, std::string const& why) {
  Call& call = calls_.at(id);
  Route const& route = routes_[call.path];
  countMetric(now, "regime_left", why);
  bool const open = regimeRejection(now, regimeOf(call)).empty() && route.path.idempotent && now < call.deadline;
  if (isResumeUnsent(call)) {
    out.calls.push_back(CloseUpstream{id});
    if (!open || !route.path.stream || !resumeOnOtherReplica(out, now, id)) abortStream(out, now, id, why);
    return;
  }
  if (call.phase == Phase::streaming || call.resumes > 0) {
    bool const again = open && route.path.stream && call.runKnown && call.resumes == 0 &&
                       retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance);
    if (again) {
      ++call.resumes;
      countMetric(now, "resumed");
      out.calls.push_back(CloseUpstream{id});
    }
    if (!again || !resumeOnOtherReplica(out, now, id)) abortStream(out, now, id, why);
    return;
  }
  out.calls.push_back(CloseUpstream{id});
  if (!open || !mayRetry(now, call) || !retryBudgets_.takeRetry(now, call.pool, rosterSize(), tuning_.retryAllowance)) {
    reject(out, now, id, 502, "unknown, may have run; " + why, false, 0);
    return;
  }
  countMetric(now, "retried_dispatched");
  call.mayHaveRun = true;
  call.phase = Phase::queued;
  releaseSlot(out, now, call);
  connectOrQueueFirst(out, now, id);
}

}  // namespace corkward::dataplane
