// The choice of a replica for a request: usable replicas, outlier ejection, and prefix affinity.
#include <algorithm>
#include <functional>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

std::string const& RequestRouter::addressOf(NameIndex replica) const {
  return replicas_[replica].address;
}

double RequestRouter::slowStartRate(NameIndex pool) const {
  PoolView const& view = pools_[pool];
  return view.settings ? view.settings->slowStartRate : view.slowStartRate;
}

bool RequestRouter::usable(Milliseconds now, NameIndex replica) const {
  Replica const& r = replicas_[replica];
  if (!r.listed || r.unreachable || r.state == config::ReplicaState::draining || isEvacuated(r.zone) ||
      now < r.backoffUntil)
    return false;
  return r.state == config::ReplicaState::serving || warmupLeases_.holds(now, replica);
}

void RequestRouter::ejectOutliers(Milliseconds now, NameIndex pool) {
  std::vector<NameIndex> const& all = pools_[pool].replicas;
  std::vector<NameIndex> outliers;
  for (NameIndex const r : all) {
    replicas_[r].ejected = false;
    if (!replicas_[r].reliability.trusted() && usable(now, r)) outliers.push_back(r);
  }
  if (outliers.empty()) return;
  auto const serving = static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](NameIndex const r) { return usable(now, r); }));
  if (2 * outliers.size() > serving) return;
  std::sort(outliers.begin(), outliers.end(), [&](NameIndex const a, NameIndex const b) {
    return std::pair(-replicas_[a].reliability.failureRate(now, tuning_.scalerParameters), a) <
           std::pair(-replicas_[b].reliability.failureRate(now, tuning_.scalerParameters), b);
  });
  outliers.resize(std::min(outliers.size(), serving / 3));
  for (NameIndex const r : outliers) replicas_[r].ejected = true;
}

void RequestRouter::recordOutcome(RouterCommands& out, Milliseconds now, Call& call, bool bad) {
  if (call.outcomeRecorded) return;
  call.outcomeRecorded = true;
  Replica& r = replicas_[call.replica];
  bool const wasTrusted = r.reliability.trusted();
  bool const suspended = r.reliability.recordOutcome(now, bad, tuning_.scalerParameters);
  if (suspended)
    logEvent(out, now, events::replicaDistrusted,
             {{"replica", replicaNames_.name(call.replica)},
              {"rate", std::to_string(r.reliability.failureRate(now, tuning_.scalerParameters))}});
  if (!wasTrusted && r.reliability.trusted())
    logEvent(out, now, events::replicaTrusted, {{"replica", replicaNames_.name(call.replica)}});
  if (!wasTrusted || suspended) pools_[r.pool].changed = true;
  if (suspended || wasTrusted != r.reliability.trusted()) ejectOutliers(now, r.pool);
}

bool RequestRouter::isOverdue(Call const& call, Milliseconds took) const {
  Route const& route = routes_[call.path];
  double const meanTime = queues_.at({call.pool, route.instance}).scaler.firstByteMean();
  return static_cast<double>(took) >
         tuning_.scalerParameters.overdueFactor * std::max(static_cast<double>(route.path.latencyTarget), meanTime);
}

void RequestRouter::backOff(NameIndex replica, Milliseconds until) {
  replicas_[replica].backoffUntil = until;
  pools_[replicas_[replica].pool].changed = true;
}

std::vector<scaling::Candidate> RequestRouter::usableCandidates(Milliseconds now, AdmissionQueue const& queue,
                                                                bool hasCapacity) const {
  std::vector<scaling::Candidate> out;
  for (scaling::Candidate const& candidate : queue.scaler.subset()) {
    if (!usable(now, candidate.replica)) continue;
    if (candidate.warmingUp) {
      if (!warmupLeases_.hasToken(now, candidate.replica, slowStartRate(replicas_[candidate.replica].pool))) continue;
    } else if (!hasCapacity) {
      continue;
    }
    out.push_back(candidate);
  }
  return out;
}

bool RequestRouter::isAffinityCandidate(NameIndex replica) const {
  Replica const& r = replicas_[replica];
  return r.listed && !r.unreachable && r.state == config::ReplicaState::serving && !isEvacuated(r.zone);
}

void RequestRouter::isolateReplicas(PoolView const& view) {
  std::vector<std::pair<std::uint64_t, NameIndex>> byHash;
  for (NameIndex const r : view.replicas) {
    replicas_[r].isolated = false;
    if (isAffinityCandidate(r)) byHash.emplace_back(core::RandomGenerator(replicas_[r].hash).next(), r);
  }
  std::sort(byHash.begin(), byHash.end());
  byHash.resize(
      static_cast<std::size_t>(tuning_.scalerParameters.isolatedFraction * static_cast<double>(byHash.size())));
  for (std::pair<std::uint64_t, NameIndex> const& entry : byHash) replicas_[entry.second].isolated = true;
}

bool RequestRouter::needsIsolatedReplica(Call const& call) const {
  if (static_cast<double>(call.request.segments.back().tokens) <=
      tuning_.scalerParameters.targetTokensPerMs * static_cast<double>(routes_[call.path].path.latencyTarget))
    return false;
  std::vector<NameIndex> const& all = pools_[call.pool].replicas;
  return std::any_of(all.begin(), all.end(),
                     [&](NameIndex const r) { return replicas_[r].isolated && isAffinityCandidate(r); });
}

NameIndex RequestRouter::affinityReplica(Call const& call) const {
  bool const isolated = needsIsolatedReplica(call);
  std::uint64_t const sharedPrefixHash = call.request.segments[call.request.segments.size() - 2].hash;
  NameIndex best = core::InternedNames::none;
  std::uint64_t bestOrder = 0;
  for (NameIndex const r : pools_[call.pool].replicas) {
    Replica const& replica = replicas_[r];
    if (!isAffinityCandidate(r) || replica.isolated != isolated) continue;
    std::uint64_t const order = core::RandomGenerator(sharedPrefixHash ^ replica.hash).next();
    if (best != core::InternedNames::none && order >= bestOrder) continue;
    best = r;
    bestOrder = order;
  }
  return best;
}

std::int64_t RequestRouter::uncachedPrefillTokens(Call const& call, NameIndex replica,
                                                  NameIndex affinityReplica) const {
  std::int64_t out = 0;
  bool cached = true;
  for (std::size_t i = 0; i + 1 < call.request.segments.size(); ++i) {
    cached = cached && (replica == affinityReplica || prefixCache_.has(replica, call.request.segments[i].hash));
    if (!cached) out += call.request.segments[i].tokens;
  }
  return out;
}

void RequestRouter::finishPrefill(Call& call) {
  if (call.prefillTokens == 0) return;
  replicas_[call.replica].prefillTokens -= call.prefillTokens;
  call.prefillTokens = 0;
}

std::int64_t RequestRouter::chooseReplica(Milliseconds now, Call const& call,
                                          std::vector<scaling::Candidate> const& all) const {
  scaling::Scaler const& scaler = queues_.at({call.pool, routes_[call.path].instance}).scaler;
  std::vector<scaling::Candidate> choices;
  for (scaling::Candidate const& c : all)
    if (std::find(call.dispatchedTo.begin(), call.dispatchedTo.end(), c.replica) == call.dispatchedTo.end() &&
        certifiedFor(now, call, c.replica))
      choices.push_back(c);
  std::function<bool(scaling::Candidate const&)> const isAvoided = [&](scaling::Candidate const& candidate) {
    Replica const& r = replicas_[candidate.replica];
    return r.ejected && (r.reliability.isSuspended(now) || r.inFlight > 0);
  };
  if (!std::all_of(choices.begin(), choices.end(), isAvoided)) std::erase_if(choices, isAvoided);
  if (call.request.segments.size() < 2) {
    std::int64_t const last = call.prefix == 0 ? -1 : prefixes_.lastReplica(call.prefix);
    return scaling::chooseReplica(scaler, choices, call.prefix == 0 ? seed_ ^ call.request.call : call.prefix, last);
  }
  NameIndex const preferred = affinityReplica(call);
  bool const isolated = preferred != core::InternedNames::none && replicas_[preferred].isolated;
  std::unordered_map<NameIndex, double> overdueTokens;
  for (auto const& [otherId, other] : calls_) {
    if (other.phase != Phase::dispatched || other.prefillTokens == 0) continue;
    double const overdue = static_cast<double>(now - other.dispatchedAt - tuning_.scalerParameters.firstByteSlack) *
                               tuning_.scalerParameters.prefillTokensPerMs -
                           static_cast<double>(other.prefillTokens);
    double& overdueHere = overdueTokens[other.replica];
    overdueHere = std::max(overdueHere, overdue);
  }
  std::int64_t best = -1;
  double bestCost = 0;
  std::uint64_t bestOrder = 0;
  for (scaling::Candidate const& c : choices) {
    double const cost = scaler.inFlightAt(c.replica) * tuning_.scalerParameters.inFlightTokens +
                        overdueTokens[c.replica] +
                        tuning_.scalerParameters.uncachedTokenWeight *
                            static_cast<double>(uncachedPrefillTokens(call, c.replica, preferred)) +
                        static_cast<double>(replicas_[c.replica].prefillTokens) +
                        (replicas_[c.replica].isolated != isolated ? tuning_.scalerParameters.wrongGroupPenalty : 0.0);
    std::uint64_t const order =
        core::RandomGenerator(call.request.segments[call.request.segments.size() - 2].hash ^ replicas_[c.replica].hash)
            .next();
    if (best >= 0 && (cost > bestCost || (cost == bestCost && order >= bestOrder))) continue;
    best = static_cast<std::int64_t>(c.replica);
    bestCost = cost;
    bestOrder = order;
  }
  return best;
}

std::vector<scaling::Candidate> RequestRouter::candidatesBeyondSubset(Milliseconds now, NameIndex pool) const {
  std::vector<scaling::Candidate> out;
  for (NameIndex const r : pools_[pool].replicas)
    if (usable(now, r) && replicas_[r].state == config::ReplicaState::serving)
      out.push_back(scaling::Candidate{r, false, core::stableHash(replicaNames_.name(r))});
  return out;
}

}  // namespace corkward::dataplane
