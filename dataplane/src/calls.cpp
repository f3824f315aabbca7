#include <algorithm>
#include <functional>
#include <limits>

#include <corkward/core/promises.h>

#include "internal.h"

namespace corkward::dataplane {

namespace {

/// The answers with this status promise the caller that nothing ran.
bool saysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::vector<std::pair<std::size_t, std::size_t>> RequestRouter::parts(std::string const& pool) const {
  std::vector<std::pair<std::size_t, std::size_t>> out;
  for (std::map<CreditKey, Credit>::value_type const& c : credits_)
    if (pools_.name(c.first.first) == pool) out.emplace_back(c.second.scaler.part().size(), c.second.heldCount());
  return out;
}

std::string const& RequestRouter::addressOf(Index replica) const {
  return replicas_[replica].address;
}

double RequestRouter::coldRate(Index pool) const {
  PoolView const& view = poolViews_[pool];
  return view.terms ? view.terms->coldRate : view.coldRate;
}

Index RequestRouter::findPath(Request const& request) const {
  if (!request.instance.empty()) {
    std::unordered_map<std::string, Index>::const_iterator const it =
        routes_.find(request.instance + "/" + request.path);
    return it == routes_.end() ? core::Names::none : it->second;
  }
  std::string const key = request.host + request.target.substr(0, request.target.find_first_of("?#"));
  for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= request.host.size();
       slash = key.rfind('/', slash - 1)) {
    std::unordered_map<std::string, Index>::const_iterator const it = routes_.find(key.substr(0, slash + 1));
    if (it != routes_.end()) return it->second;
    if (slash == 0) break;
  }
  return core::Names::none;
}

Index RequestRouter::choosePool(Tick now, Row const& row, CallId id) const {
  std::uint64_t sum = 0;
  for (std::pair<Index, std::uint32_t> const& s : row.shares) sum += s.second;
  std::uint64_t at = core::Rng(seed_ ^ id).below(sum);
  Index chosen = row.pool;
  for (std::pair<Index, std::uint32_t> const& s : row.shares) {
    chosen = s.first;
    if (at < s.second) break;
    at -= s.second;
  }
  std::function<bool(Index)> const serves = [&](Index pool) {
    std::vector<Index> const& all = poolViews_[pool].replicas;
    return std::any_of(all.begin(), all.end(),
                       [&](Index const r) { return usable(now, r) && mayDraw(row.path.regime, r); });
  };
  if (row.shares.size() < 2 || serves(chosen)) return chosen;
  for (std::pair<Index, std::uint32_t> const& s : row.shares)
    if (serves(s.first)) return s.first;
  return chosen;
}

bool RequestRouter::usable(Tick now, Index replica) const {
  Replica const& r = replicas_[replica];
  if (!r.listed || r.away || r.state == config::ReplicaState::leaving || evacuated(r.zone) || now < r.coolUntil)
    return false;
  return r.state == config::ReplicaState::serving || warmHeld(now, replica);
}

void RequestRouter::avoidWorst(Tick now, Index pool) {
  std::vector<Index> const& all = poolViews_[pool].replicas;
  std::vector<Index> worst;
  for (Index const r : all) {
    replicas_[r].avoided = false;
    if (!replicas_[r].reliability.trusted() && usable(now, r)) worst.push_back(r);
  }
  if (worst.empty()) return;
  std::size_t const serving =
      static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](Index const r) { return usable(now, r); }));
  if (2 * worst.size() > serving) return;
  std::sort(worst.begin(), worst.end(), [&](Index const a, Index const b) {
    return std::pair(-replicas_[a].reliability.rate(now, tuning_.figures), a) <
           std::pair(-replicas_[b].reliability.rate(now, tuning_.figures), b);
  });
  worst.resize(std::min(worst.size(), serving / 3));
  for (Index const r : worst) replicas_[r].avoided = true;
}

void RequestRouter::validator(Commands& out, Tick now, Call& call, bool bad) {
  if (call.judged) return;
  call.judged = true;
  Replica& r = replicas_[call.replica];
  bool const before = r.reliability.trusted();
  bool const rests = r.reliability.outcome(now, bad, tuning_.figures);
  if (rests)
    logEvent(out, now, "replica-distrusted",
             {{"replica", replicaNames_.name(call.replica)},
              {"rate", std::to_string(r.reliability.rate(now, tuning_.figures))}});
  if (!before && r.reliability.trusted())
    logEvent(out, now, "replica-trusted", {{"replica", replicaNames_.name(call.replica)}});
  if (!before || rests) poolViews_[r.pool].changed = true;
  if (rests || before != r.reliability.trusted()) avoidWorst(now, r.pool);
}

bool RequestRouter::overdue(Call const& call, Tick took) const {
  Row const& row = rows_[call.path];
  double const usual = credits_.at({call.pool, row.instance}).scaler.firstWordMean();
  return static_cast<double>(took) > tuning_.figures.lateAims * std::max(static_cast<double>(row.path.aim), usual);
}

void RequestRouter::refreshPool(Tick now, Index pool) {
  PoolView& view = poolViews_[pool];
  if (!view.changed && now < view.changesAt) return;
  view.changed = false;
  view.changesAt = std::numeric_limits<Tick>::max();
  avoidWorst(now, pool);
  setApart(view);
  std::vector<scaling::Candidate> all;
  for (Index const ix : view.replicas) {
    Replica const& r = replicas_[ix];
    bool const cold = r.state == config::ReplicaState::cold;
    std::map<Index, Warm>::const_iterator const w = warm_.find(ix);
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

void RequestRouter::refreshCandidates(Commands& out, Tick now) {
  refreshCertified(now);
  for (Index pool = 0; pool < poolViews_.size(); ++pool) refreshPool(now, pool);
  std::vector<CreditKey> const keys(awake_.begin(), awake_.end());
  for (CreditKey const& k : keys) pump(out, now, k);
}

void RequestRouter::wake(Tick now, CreditKey const& key) {
  if (awake_.insert(key).second) credits_.at(key).rate.catchUp(now);
}

void RequestRouter::cool(Index replica, Tick until) {
  replicas_[replica].coolUntil = until;
  poolViews_[replicas_[replica].pool].changed = true;
}

RequestRouter::Credit& RequestRouter::credit(Commands& out, Tick now, CreditKey const& key) {
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

Commands RequestRouter::request(Tick now, Request const& request) {
  Commands out;
  noteLag(now);
  count(now, "requests");
  CallId const id = request.call;
  Call call;
  call.request = request;
  call.phase = Phase::asking;
  call.arrived = now;
  call.phaseAt = now;
  Index const path = findPath(request);
  if (path != core::Names::none) {
    call.path = path;
    call.pathRevision = configurationRevision_;
  }
  calls_[id] = call;
  if (draining_ && now - drainedAt_ >= tuning_.drainServe) {
    reject(out, now, id, 503, "leaving", true, tuning_.comeBack);
    return out;
  }
  if (!servingLease(now)) {
    reject(out, now, id, 503, "no serving lease", true, tuning_.comeBack);
    return out;
  }
  if (path == core::Names::none) {
    reject(out, now, id, 404, "no such path", true, 0);
    return out;
  }
  Row const& row = rows_[path];
  Call& mine = calls_[id];
  mine.pool = choosePool(now, row, id);
  mine.until = now + (request.deadline > 0 ? std::min(request.deadline, row.path.deadline) : row.path.deadline) -
               request.readFor;
  mine.prefix = request.prefix.empty() ? 0 : core::stableHash(request.instance + "|" + request.prefix);
  mine.echo = request.attempt > 1;
  mine.reached = request.earlierReached || (request.attempt > 1 && !request.earlierNotRun && row.path.resumable);
  if (!request.id.empty()) {
    expireSeen(now);
    std::string const key = request.instance + "|" + request.id;
    std::unordered_map<std::string, Seen>::iterator const it = seen_.find(key);
    if (it != seen_.end()) {
      Seen const before = it->second;
      mine.echo = true;
      mine.reached = mine.reached || before.reached;
      if (request.attempt > 0 && before.promisedAway >= request.attempt) {
        reject(out, now, id, 409, "a later attempt went to another node", false, 0);
        return out;
      }
      if (before.mayHaveRun && !row.path.resumable) {
        reject(out, now, id, 409, "an earlier attempt may have run", false, 0);
        return out;
      }
      if (request.attempt == 0) mine.claimants.insert(before.claimants.begin(), before.claimants.end());
      std::unordered_map<CallId, Call>::const_iterator const held = calls_.find(before.call);
      if (before.call != 0 && before.call != id && held != calls_.end()) {
        if (held->second.phase == Phase::held || held->second.phase == Phase::asking) {
          reject(out, now, before.call, 409, "replaced by a later attempt", true, 0);
        } else if (!row.path.resumable) {
          reject(out, now, id, 409, "an earlier attempt is in hand", false, 0);
          return out;
        }
      }
    }
    remember(now, key).call = id;
  }
  if (!request.id.empty() && request.attempt == 0) {
    askOthers(out, now, id);
    decideClaim(out, now, id, false);
    return out;
  }
  if (request.attempt > 1 && !request.earlierNotRun && !row.path.resumable) {
    if (request.id.empty()) {
      reject(out, now, id, 409, "a later attempt without an id cannot be told from the first", false, 0);
    } else if (request.age < 0) {
      reject(out, now, id, 409, "a later attempt that does not say its age cannot be looked up", false, 0);
    } else if (!remembers(now, request.age)) {
      reject(out, now, id, 409, "this node does not remember far enough to say whether an earlier attempt ran", false,
             0);
    } else {
      askOthers(out, now, id);
      if (calls_.at(id).waiting.empty()) admit(out, now, id);
    }
    return out;
  }
  admit(out, now, id);
  return out;
}

Tick RequestRouter::expectedWait(Credit const& c, config::Class cls) const {
  std::size_t ahead = 0;
  for (std::size_t l = 0; l <= lane(cls); ++l) ahead += c.held[l].size();
  if (ahead == 0) return 0;
  double const rate = std::max(c.rate.perSecond(), 0.2);
  return static_cast<Tick>(1000.0 * static_cast<double>(ahead) / rate);
}

double RequestRouter::comeBack(Credit const& c, config::Class cls) const {
  return std::clamp(static_cast<double>(expectedWait(c, cls)) / 1000.0, tuning_.comeBack, 30.0);
}

void RequestRouter::admit(Commands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  std::string const shut = closed(now, regimeOf(call));
  if (!shut.empty()) {
    reject(out, now, id, 503, shut, true, tuning_.comeBack);
    return;
  }
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  bool const fresh = credits_.count(key) == 0;
  Credit& c = credit(out, now, key);
  if (fresh && call.request.parts.size() > 1) c.scaler.begin(home(call));
  call.phase = Phase::held;
  if (call.reached && !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance)) {
    reject(out, now, id, 503, "no retry left for what may have reached a replica before", true, tuning_.comeBack);
    return;
  }
  std::size_t const ahead = c.heldCount();
  if (call.request.parts.size() > 1 && !c.scaler.has(home(call))) look(out, now, key, id);
  if (ahead == 0 && tryConnect(out, now, id)) {
    look(out, now, key);
    return;
  }
  std::size_t const bound = std::max(tuning_.heldLeast, static_cast<std::size_t>(tuning_.heldPerCap * c.scaler.cap()));
  bool const none = c.scaler.part().empty();
  Tick const wait = expectedWait(c, row.path.cls);
  bool const late =
      wait > static_cast<Tick>(tuning_.heldAims * static_cast<double>(row.path.aim)) || now + wait > call.until;
  bool const slow = c.scaler.allSlow() && ahead >= static_cast<std::size_t>(std::max(1.0, c.scaler.cap()));
  if (none || ahead >= bound || late || slow) {
    reject(out, now, id, 503,
           none   ? "no replica"
           : slow ? "all replicas slow"
                  : "too much held",
           true, comeBack(c, row.path.cls));
    return;
  }
  c.held[lane(row.path.cls)].push_back(id);
  look(out, now, key);
  pump(out, now, key);
}

void RequestRouter::look(Commands& out, Tick now, CreditKey key, CallId unplaced) {
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
  int const step = c.scaler.look(now, held, wanted);
  if (step == 0) return;
  logEvent(out, now, step > 0 ? "widened" : "gave-back",
           {{"instance", instances_.name(key.second)},
            {"pool", pools_.name(key.first)},
            {"part", std::to_string(c.scaler.part().size())}});
  if (step > 0) pump(out, now, key);
}

std::vector<scaling::Candidate> RequestRouter::usableOf(Tick now, Credit const& c, bool warmRoom) const {
  std::vector<scaling::Candidate> out;
  for (scaling::Candidate const& p : c.scaler.part()) {
    if (!usable(now, p.replica)) continue;
    if (p.cold) {
      std::map<Index, Warm>::const_iterator const w = warm_.find(p.replica);
      if (w == warm_.end() || now >= w->second.until || !w->second.bucket.has(now, coldRate(replicas_[p.replica].pool)))
        continue;
    } else if (!warmRoom) {
      continue;
    }
    out.push_back(p);
  }
  return out;
}

bool RequestRouter::mayTry(Tick, Credit& c, CreditKey key, Call const& call) const {
  bool const bulk = rows_[call.path].path.cls == config::Class::bulk;
  if (!c.scaler.makeRoom(bulk)) return false;
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

bool RequestRouter::tryConnect(Commands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  Credit& c = credits_.at(key);
  bool const room = mayTry(now, c, key, call);
  std::int64_t chosen = choose(now, call, usableOf(now, c, room));
  if (chosen < 0 && room && call.dispatched && !regimeOf(call).empty())
    chosen = choose(now, call, beyondPart(now, call.pool));
  if (chosen < 0) return false;
  Index const replica = static_cast<Index>(chosen);
  if (replicas_[replica].state == config::ReplicaState::cold) {
    bool const taken = warm_.at(replica).bucket.take(now, coldRate(call.pool));
    CORKWARD_INVARIANT(taken);
  }
  connectTo(out, now, id, replica);
  return true;
}

void RequestRouter::connectTo(Commands& out, Tick now, CallId id, Index replica) {
  Call& call = calls_.at(id);
  Row const& row = rows_[call.path];
  call.phase = Phase::connecting;
  call.phaseAt = now;
  call.replica = replica;
  call.counted = true;
  credits_.at({call.pool, row.instance}).scaler.sent(replica, row.path.cls == config::Class::bulk);
  ++replicas_[replica].inFlight;
  out.calls.push_back(Connect{id, addressOf(replica), row.path.path, false, !row.path.repeatable,
                              regimeOf(call).empty() ? "" : replicas_[replica].id, ownEvents(row.path)});
}

bool RequestRouter::mayBeHome(Index replica) const {
  Replica const& r = replicas_[replica];
  return r.listed && !r.away && r.state == config::ReplicaState::serving && !evacuated(r.zone);
}

void RequestRouter::setApart(PoolView const& view) {
  std::vector<std::pair<std::uint64_t, Index>> order;
  for (Index const r : view.replicas) {
    replicas_[r].apart = false;
    if (mayBeHome(r)) order.emplace_back(core::Rng(replicas_[r].hash).next(), r);
  }
  std::sort(order.begin(), order.end());
  order.resize(static_cast<std::size_t>(tuning_.figures.apart * static_cast<double>(order.size())));
  for (std::pair<std::uint64_t, Index> const& o : order) replicas_[o.second].apart = true;
}

bool RequestRouter::readsApart(Call const& call) const {
  if (static_cast<double>(call.request.parts.back().tokens) <=
      tuning_.figures.withinAim * static_cast<double>(rows_[call.path].path.aim))
    return false;
  std::vector<Index> const& all = poolViews_[call.pool].replicas;
  return std::any_of(all.begin(), all.end(), [&](Index const r) { return replicas_[r].apart && mayBeHome(r); });
}

Index RequestRouter::home(Call const& call) const {
  bool const apart = readsApart(call);
  std::uint64_t const shared = call.request.parts[call.request.parts.size() - 2].hash;
  Index best = core::Names::none;
  std::uint64_t bestOrder = 0;
  for (Index const r : poolViews_[call.pool].replicas) {
    Replica const& replica = replicas_[r];
    if (!mayBeHome(r) || replica.apart != apart) continue;
    std::uint64_t const order = core::Rng(shared ^ replica.hash).next();
    if (best != core::Names::none && order >= bestOrder) continue;
    best = r;
    bestOrder = order;
  }
  return best;
}

std::int64_t RequestRouter::unread(Call const& call, Index replica, Index home) const {
  std::int64_t out = 0;
  bool kept = true;
  for (std::size_t i = 0; i + 1 < call.request.parts.size(); ++i) {
    kept = kept && (replica == home || kept_.has(replica, call.request.parts[i].hash));
    if (!kept) out += call.request.parts[i].tokens;
  }
  return out;
}

void RequestRouter::haveRead(Call& call) {
  if (call.reading == 0) return;
  replicas_[call.replica].reading -= call.reading;
  call.reading = 0;
}

std::int64_t RequestRouter::choose(Tick now, Call const& call, std::vector<scaling::Candidate> const& all) const {
  scaling::Scaler const& scaler = credits_.at({call.pool, rows_[call.path].instance}).scaler;
  std::vector<scaling::Candidate> choices;
  for (scaling::Candidate const& c : all)
    if (std::find(call.handedTo.begin(), call.handedTo.end(), c.replica) == call.handedTo.end() &&
        fits(now, call, c.replica))
      choices.push_back(c);
  std::function<bool(scaling::Candidate const&)> const avoid = [&](scaling::Candidate const& c) {
    Replica const& r = replicas_[c.replica];
    return r.avoided && (r.reliability.resting(now) || r.inFlight > 0);
  };
  if (!std::all_of(choices.begin(), choices.end(), avoid)) std::erase_if(choices, avoid);
  if (call.request.parts.size() < 2) {
    std::int64_t const last = call.prefix == 0 ? -1 : prefixes_.last(call.prefix);
    return scaling::pick(scaler, choices, call.prefix == 0 ? seed_ ^ call.request.call : call.prefix, last);
  }
  Index const at = home(call);
  bool const apart = at != core::Names::none && replicas_[at].apart;
  std::unordered_map<Index, double> heldUp;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_) {
    Call const& other = c.second;
    if (other.phase != Phase::handed || other.reading == 0) continue;
    double const late =
        static_cast<double>(now - other.handedAt - tuning_.figures.wordSlack) * tuning_.figures.readPerMs -
        static_cast<double>(other.reading);
    double& worst = heldUp[other.replica];
    worst = std::max(worst, late);
  }
  std::int64_t best = -1;
  double bestCost = 0;
  std::uint64_t bestOrder = 0;
  for (scaling::Candidate const& c : choices) {
    double const cost = scaler.inFlightAt(c.replica) * tuning_.figures.inFlightTokens + heldUp[c.replica] +
                        tuning_.figures.unreadWeight * static_cast<double>(unread(call, c.replica, at)) +
                        static_cast<double>(replicas_[c.replica].reading) +
                        (replicas_[c.replica].apart != apart ? tuning_.figures.wrongKind : 0.0);
    std::uint64_t const order =
        core::Rng(call.request.parts[call.request.parts.size() - 2].hash ^ replicas_[c.replica].hash).next();
    if (best >= 0 && (cost > bestCost || (cost == bestCost && order >= bestOrder))) continue;
    best = static_cast<std::int64_t>(c.replica);
    bestCost = cost;
    bestOrder = order;
  }
  return best;
}

void RequestRouter::pump(Commands& out, Tick now, CreditKey key) {
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

void RequestRouter::unhold(CallId id) {
  Call const& call = calls_.at(id);
  if (call.phase != Phase::held) return;
  std::map<CreditKey, Credit>::iterator const it = credits_.find({call.pool, rows_[call.path].instance});
  if (it == credits_.end()) return;
  for (std::list<CallId>& lane : it->second.held) lane.remove(id);
}

void RequestRouter::uncount(Commands& out, Tick now, Call& call) {
  haveRead(call);
  if (!call.counted) return;
  call.counted = false;
  Row const& row = rows_[call.path];
  CreditKey const key{call.pool, row.instance};
  Credit& c = credits_.at(key);
  c.scaler.ended(call.replica, row.path.cls == config::Class::bulk);
  --replicas_[call.replica].inFlight;
  c.rate.ended();
  look(out, now, key);
  pump(out, now, key);
}

char const* RequestRouter::nameOf(Phase phase) {
  switch (phase) {
    case Phase::asking:
      return "asking";
    case Phase::held:
      return "held";
    case Phase::connecting:
      return "connecting";
    case Phase::handed:
      return "handed";
    case Phase::streaming:
      return "streaming";
  }
  return "unknown";
}

void RequestRouter::noteFailure(Commands& out, Tick now, Call const& call, int status, std::string const& reason) {
  bool const placed = call.phase != Phase::asking && call.phase != Phase::held;
  Failure failure;
  failure.trace = call.request.trace;
  if (call.path < rows_.size() && call.pathRevision > 0) failure.path = rows_[call.path].path.instance;
  if (placed && call.replica < replicas_.size()) failure.replica = replicas_[call.replica].address;
  failure.status = status;
  failure.reason = reason;
  failure.phase = nameOf(call.phase);
  failure.took = now - call.arrived;
  failure.handOvers = call.handedTo.size();
  failure.configuration = revisionOf(config::wholeKey);
  if (std::optional<core::LogEvent> line = failures_.note(now, failure)) out.failures.push_back(std::move(*line));
}

void RequestRouter::drop(Commands& out, Tick now, CallId id) {
  Call gone = calls_.at(id);
  forget(now, id);
  uncount(out, now, gone);
}

void RequestRouter::reject(Commands& out, Tick now, CallId id, int status, std::string reason, bool notRun,
                           double retryAfter) {
  Call& call = calls_.at(id);
  CORKWARD_INVARIANT(call.phase != Phase::streaming);
  CORKWARD_INVARIANT(!notRun || call.phase != Phase::handed);
  notRun = notRun && !call.mayHaveRun;
  bool const once = call.outstanding && !rows_[call.path].path.repeatable && !rows_[call.path].path.resumable;
  CORKWARD_PROMISE(core::Promise::notRunIsTrue, !once || (!notRun && !saysNotRun(status)),
                   call.request.trace + " got " + std::to_string(status) + ": " + reason);
  unhold(id);
  noteFailure(out, now, call, status, reason);
  count(now, "denied_" + std::to_string(status), reason);
  if (!regimeOf(call).empty()) record(out, now, call, Happened::rejected, reason);
  out.calls.push_back(Reject{id, status, std::move(reason), notRun, retryAfter, call.reached || call.dispatched});
  drop(out, now, id);
}

Commands RequestRouter::connected(Tick now, CallId id) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::handed && it->second.resumes > 0) {
    if (servingLease(now) && usable(now, it->second.replica) && lawful(now, it->second)) {
      record(out, now, it->second, Happened::resumed);
      out.calls.push_back(handOver(now, id));
    } else if (!rows_[it->second.path].path.stream || !resumeElsewhere(out, now, id)) {
      breakOff(out, now, id);
    }
    return out;
  }
  if (it == calls_.end() || it->second.phase != Phase::connecting) return out;
  Call& call = it->second;
  if (!servingLease(now)) {
    out.calls.push_back(Abandon{id});
    reject(out, now, id, 503, "no serving lease", true, tuning_.comeBack);
    return out;
  }
  Index const path = call.pathRevision == configurationRevision_ ? call.path : findPath(call.request);
  if (path == core::Names::none) {
    out.calls.push_back(Abandon{id});
    reject(out, now, id, 404, "the configuration has changed", true, 0);
    return out;
  }
  std::vector<std::pair<Index, std::uint32_t>> const& shares = rows_[path].shares;
  bool const rebound = rows_[path].path.regime != rows_[call.path].path.regime;
  if (rebound || std::none_of(shares.begin(), shares.end(),
                              [&](std::pair<Index, std::uint32_t> const& s) { return s.first == call.pool; })) {
    out.calls.push_back(Abandon{id});
    call.phase = Phase::held;
    uncount(out, now, call);
    call.path = path;
    call.pathRevision = configurationRevision_;
    call.pool = choosePool(now, rows_[path], id);
    admit(out, now, id);
    return out;
  }
  std::string const shut = closed(now, regimeOf(call));
  if (!shut.empty()) {
    out.calls.push_back(Abandon{id});
    reject(out, now, id, 503, shut, true, tuning_.comeBack);
    return out;
  }
  if (!usable(now, call.replica) || !lawful(now, call)) {
    out.calls.push_back(Abandon{id});
    retry(out, now, id, "replica left before sending");
    return out;
  }
  if (now >= call.until) {
    out.calls.push_back(Abandon{id});
    reject(out, now, id, 503, "deadline passed", true, tuning_.comeBack);
    return out;
  }
  if (!call.reached && !call.dispatched) budget_.first(now, call.pool);
  call.phase = Phase::handed;
  call.phaseAt = now;
  call.handedAt = now;
  call.dispatched = true;
  if (!call.request.id.empty()) {
    Seen& seen = remember(now, call.request.instance + "|" + call.request.id);
    seen.mayHaveRun = true;
    seen.reached = true;
  }
  if (call.prefix != 0) {
    count(now, prefixes_.last(call.prefix) == static_cast<std::int64_t>(call.replica) ? "prefix_kept" : "prefix_moved");
    prefixes_.served(call.prefix, call.replica);
  }
  count(now, "handed_over");
  record(out, now, call, Happened::handedOver);
  out.calls.push_back(handOver(now, id));
  return out;
}

void RequestRouter::checkHandOver(Tick now, Call const& call, Tick left) const {
  Row const& row = rows_[call.path];
  std::string const& trace = call.request.trace;
  bool const mayRepeat = row.path.repeatable || row.path.resumable || call.resumes > 0;
  CORKWARD_PROMISE(core::Promise::runsOnce, mayRepeat || !call.outstanding, trace + " is handed over once more");
  bool const bounded = !row.path.host.empty() && regimeOf(call).empty();
  bool const samePath = call.pathRevision == configurationRevision_;
  CORKWARD_PROMISE(core::Promise::withinTries,
                   !bounded || !samePath || static_cast<int>(call.handedTo.size()) < std::max(row.path.tries, 1),
                   trace + " is handed to replica " + std::to_string(call.handedTo.size() + 1));
  CORKWARD_PROMISE(core::Promise::allowedReplica,
                   usable(now, call.replica) && replicas_[call.replica].pool == call.pool,
                   trace + " goes to " + replicaNames_.name(call.replica));
  Tick const waited = now - call.arrived + call.request.readFor;
  CORKWARD_PROMISE(core::Promise::timeLeft,
                   call.request.deadline <= 0 || left <= std::max<Tick>(call.request.deadline - waited, 1),
                   trace + " goes on with " + std::to_string(left) + " ms");
}

HandOver RequestRouter::handOver(Tick now, CallId id) {
  Call& call = calls_.at(id);
  Tick const left = std::max<Tick>(call.until - now, 1);
  checkHandOver(now, call, left);
  call.outstanding = true;
  call.handedTo.push_back(call.replica);
  call.judged = false;
  std::vector<Part> const& parts = call.request.parts;
  if (parts.size() > 1) {
    call.reading = unread(call, call.replica, home(call)) + parts.back().tokens;
    replicas_[call.replica].reading += call.reading;
  }
  std::optional<config::PoolTerms> const& terms = poolViews_[call.pool].terms;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    kept_.sent(call.replica, parts[i].hash, parts[i].tokens, terms ? terms->tokens / 2 : 0);
  int rank = rows_[call.path].path.urgency;
  if (!parts.empty() && tuning_.ranksBySize) {
    std::int64_t tokens = 0;
    for (Part const& p : parts) tokens += p.tokens;
    rank = tokens < tuning_.shortTokens ? 1 : tokens < tuning_.longTokens ? 3 : 5;
  }
  return HandOver{id, replicas_[call.replica].id, left, rank, regimeOf(call)};
}

bool RequestRouter::mayGoOn(Tick now, Call const& call) const {
  config::Path const& path = rows_[call.path].path;
  return static_cast<int>(call.handedTo.size()) < std::max(path.tries, 1) && now < call.until;
}

std::vector<scaling::Candidate> RequestRouter::beyondPart(Tick now, Index pool) const {
  std::vector<scaling::Candidate> out;
  for (Index const r : poolViews_[pool].replicas)
    if (usable(now, r) && replicas_[r].state == config::ReplicaState::serving)
      out.push_back(scaling::Candidate{r, false, core::stableHash(replicaNames_.name(r))});
  return out;
}

bool RequestRouter::resumeElsewhere(Commands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  uncount(out, now, call);
  Row const& row = rows_[call.path];
  Credit& c = credits_.at({call.pool, row.instance});
  std::int64_t chosen = choose(now, call, usableOf(now, c, true));
  if (chosen < 0 && !regimeOf(call).empty()) chosen = choose(now, call, beyondPart(now, call.pool));
  if (chosen < 0 || !servingLease(now)) return false;
  call.replica = static_cast<Index>(chosen);
  if (replicas_[call.replica].state == config::ReplicaState::cold &&
      !warm_.at(call.replica).bucket.take(now, coldRate(call.pool)))
    return false;
  c.scaler.sent(call.replica, row.path.cls == config::Class::bulk);
  ++replicas_[call.replica].inFlight;
  call.counted = true;
  call.phase = Phase::handed;
  call.phaseAt = now;
  out.calls.push_back(Connect{id, addressOf(call.replica), row.path.path, true, false,
                              regimeOf(call).empty() ? "" : replicas_[call.replica].id, ownEvents(row.path)});
  return true;
}

void RequestRouter::retry(Commands& out, Tick now, CallId id, char const* why) {
  Call& call = calls_.at(id);
  bool const again = call.dispatched;
  CORKWARD_INVARIANT(call.phase == Phase::connecting);
  call.phase = Phase::held;
  uncount(out, now, call);
  if (now >= call.until) {
    reject(out, now, id, 503, "deadline passed", true, tuning_.comeBack);
    return;
  }
  if (again && (!mayGoOn(now, call) || !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance))) {
    reject(out, now, id, 503, std::string(why) + "; no retry left", true, tuning_.comeBack);
    return;
  }
  count(now, again ? "retried_dispatched" : "retried");
  CreditKey const key{call.pool, rows_[call.path].instance};
  if (tryConnect(out, now, id)) return;
  credits_.at(key).held[lane(rows_[call.path].path.cls)].push_front(id);
}

void RequestRouter::takeBack(Commands& out, Tick now, CallId id) {
  Call& call = calls_.at(id);
  call.handedTo.pop_back();
  call.outstanding = false;
  call.phase = Phase::connecting;
  call.dispatched = !call.handedTo.empty();
  if (!call.dispatched && !call.request.id.empty())
    remember(now, call.request.instance + "|" + call.request.id).mayHaveRun = false;
  record(out, now, call, Happened::notRun);
}

Commands RequestRouter::connectRejected(Tick now, CallId id) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  bool const resuming = it->second.phase == Phase::handed && it->second.resumes > 0;
  if (!resuming && it->second.phase == Phase::handed) takeBack(out, now, id);
  if (!resuming && it->second.phase != Phase::connecting) return out;
  it->second.judged = now >= it->second.until;
  validator(out, now, it->second, true);
  if (resuming) {
    cool(it->second.replica, now + tuning_.coolFor);
    if (!rows_[it->second.path].path.stream || !resumeElsewhere(out, now, id)) breakOff(out, now, id);
    return out;
  }
  cool(it->second.replica, now + tuning_.coolFor);
  logEvent(out, now, "replica-cooled",
           {{"replica", replicaNames_.name(it->second.replica)}, {"why", "connect rejected"}});
  retry(out, now, id, "replica refused the connection");
  refreshCandidates(out, now);
  return out;
}

Commands RequestRouter::connectImpossible(Tick now, CallId id) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call const& call = it->second;
  char const* const why = "this node is out of descriptors";
  if (call.phase == Phase::handed && call.resumes > 0) {
    breakOff(out, now, id, why);
  } else if (call.phase == Phase::connecting) {
    out.calls.push_back(Abandon{id});
    reject(out, now, id, 503, why, true, tuning_.comeBack);
  }
  return out;
}

Commands RequestRouter::firstWord(Tick now, CallId id, bool runKnown) {
  Commands out;
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
  if (overdue(call, now - call.handedAt)) validator(out, now, call, true);
  CreditKey const key{call.pool, row.instance};
  credits_.at(key).scaler.firstWord(now, call.replica, now - call.handedAt, row.path.aim);
  count(now, "first_words");
  pump(out, now, key);
  return out;
}

Commands RequestRouter::failed(Tick now, CallId id) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.phase != Phase::handed) return out;
  Call& call = it->second;
  count(now, "replica_failed");
  validator(out, now, call, true);
  Row const& row = rows_[call.path];
  if (call.resumes > 0 || !row.path.repeatable || !mayGoOn(now, call) || !servingLease(now)) return out;
  std::int64_t chosen = choose(now, call, usableOf(now, credits_.at({call.pool, row.instance}), true));
  if (chosen < 0) {
    chosen = choose(now, call, beyondPart(now, call.pool));
  }
  if (chosen < 0) return out;
  Index const replica = static_cast<Index>(chosen);
  bool const cold = replicas_[replica].state == config::ReplicaState::cold;
  if ((cold && !warm_.at(replica).bucket.take(now, coldRate(call.pool))) ||
      !budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance))
    return out;
  count(now, "retried_dispatched");
  call.mayHaveRun = row.path.host.empty();
  out.calls.push_back(Abandon{id});
  uncount(out, now, call);
  connectTo(out, now, id, replica);
  return out;
}

Commands RequestRouter::moving(Tick now, CallId id) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end() && it->second.phase == Phase::streaming) it->second.phaseAt = now;
  return {};
}

Commands RequestRouter::ended(Tick now, CallId id, End end) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  bool const streaming = call.phase == Phase::streaming;
  CORKWARD_INVARIANT(call.phase == Phase::handed || streaming);
  if (end == End::whole || end == End::broken) validator(out, now, call, end == End::broken);
  if (end == End::forgotten) {
    count(now, "connection_forgotten");
    end = End::broken;
  }
  if (end == End::notRun) call.outstanding = false;
  if (end == End::whole) {
    count(now, "served");
    record(out, now, call, Happened::served);
    drop(out, now, id);
    return out;
  }
  Replica const& r = replicas_[call.replica];
  Row const& row = rows_[call.path];
  bool const spent = call.resumes > 0 && !regimeOf(call).empty();
  if (end == End::notRun) record(out, now, call, Happened::notRun);
  if (row.path.stream || !row.path.host.empty()) {
    bool const fromStart = !streaming && call.resumes == 0;
    bool const once = !fromStart && !regimeOf(call).empty() && now < call.until;
    bool const again = (end == End::notRun || (end == End::broken && row.path.repeatable)) && !spent &&
                       (once || mayGoOn(now, call)) && servingLease(now) &&
                       budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance);
    if (end == End::notRun) {
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
      call.mayHaveRun = call.mayHaveRun || (end == End::broken && row.path.host.empty());
      out.calls.push_back(Abandon{id});
      call.phase = Phase::held;
      uncount(out, now, call);
      if (!tryConnect(out, now, id)) credits_.at({call.pool, row.instance}).held[lane(row.path.cls)].push_front(id);
    } else if (fromStart && end == End::notRun) {
      call.phase = Phase::connecting;
      reject(out, now, id, 503, "replica said not run; no retry left", true, tuning_.comeBack);
    } else if (fromStart) {
      reject(out, now, id, 502, "unknown, may have run", false, 0);
    } else {
      breakOff(out, now, id);
    }
    return out;
  }
  if (end == End::notRun && !streaming && call.resumes == 0) {
    if (!call.request.id.empty()) seen_[call.request.instance + "|" + call.request.id].mayHaveRun = false;
    count(now, "replica_not_run");
    cool(call.replica, std::max(replicas_[call.replica].coolUntil, now + tuning_.busyFor));
    call.phase = Phase::connecting;
    retry(out, now, id, "replica said not run");
    return out;
  }
  bool const mayResume = end == End::broken && call.runKnown && row.path.resumable && call.resumes < tuning_.resumes &&
                         !spent && lawful(now, call) && r.listed && servingLease(now) &&
                         budget_.retry(now, call.pool, rosterSize(), tuning_.retryAllowance);
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

void RequestRouter::breakOff(Commands& out, Tick now, CallId id, std::string const& why) {
  count(now, "broken");
  noteFailure(out, now, calls_.at(id), 0, why);
  record(out, now, calls_.at(id), Happened::broken, why);
  out.calls.push_back(Abandon{id});
  out.calls.push_back(Abort{id});
  drop(out, now, id);
}

Commands RequestRouter::callerGone(Tick now, CallId id) {
  Commands out;
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return out;
  count(now, "caller_gone");
  noteFailure(out, now, it->second, 0, "the caller left");
  if (it->second.counted) out.calls.push_back(Abandon{id});
  if (it->second.phase == Phase::handed || it->second.phase == Phase::streaming)
    record(out, now, it->second, Happened::broken, "the caller went away");
  unhold(id);
  drop(out, now, id);
  return out;
}

}  // namespace corkward::dataplane
