// What an instance may send to a pool: its part of the replicas, its cap, and the requests that wait for it.
#include <algorithm>
#include <limits>

#include "internal.h"

namespace corkward::dataplane {

std::vector<std::pair<std::size_t, std::size_t>> RequestRouter::parts(std::string const& pool) const {
  std::vector<std::pair<std::size_t, std::size_t>> out;
  for (std::map<CreditKey, Credit>::value_type const& c : credits_)
    if (pools_.name(c.first.first) == pool) out.emplace_back(c.second.scaler.subset().size(), c.second.heldCount());
  return out;
}

void RequestRouter::refreshPool(Tick now, NameIndex pool) {
  PoolView& view = poolViews_[pool];
  if (!view.changed && now < view.changesAt) return;
  view.changed = false;
  view.changesAt = std::numeric_limits<Tick>::max();
  avoidWorst(now, pool);
  setApart(view);
  std::vector<scaling::Candidate> all;
  for (NameIndex const ix : view.replicas) {
    Replica const& r = replicas_[ix];
    bool const cold = r.state == config::ReplicaState::cold;
    std::map<NameIndex, Warm>::const_iterator const w = warm_.find(ix);
    for (Tick const at : {r.coolUntil, cold && w != warm_.end() ? w->second.until : 0, r.reliability.restUntil()})
      if (at > now) view.changesAt = std::min(view.changesAt, at);
    if (usable(now, ix) && !(r.avoided && r.reliability.resting(now)))
      all.push_back(scaling::Candidate{ix, cold, r.hash});
  }
  std::map<std::string, scaling::Candidates> candidates = byRegime(all);
  if (candidates == view.candidates && !view.rebound) return;
  view.candidates = std::move(candidates);
  view.rebound = false;
  for (std::map<CreditKey, Credit>::iterator c = credits_.lower_bound({pool, 0});
       c != credits_.end() && c->first.first == pool; ++c) {
    c->second.scaler.candidates(candidatesOf(view, regimeOf(c->first.second)));
    if (!c->second.scaler.atRest()) wake(now, c->first);
  }
}

void RequestRouter::refreshCandidates(RouterCommands& out, Tick now) {
  refreshCertified(now);
  for (NameIndex pool = 0; pool < poolViews_.size(); ++pool) refreshPool(now, pool);
  std::vector<CreditKey> const keys(awake_.begin(), awake_.end());
  for (CreditKey const& k : keys) pump(out, now, k);
}

void RequestRouter::wake(Tick now, CreditKey const& key) {
  if (awake_.insert(key).second) credits_.at(key).rate.catchUp(now);
}

RequestRouter::Credit& RequestRouter::credit(RouterCommands& out, Tick now, CreditKey const& key) {
  std::map<CreditKey, Credit>::iterator it = credits_.find(key);
  if (it != credits_.end()) {
    wake(now, key);
    return it->second;
  }
  refreshCandidates(out, now);
  scaling::Scaler scaler(seed_ ^ core::stableHash(partialView_.self().link + instances_.name(key.second)),
                         tuning_.figures);
  scaler.candidates(candidatesOf(poolViews_[key.first], regimeOf(key.second)));
  it = credits_.emplace(key, Credit{std::move(scaler), {}, 0, {}}).first;
  awake_.insert(key);
  return it->second;
}

Tick RequestRouter::expectedWait(Credit const& c, config::RequestClass cls) const {
  std::size_t ahead = 0;
  for (std::size_t l = 0; l <= lane(cls); ++l) ahead += c.held[l].size();
  if (ahead == 0) return 0;
  double const rate = std::max(c.rate.perSecond(), 0.2);
  return static_cast<Tick>(1000.0 * static_cast<double>(ahead) / rate);
}

double RequestRouter::comeBack(Credit const& c, config::RequestClass cls) const {
  return std::clamp(static_cast<double>(expectedWait(c, cls)) / 1000.0, tuning_.comeBack, 30.0);
}

void RequestRouter::look(RouterCommands& out, Tick now, CreditKey key, CallId unplaced) {
  Credit& c = credits_.at(key);
  std::size_t held = 0;
  std::int64_t wanted = -1;
  if (unplaced != 0) {
    Call const& call = calls_.at(unplaced);
    held = call.echo ? 0 : 1;
    wanted = home(call);
  }
  for (std::list<CallId> const& lane : c.held)
    for (CallId const id : lane) held += calls_.at(id).echo ? 0 : 1;
  int const step = c.scaler.evaluate(now, held, wanted);
  if (step == 0) return;
  logEvent(out, now, step > 0 ? "widened" : "gave-back",
           {{"instance", instances_.name(key.second)},
            {"pool", pools_.name(key.first)},
            {"part", std::to_string(c.scaler.subset().size())}});
  if (step > 0) pump(out, now, key);
}

bool RequestRouter::mayTry(Tick, Credit& c, CreditKey key, Call const& call) const {
  bool const bulk = rows_[call.path].path.requestClass == config::RequestClass::bulk;
  if (!c.scaler.raiseLimitFor(bulk)) return false;
  std::string const& regime = regimeOf(key.second);
  std::size_t const replicas = regime.empty() ? poolViews_[key.first].replicas.size() : c.scaler.candidates();
  double const poolCap = tuning_.nodeLimitPerReplica * static_cast<double>(std::max<std::size_t>(replicas, 1));
  std::vector<std::pair<CreditKey, int>> active;
  for (std::set<CreditKey>::const_iterator k = awake_.lower_bound({key.first, 0});
       k != awake_.end() && k->first == key.first; ++k) {
    if (regimeOf(k->second) != regime) continue;
    Credit const& o = credits_.at(*k);
    if (*k == key || o.scaler.inFlight() > 0 || o.heldCount() > 0) active.emplace_back(*k, o.scaler.inFlight());
  }
  double const floor = std::max(1.0, poolCap / (2.0 * static_cast<double>(active.size())));
  if (c.scaler.inFlight() < floor) return true;
  double taken = 0;
  for (std::pair<CreditKey, int> const& a : active) taken += std::max<double>(a.second, a.first == key ? 0 : floor);
  return taken < poolCap;
}

void RequestRouter::pump(RouterCommands& out, Tick now, CreditKey key) {
  if (pumping_) return;
  pumping_ = true;
  Credit& c = credits_.at(key);
  bool going = true;
  while (going && c.heldCount() > 0) {
    going = false;
    ++c.turn;
    std::array<std::size_t, 3> order{0, 1, 2};
    if (c.turn % 8 == 0) order = {2, 1, 0};
    for (std::size_t const l : order) {
      if (c.held[l].empty()) continue;
      CallId const id = c.held[l].front();
      if (!tryConnect(out, now, id)) continue;
      c.held[l].pop_front();
      going = true;
      break;
    }
  }
  pumping_ = false;
}

void RequestRouter::uncount(RouterCommands& out, Tick now, Call& call) {
  haveRead(call);
  if (!call.counted) return;
  call.counted = false;
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  Credit& c = credits_.at(key);
  c.scaler.onEnded(call.replica, row.path.requestClass == config::RequestClass::bulk);
  --replicas_[call.replica].inFlight;
  c.rate.ended();
  look(out, now, key);
  pump(out, now, key);
}

}  // namespace corkward::dataplane
