#include <algorithm>
#include <functional>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::dataplane {

namespace {

void append(RouterCommands& out, RouterCommands const& more) {
  out.calls.insert(out.calls.end(), more.calls.begin(), more.calls.end());
  out.logEvents.insert(out.logEvents.end(), more.logEvents.begin(), more.logEvents.end());
  out.failures.insert(out.failures.end(), more.failures.begin(), more.failures.end());
}

}  // namespace

RequestRouter::RequestRouter(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed,
                             RouterTuning tuning)
    : tuning_(tuning),
      seed_(seed),
      who_(self.link + "#" + std::to_string(seed)),
      partialView_(std::move(self), std::move(seeds), seed ^ 0x91),
      tenants_(partialView_.self().link, partialView_.self().incarnation, seed ^ 0x2d, tuning.quotaSlack),
      rng_(seed ^ 0x3b) {}

void RequestRouter::count(Tick now, std::string const& what, std::string const& about) {
  journal_.append(now, what, about);
}

void RequestRouter::logEvent(RouterCommands& out, Tick now, core::EventName event,
                             std::map<std::string, std::string> fields) {
  count(now, std::string(event.metricLabel()), fields.empty() ? "" : fields.begin()->second);
  out.logEvents.push_back(core::LogEvent{event, std::move(fields)});
}

RouterCommands RequestRouter::started(Tick now) {
  RouterCommands out;
  started_ = now;
  memoryFrom_ = now;
  lastEvent_ = now;
  logEvent(out, now, "started", {{"link", partialView_.self().link}});
  return out;
}

RouterCommands RequestRouter::onMessage(Tick now, std::string const& from, transport::Message const& message) {
  RouterCommands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); }) this->on(out, now, from, m);
      },
      message);
  return out;
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::GossipShuffle const& m) {
  std::vector<transport::Send> sends = partialView_.arrived(now, from, m);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

void RequestRouter::noteLag(Tick now) {
  if (now - lastEvent_ > 300) {
    lag_ = now - lastEvent_;
    lagAt_ = now;
  }
  lastEvent_ = now;
}

RouterCommands RequestRouter::onTimer(Tick now) {
  RouterCommands out;
  noteLag(now);
  watchJoining(now);
  if (now >= askAt_) {
    askAt_ = now + (whole_ ? tuning_.askEvery : std::min(tuning_.askEvery, tuning_.askWhole));
    chooseControllers(now);
    for (std::string const& s : held_) sendAsk(out, now, s);
  }
  touchNeighbours(out, now);
  std::vector<transport::Send> sends = partialView_.clockEvent(now);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  watchTenants(out, now);
  if (now >= freeAt_) {
    freeAt_ = now + freeEvery;
    freeGone(now);
  }
  if (now >= warmAt_) {
    warmAt_ = now + tuning_.warmEvery;
    warmDuties(out, now);
  }
  std::vector<CallId> late;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_) {
    Call const& call = c.second;
    if ((call.phase == Phase::asking && now - call.phaseAt > tuning_.seenWait) ||
        (call.phase == Phase::connecting && now - call.phaseAt > tuning_.connectLimit) ||
        (call.phase == Phase::streaming && now - call.phaseAt > tuning_.streamIdle) || pastDeadline(now, call) ||
        (call.phase == Phase::held &&
         now - call.arrived >
             static_cast<Tick>(2 * tuning_.heldAims * static_cast<double>(rows_[call.path].path.latencyTarget))) ||
        (call.phase != Phase::streaming && now >= call.until))
      late.push_back(c.first);
  }
  std::sort(late.begin(), late.end());
  for (CallId const id : late) {
    std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
    if (it == calls_.end()) continue;
    switch (it->second.phase) {
      case Phase::asking:
        if (it->second.request.attempt == 0) {
          decideClaim(out, now, id, true);
          break;
        }
        reject(out, now, id, 409, "another node cannot say whether an earlier attempt ran", false, 0);
        break;
      case Phase::counting:
        reject(out, now, id, 503, "deadline passed", true, tuning_.comeBack);
        break;
      case Phase::held: {
        Row const& row = rows_[it->second.path];
        reject(out, now, id, 503, "held too long", true,
               comeBack(credits_.at({it->second.pool, row.instance}), row.path.requestClass));
        break;
      }
      case Phase::connecting: {
        out.calls.push_back(CloseUpstream{id});
        RouterCommands const more = onConnectFailure(now, id);
        append(out, more);
        break;
      }
      case Phase::handed: {
        if (overdue(it->second, now - it->second.phaseAt)) recordOutcome(out, now, it->second, true);
        if (it->second.resumes > 0) {
          breakOff(out, now, id);
        } else {
          out.calls.push_back(CloseUpstream{id});
          reject(out, now, id, 504, "unknown, may have run", false, 0);
        }
        break;
      }
      case Phase::streaming: {
        if (pastDeadline(now, it->second)) {
          breakOff(out, now, id, "deadline passed");
          break;
        }
        out.calls.push_back(CloseUpstream{id});
        RouterCommands const more = upstreamFinished(now, id, UpstreamResult::connectionLost);
        append(out, more);
        break;
      }
    }
  }
  if (now >= lookAt_) {
    lookAt_ = now + lookEvery;
    refreshCandidates(out, now);
    std::vector<CreditKey> const keys(awake_.begin(), awake_.end());
    for (CreditKey const& k : keys) credits_.at(k).rate.closeWindow(now);
    for (CreditKey const& k : keys) look(out, now, k);
    std::erase_if(awake_, [&](CreditKey const& k) {
      Credit const& c = credits_.at(k);
      return c.heldCount() == 0 && c.scaler.atRest();
    });
  }
  watchRegimes(out, now);
  return out;
}

bool RequestRouter::pastDeadline(Tick now, Call const& call) const {
  return call.phase == Phase::streaming && !rows_[call.path].path.host.empty() &&
         now >= call.until + tuning_.pastDeadline;
}

RouterUsage RequestRouter::usage() const {
  return RouterUsage{replicaNames_.count(),
                     instances_.count(),
                     credits_.size(),
                     awake_.size(),
                     confirmations_.size() + echoes_.size() + heard_.size() + controllers_.size() + neighbours_.size() +
                         silent_.size() + fetchedAt_.size(),
                     seen_.size(),
                     prefixes_.size(),
                     calls_.size()};
}

void RequestRouter::freeGone(Tick now) {
  std::function<bool(Tick)> const old = [&](Tick at) { return now - at > tuning_.vouchAfter; };
  std::erase_if(confirmations_,
                [&](std::map<std::string, Confirmation>::value_type const& c) { return old(c.second.at); });
  std::erase_if(echoes_, [&](std::map<std::string, transport::PeerHeartbeat>::value_type const& e) {
    return old(e.second.sentAt);
  });
  std::erase_if(controllers_, [&](std::map<std::string, HeldLink>::value_type const& l) {
    return old(std::max(l.second.since, l.second.good));
  });
  for (std::map<std::string, Tick>* const times : {&heard_, &fetchedAt_, &silent_})
    std::erase_if(*times, [&](std::map<std::string, Tick>::value_type const& t) { return old(t.second); });
  expireSeen(now);
  std::set<NameIndex> replicasUsed;
  std::set<NameIndex> instancesUsed;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_) {
    replicasUsed.insert(c.second.replica);
    instancesUsed.insert(rows_.empty() ? 0 : rows_[c.second.path].instance);
  }
  for (std::unordered_map<std::string, NameIndex>::value_type const& r : routes_)
    instancesUsed.insert(rows_[r.second].instance);
  std::erase_if(credits_, [&](std::map<CreditKey, Credit>::value_type const& c) {
    return instancesUsed.count(c.first.second) == 0 && c.second.scaler.inFlight() == 0 && c.second.heldCount() == 0;
  });
  std::erase_if(awake_, [&](CreditKey const& k) { return credits_.count(k) == 0; });
  for (std::map<CreditKey, Credit>::value_type const& c : credits_) instancesUsed.insert(c.first.second);
  for (NameIndex ix = 0; ix < instances_.size(); ++ix)
    if (!instances_.name(ix).empty() && instancesUsed.count(ix) == 0) {
      instanceRegimes_.erase(ix);
      instances_.release(ix);
    }
  for (NameIndex ix = 0; ix < replicas_.size(); ++ix) {
    if (replicaNames_.name(ix).empty() || replicas_[ix].listed || replicasUsed.count(ix) > 0) continue;
    for (std::map<CreditKey, Credit>::value_type& c : credits_) c.second.scaler.forget(ix);
    prefixes_.forget(ix);
    kept_.forget(ix);
    warm_.erase(ix);
    replicas_[ix] = Replica{};
    replicaNames_.release(ix);
  }
}

void RequestRouter::retune(RouterTuning const& tuning, std::vector<std::string> seeds) {
  tuning_ = tuning;
  partialView_.setSeeds(std::move(seeds));
}

void RequestRouter::setWallTime(Tick now, std::int64_t wall) {
  if (!wallAhead_ || wall - now > *wallAhead_ + 1000) certifiedAt_ = -1;
  wallAhead_ = std::max(wallAhead_.value_or(wall - now), wall - now);
}

config::WallTime RequestRouter::wallAt(Tick now) const {
  return wallAhead_ ? config::WallTime(now + *wallAhead_) : std::nullopt;
}

RouterCommands RequestRouter::drain(Tick now) {
  RouterCommands out;
  if (draining_) return out;
  draining_ = true;
  drainedAt_ = now;
  partialView_.setDraining();
  logEvent(out, now, "draining", {{"in-hand", std::to_string(calls_.size())}});
  std::vector<std::string> const& others = rosterOthers();
  std::vector<transport::RequestIdHandover> left(1, transport::RequestIdHandover{who_, false, {}});
  for (std::unordered_map<std::string, Seen>::value_type const& s : seen_) {
    if (!s.second.mayHaveRun && s.second.call == 0) continue;
    if (left.back().ids.size() >= leftAtOnce) left.push_back(transport::RequestIdHandover{who_, false, {}});
    left.back().ids.push_back(s.first);
  }
  left.back().last = true;
  for (std::string const& link : others)
    for (transport::RequestIdHandover const& l : left) out.sends.push_back(transport::Send{link, l});
  for (std::map<NameIndex, Warm>::value_type& w : warm_) {
    if (now >= w.second.until) continue;
    w.second.until = -1;
    poolViews_[replicas_[w.first].pool].changed = true;
    for (std::string const& s : controllers(now))
      out.sends.push_back(
          transport::Send{s, transport::WarmupLeaseRequest{now, replicaNames_.name(w.first), partialView_.self().link,
                                                           partialView_.self().incarnation, true,
                                                           others.empty() ? "" : others[w.first % others.size()]}});
  }
  std::vector<CallId> waiting;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_)
    if (c.second.phase == Phase::asking || c.second.phase == Phase::counting) waiting.push_back(c.first);
  for (CallId const id : waiting) reject(out, now, id, 503, "leaving", true, tuning_.comeBack);
  return out;
}

std::string RequestRouter::metrics(Tick now) const {
  std::string out = "# TYPE corkward_nacelle_events_total counter\n";
  for (std::map<std::string, std::uint64_t>::value_type const& c : journal_.counts())
    out += "corkward_nacelle_events_total{event=\"" + c.first + "\"} " + std::to_string(c.second) + "\n";
  out += failures_.metrics();
  out += "# TYPE corkward_nacelle_standing gauge\ncorkward_nacelle_standing " +
         std::string(servingLease(now) ? "1" : "0") + "\n";
  out += "# TYPE corkward_nacelle_in_hand gauge\ncorkward_nacelle_in_hand " + std::to_string(calls_.size()) + "\n";
  out +=
      "# TYPE corkward_nacelle_part gauge\n# TYPE corkward_nacelle_cap gauge\n# TYPE corkward_nacelle_in_flight "
      "gauge\n# TYPE corkward_nacelle_held gauge\n";
  for (std::map<CreditKey, Credit>::value_type const& c : credits_) {
    std::string const labels =
        "{instance=\"" + instances_.name(c.first.second) + "\",pool=\"" + pools_.name(c.first.first) + "\"} ";
    out += "corkward_nacelle_part" + labels + std::to_string(c.second.scaler.subset().size()) + "\n";
    out += "corkward_nacelle_cap" + labels + std::to_string(c.second.scaler.cap()) + "\n";
    out += "corkward_nacelle_in_flight" + labels + std::to_string(c.second.scaler.inFlight()) + "\n";
    out += "corkward_nacelle_held" + labels + std::to_string(c.second.heldCount()) + "\n";
  }
  return out;
}

QJsonObject RequestRouter::state(Tick now) const {
  QJsonObject revisionsOut;
  for (std::map<std::string, Key>::value_type const& k : keys_)
    revisionsOut.insert(core::toQString(k.first), static_cast<qint64>(k.second.revision));
  return QJsonObject{{"link", core::toQString(partialView_.self().link)},
                     {"zone", core::toQString(partialView_.self().zone)},
                     {"standing", servingLease(now)},
                     {"ready", ready(now)},
                     {"draining", draining_},
                     {"whole", whole_},
                     {"rosterSize", static_cast<qint64>(rosterSize())},
                     {"inHand", static_cast<qint64>(calls_.size())},
                     {"stamps", revisionsOut}};
}

}  // namespace corkward::dataplane
