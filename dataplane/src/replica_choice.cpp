// Which replica a request goes to: those that may be used, those that failed too often, where its prefix is kept.
#include <algorithm>
#include <functional>

#include "internal.h"

namespace corkward::dataplane {

std::string const& RequestRouter::addressOf(NameIndex replica) const {
  return replicas_[replica].address;
}

double RequestRouter::coldRate(NameIndex pool) const {
  PoolView const& view = poolViews_[pool];
  return view.terms ? view.terms->coldRate : view.coldRate;
}

bool RequestRouter::usable(Tick now, NameIndex replica) const {
  Replica const& r = replicas_[replica];
  if (!r.listed || r.away || r.state == config::ReplicaState::leaving || evacuated(r.zone) || now < r.coolUntil)
    return false;
  return r.state == config::ReplicaState::serving || warmHeld(now, replica);
}

void RequestRouter::avoidWorst(Tick now, NameIndex pool) {
  std::vector<NameIndex> const& all = poolViews_[pool].replicas;
  std::vector<NameIndex> worst;
  for (NameIndex const r : all) {
    replicas_[r].avoided = false;
    if (!replicas_[r].reliability.trusted() && usable(now, r)) worst.push_back(r);
  }
  if (worst.empty()) return;
  std::size_t const serving = static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](NameIndex const r) { return usable(now, r); }));
  if (2 * worst.size() > serving) return;
  std::sort(worst.begin(), worst.end(), [&](NameIndex const a, NameIndex const b) {
    return std::pair(-replicas_[a].reliability.rate(now, tuning_.figures), a) <
           std::pair(-replicas_[b].reliability.rate(now, tuning_.figures), b);
  });
  worst.resize(std::min(worst.size(), serving / 3));
  for (NameIndex const r : worst) replicas_[r].avoided = true;
}

void RequestRouter::recordOutcome(RouterCommands& out, Tick now, Call& call, bool bad) {
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
  double const usual = credits_.at({call.pool, row.instance}).scaler.firstByteMean();
  return static_cast<double>(took) >
         tuning_.figures.lateAims * std::max(static_cast<double>(row.path.latencyTarget), usual);
}

void RequestRouter::cool(NameIndex replica, Tick until) {
  replicas_[replica].coolUntil = until;
  poolViews_[replicas_[replica].pool].changed = true;
}

std::vector<scaling::Candidate> RequestRouter::usableOf(Tick now, Credit const& c, bool warmRoom) const {
  std::vector<scaling::Candidate> out;
  for (scaling::Candidate const& p : c.scaler.subset()) {
    if (!usable(now, p.replica)) continue;
    if (p.cold) {
      std::map<NameIndex, Warm>::const_iterator const w = warm_.find(p.replica);
      if (w == warm_.end() || now >= w->second.until || !w->second.bucket.has(now, coldRate(replicas_[p.replica].pool)))
        continue;
    } else if (!warmRoom) {
      continue;
    }
    out.push_back(p);
  }
  return out;
}

bool RequestRouter::mayBeHome(NameIndex replica) const {
  Replica const& r = replicas_[replica];
  return r.listed && !r.away && r.state == config::ReplicaState::serving && !evacuated(r.zone);
}

void RequestRouter::setApart(PoolView const& view) {
  std::vector<std::pair<std::uint64_t, NameIndex>> order;
  for (NameIndex const r : view.replicas) {
    replicas_[r].apart = false;
    if (mayBeHome(r)) order.emplace_back(core::RandomGenerator(replicas_[r].hash).next(), r);
  }
  std::sort(order.begin(), order.end());
  order.resize(static_cast<std::size_t>(tuning_.figures.isolatedShare * static_cast<double>(order.size())));
  for (std::pair<std::uint64_t, NameIndex> const& o : order) replicas_[o.second].apart = true;
}

bool RequestRouter::readsApart(Call const& call) const {
  if (static_cast<double>(call.request.segments.back().tokens) <=
      tuning_.figures.withinAim * static_cast<double>(rows_[call.path].path.latencyTarget))
    return false;
  std::vector<NameIndex> const& all = poolViews_[call.pool].replicas;
  return std::any_of(all.begin(), all.end(), [&](NameIndex const r) { return replicas_[r].apart && mayBeHome(r); });
}

NameIndex RequestRouter::home(Call const& call) const {
  bool const apart = readsApart(call);
  std::uint64_t const shared = call.request.segments[call.request.segments.size() - 2].hash;
  NameIndex best = core::InternedNames::none;
  std::uint64_t bestOrder = 0;
  for (NameIndex const r : poolViews_[call.pool].replicas) {
    Replica const& replica = replicas_[r];
    if (!mayBeHome(r) || replica.apart != apart) continue;
    std::uint64_t const order = core::RandomGenerator(shared ^ replica.hash).next();
    if (best != core::InternedNames::none && order >= bestOrder) continue;
    best = r;
    bestOrder = order;
  }
  return best;
}

std::int64_t RequestRouter::unread(Call const& call, NameIndex replica, NameIndex home) const {
  std::int64_t out = 0;
  bool kept = true;
  for (std::size_t i = 0; i + 1 < call.request.segments.size(); ++i) {
    kept = kept && (replica == home || kept_.has(replica, call.request.segments[i].hash));
    if (!kept) out += call.request.segments[i].tokens;
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
  if (call.request.segments.size() < 2) {
    std::int64_t const last = call.prefix == 0 ? -1 : prefixes_.last(call.prefix);
    return scaling::chooseReplica(scaler, choices, call.prefix == 0 ? seed_ ^ call.request.call : call.prefix, last);
  }
  NameIndex const at = home(call);
  bool const apart = at != core::InternedNames::none && replicas_[at].apart;
  std::unordered_map<NameIndex, double> heldUp;
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
        core::RandomGenerator(call.request.segments[call.request.segments.size() - 2].hash ^ replicas_[c.replica].hash)
            .next();
    if (best >= 0 && (cost > bestCost || (cost == bestCost && order >= bestOrder))) continue;
    best = static_cast<std::int64_t>(c.replica);
    bestCost = cost;
    bestOrder = order;
  }
  return best;
}

std::vector<scaling::Candidate> RequestRouter::beyondPart(Tick now, NameIndex pool) const {
  std::vector<scaling::Candidate> out;
  for (NameIndex const r : poolViews_[pool].replicas)
    if (usable(now, r) && replicas_[r].state == config::ReplicaState::serving)
      out.push_back(scaling::Candidate{r, false, core::stableHash(replicaNames_.name(r))});
  return out;
}

}  // namespace corkward::dataplane
