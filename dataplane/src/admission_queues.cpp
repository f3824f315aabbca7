// The admission queues: the subset of a pool's replicas that an instance uses, its limit, and the requests that wait.
#include <algorithm>
#include <limits>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

std::vector<std::pair<std::size_t, std::size_t>> RequestRouter::subsetSizes(std::string const& pool) const {
  std::vector<std::pair<std::size_t, std::size_t>> out;
  for (auto const& [key, queue] : queues_)
    if (poolNames_.name(key.first) == pool) out.emplace_back(queue.scaler.subset().size(), queue.queuedCount());
  return out;
}

void RequestRouter::refreshPool(Milliseconds now, NameIndex pool) {
  PoolView& view = pools_[pool];
  if (!view.changed && now < view.changesAt) return;
  view.changed = false;
  view.changesAt = std::numeric_limits<Milliseconds>::max();
  ejectOutliers(now, pool);
  isolateReplicas(view);
  std::vector<scaling::Candidate> all;
  for (NameIndex const ix : view.replicas) {
    Replica const& r = replicas_[ix];
    bool const warmingUp = r.state == config::ReplicaState::warmingUp;
    for (Milliseconds const at :
         {r.backoffUntil, warmingUp ? warmupLeases_.expiresAt(ix) : 0, r.reliability.suspendedUntil()})
      if (at > now) view.changesAt = std::min(view.changesAt, at);
    if (usable(now, ix) && !(r.ejected && r.reliability.isSuspended(now)))
      all.push_back(scaling::Candidate{ix, warmingUp, r.hash});
  }
  std::map<std::string, scaling::Candidates> candidates = regimePolicy_.candidatesByRegime(all);
  if (candidates == view.candidates && !view.bindingsChanged) return;
  view.candidates = std::move(candidates);
  view.bindingsChanged = false;
  for (auto entry = queues_.lower_bound({pool, 0}); entry != queues_.end() && entry->first.first == pool; ++entry) {
    entry->second.scaler.setCandidates(candidatesOf(view, regimePolicy_.regimeOf(entry->first.second)));
    if (!entry->second.scaler.isIdle()) activate(now, entry->first);
  }
}

void RequestRouter::refreshCandidates(RouterCommands& out, Milliseconds now) {
  refreshCertified(now);
  for (NameIndex pool = 0; pool < pools_.size(); ++pool) refreshPool(now, pool);
  std::vector<QueueKey> const keys(activeQueues_.begin(), activeQueues_.end());
  for (QueueKey const& k : keys) dispatchQueued(out, now, k);
}

void RequestRouter::activate(Milliseconds now, QueueKey const& key) {
  if (activeQueues_.insert(key).second) queues_.at(key).completions.catchUp(now);
}

RequestRouter::AdmissionQueue& RequestRouter::queueFor(RouterCommands& out, Milliseconds now, QueueKey const& key) {
  auto it = queues_.find(key);
  if (it != queues_.end()) {
    activate(now, key);
    return it->second;
  }
  refreshCandidates(out, now);
  scaling::Scaler scaler(seed_ ^ core::stableHash(partialView_.self().link + instanceNames_.name(key.second)),
                         tuning_.scalerParameters);
  scaler.setCandidates(candidatesOf(pools_[key.first], regimePolicy_.regimeOf(key.second)));
  it = queues_.emplace(key, AdmissionQueue{std::move(scaler), {}, 0, {}, {}}).first;
  activeQueues_.insert(key);
  return it->second;
}

Milliseconds RequestRouter::expectedWait(AdmissionQueue const& queue, config::RequestClass cls) const {
  std::size_t ahead = 0;
  for (std::size_t index = 0; index <= classIndex(cls); ++index) ahead += queue.waiting[index].size();
  if (ahead == 0) return 0;
  double const rate = std::max(queue.completions.perSecond(), 0.2);
  return static_cast<Milliseconds>(1000.0 * static_cast<double>(ahead) / rate);
}

double RequestRouter::retryAfter(AdmissionQueue const& queue, config::RequestClass cls) const {
  return std::clamp(static_cast<double>(expectedWait(queue, cls)) / 1000.0, tuning_.defaultRetryAfter, 30.0);
}

void RequestRouter::evaluateQueue(RouterCommands& out, Milliseconds now, QueueKey key, CallId unqueued) {
  AdmissionQueue& queue = queues_.at(key);
  std::size_t demand = 0;
  std::int64_t preferredReplica = -1;
  if (unqueued != 0) {
    Call const& call = calls_.at(unqueued);
    demand = call.isRepeatedAttempt ? 0 : 1;
    preferredReplica = affinityReplica(call);
  }
  for (std::list<CallId> const& waitingCalls : queue.waiting)
    for (CallId const id : waitingCalls) demand += calls_.at(id).isRepeatedAttempt ? 0 : 1;
  int const change = queue.scaler.evaluate(now, demand, preferredReplica);
  if (change == 0) return;
  logEvent(out, now, change > 0 ? events::subsetGrown : events::subsetShrunk,
           {{"instance", instanceNames_.name(key.second)},
            {"pool", poolNames_.name(key.first)},
            {"part", std::to_string(queue.scaler.subset().size())}});
  if (change > 0) dispatchQueued(out, now, key);
}

bool RequestRouter::mayAttempt(Milliseconds now, AdmissionQueue& queue, QueueKey key, Call const& call) const {
  bool const bulk = routes_[call.path].path.requestClass == config::RequestClass::bulk;
  if (!queue.scaler.raiseLimitFor(bulk) && !queue.scaler.isProbeDue(now)) return false;
  std::string const& regime = regimePolicy_.regimeOf(key.second);
  std::size_t const replicas = regime.empty() ? pools_[key.first].replicas.size() : queue.scaler.candidateCount();
  double const poolCap = tuning_.nodeLimitPerReplica * static_cast<double>(std::max<std::size_t>(replicas, 1));
  std::vector<std::pair<QueueKey, int>> inFlight;
  for (auto k = activeQueues_.lower_bound({key.first, 0}); k != activeQueues_.end() && k->first == key.first; ++k) {
    if (regimePolicy_.regimeOf(k->second) != regime) continue;
    AdmissionQueue const& other = queues_.at(*k);
    if (*k == key || other.scaler.inFlight() > 0 || other.queuedCount() > 0)
      inFlight.emplace_back(*k, other.scaler.inFlight());
  }
  // Each active queue is guaranteed half of an equal share of the pool's limit, whatever the other queues use.
  double const guaranteed = std::max(1.0, poolCap / (2.0 * static_cast<double>(inFlight.size())));
  if (queue.scaler.inFlight() < guaranteed) return true;
  double used = 0;
  for (std::pair<QueueKey, int> const& load : inFlight)
    used += std::max<double>(load.second, load.first == key ? 0 : guaranteed);
  return used < poolCap;
}

void RequestRouter::dispatchQueued(RouterCommands& out, Milliseconds now, QueueKey key) {
  if (dispatching_) return;
  dispatching_ = true;
  AdmissionQueue& queue = queues_.at(key);
  bool progress = true;
  while (progress && queue.queuedCount() > 0) {
    progress = false;
    ++queue.classTurn;
    std::array<std::size_t, 3> order{0, 1, 2};
    if (queue.classTurn % 8 == 0) order = {2, 1, 0};
    for (std::size_t const index : order) {
      if (queue.waiting[index].empty()) continue;
      CallId const id = queue.waiting[index].front();
      if (!attemptConnect(out, now, id)) continue;
      queue.waiting[index].pop_front();
      progress = true;
      break;
    }
  }
  dispatching_ = false;
}

void RequestRouter::releaseSlot(RouterCommands& out, Milliseconds now, Call& call) {
  finishPrefill(call);
  if (!call.holdsSlot) return;
  call.holdsSlot = false;
  Route const& route = routes_[call.path];
  QueueKey const key{call.pool, route.instance};
  AdmissionQueue& queue = queues_.at(key);
  queue.scaler.onEnded(call.replica, route.path.requestClass == config::RequestClass::bulk);
  --replicas_[call.replica].inFlight;
  queue.completions.onCompleted();
  evaluateQueue(out, now, key);
  dispatchQueued(out, now, key);
}

}  // namespace corkward::dataplane
