// What an instance may send to a pool: its subset of the replicas, its limit, and the requests that are queued.
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
    bool const cold = r.state == config::ReplicaState::warmingUp;
    for (Milliseconds const at :
         {r.backoffUntil, cold ? warmupLeases_.expiresAt(ix) : 0, r.reliability.suspendedUntil()})
      if (at > now) view.changesAt = std::min(view.changesAt, at);
    if (usable(now, ix) && !(r.ejected && r.reliability.isSuspended(now)))
      all.push_back(scaling::Candidate{ix, cold, r.hash});
  }
  std::map<std::string, scaling::Candidates> candidates = regimePolicy_.candidatesByRegime(all);
  if (candidates == view.candidates && !view.bindingsChanged) return;
  view.candidates = std::move(candidates);
  view.bindingsChanged = false;
  for (auto c = queues_.lower_bound({pool, 0}); c != queues_.end() && c->first.first == pool; ++c) {
    c->second.scaler.setCandidates(candidatesOf(view, regimePolicy_.regimeOf(c->first.second)));
    if (!c->second.scaler.isIdle()) activate(now, c->first);
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
  it = queues_.emplace(key, AdmissionQueue{std::move(scaler), {}, 0, {}}).first;
  activeQueues_.insert(key);
  return it->second;
}

Milliseconds RequestRouter::expectedWait(AdmissionQueue const& c, config::RequestClass cls) const {
  std::size_t ahead = 0;
  for (std::size_t l = 0; l <= lane(cls); ++l) ahead += c.waiting[l].size();
  if (ahead == 0) return 0;
  double const rate = std::max(c.completions.perSecond(), 0.2);
  return static_cast<Milliseconds>(1000.0 * static_cast<double>(ahead) / rate);
}

double RequestRouter::retryAfter(AdmissionQueue const& c, config::RequestClass cls) const {
  return std::clamp(static_cast<double>(expectedWait(c, cls)) / 1000.0, tuning_.defaultRetryAfter, 30.0);
}

void RequestRouter::evaluateQueue(RouterCommands& out, Milliseconds now, QueueKey key, CallId unplaced) {
  AdmissionQueue& c = queues_.at(key);
  std::size_t held = 0;
  std::int64_t wanted = -1;
  if (unplaced != 0) {
    Call const& call = calls_.at(unplaced);
    held = call.pendingEcho ? 0 : 1;
    wanted = homeReplica(call);
  }
  for (std::list<CallId> const& lane : c.waiting)
    for (CallId const id : lane) held += calls_.at(id).pendingEcho ? 0 : 1;
  int const step = c.scaler.evaluate(now, held, wanted);
  if (step == 0) return;
  logEvent(out, now, step > 0 ? events::subsetGrown : events::subsetShrunk,
           {{"instance", instanceNames_.name(key.second)},
            {"pool", poolNames_.name(key.first)},
            {"part", std::to_string(c.scaler.subset().size())}});
  if (step > 0) dispatchQueued(out, now, key);
}

bool RequestRouter::mayAttempt(Milliseconds, AdmissionQueue& c, QueueKey key, Call const& call) const {
  bool const bulk = routes_[call.path].path.requestClass == config::RequestClass::bulk;
  if (!c.scaler.raiseLimitFor(bulk)) return false;
  std::string const& regime = regimePolicy_.regimeOf(key.second);
  std::size_t const replicas = regime.empty() ? pools_[key.first].replicas.size() : c.scaler.candidateCount();
  double const poolCap = tuning_.nodeLimitPerReplica * static_cast<double>(std::max<std::size_t>(replicas, 1));
  std::vector<std::pair<QueueKey, int>> active;
  for (auto k = activeQueues_.lower_bound({key.first, 0}); k != activeQueues_.end() && k->first == key.first; ++k) {
    if (regimePolicy_.regimeOf(k->second) != regime) continue;
    AdmissionQueue const& o = queues_.at(*k);
    if (*k == key || o.scaler.inFlight() > 0 || o.queuedCount() > 0) active.emplace_back(*k, o.scaler.inFlight());
  }
  double const floor = std::max(1.0, poolCap / (2.0 * static_cast<double>(active.size())));
  if (c.scaler.inFlight() < floor) return true;
  double taken = 0;
  for (std::pair<QueueKey, int> const& a : active) taken += std::max<double>(a.second, a.first == key ? 0 : floor);
  return taken < poolCap;
}

void RequestRouter::dispatchQueued(RouterCommands& out, Milliseconds now, QueueKey key) {
  if (dispatching_) return;
  dispatching_ = true;
  AdmissionQueue& c = queues_.at(key);
  bool going = true;
  while (going && c.queuedCount() > 0) {
    going = false;
    ++c.classTurn;
    std::array<std::size_t, 3> order{0, 1, 2};
    if (c.classTurn % 8 == 0) order = {2, 1, 0};
    for (std::size_t const l : order) {
      if (c.waiting[l].empty()) continue;
      CallId const id = c.waiting[l].front();
      if (!attemptConnect(out, now, id)) continue;
      c.waiting[l].pop_front();
      going = true;
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
  AdmissionQueue& c = queues_.at(key);
  c.scaler.onEnded(call.replica, route.path.requestClass == config::RequestClass::bulk);
  --replicas_[call.replica].inFlight;
  c.completions.onCompleted();
  evaluateQueue(out, now, key);
  dispatchQueued(out, now, key);
}

}  // namespace corkward::dataplane
