#include <corkward/control/controller.h>

#include <algorithm>
#include <functional>
#include <iterator>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

#include "internal.h"

namespace corkward::control {

namespace {

constexpr char const* zonePrefix = "zone:";
constexpr char const* fleetPath = "/v1/fleet";

/// Number of a life's first call, drawn by lot from 2^52. Relayed calls carry their number and their answers come back
/// by it, so an answer meant for a call of a former life of this process must find none of that number in this one.
std::uint64_t firstCall(std::uint64_t seed) {
  return (core::RandomGenerator(seed ^ 0x9b).next() >> 12) + 1;
}

}  // namespace

Controller::Controller(transport::Contact self, std::string memberId, std::vector<std::string> seeds,
                       std::vector<std::string> founders, std::uint64_t seed, ControllerTuning tuning)
    : tuning_(tuning),
      partialView_(self, std::move(seeds), seed ^ 0x51),
      registers_(
          consensus::Member{std::move(memberId), self.link}, std::move(founders),
          [this](std::string const& key, std::uint64_t revision, QJsonObject const& value,
                 transport::OperatorCall const& call) { return validateCall(key, revision, value, call, around()); },
          seed ^ 0x77, tuning.registers),
      nextCall_(firstCall(seed)),
      lender_(partialView_.self().link, partialView_.self().incarnation, tuning.quotaAllowance) {}

ClusterView Controller::around() const {
  ClusterView out;
  out.poolKnown = [this](std::string const& pool) {
    return wholePools_.count(pool) > 0 || registers_.committed().count("pool:" + pool) > 0;
  };
  out.poolUnconfirmed = [this](std::string const& pool) {
    bool const wholeUnsure = registers_.committed().count(config::fleetConfigurationKey) == 0 &&
                             registers_.mayHaveAcceptedValue(config::fleetConfigurationKey);
    return wholeUnsure || registers_.mayHaveAcceptedValue("pool:" + pool);
  };
  out.regimes = [this] {
    std::map<std::string, consensus::CommittedValue>::const_iterator const it =
        registers_.committed().find(config::regimesKey);
    return it == registers_.committed().end() ? config::Regimes{} : config::storedRegimes(it->second.value);
  };
  out.regimeUses = [this] {
    std::vector<config::RegimeUse> uses;
    for (std::map<std::string, consensus::CommittedValue>::value_type const& c : registers_.committed()) {
      if (c.first.rfind("family:", 0) != 0) continue;
      std::vector<config::RegimeUse> const some = config::regimeUses(config::render(c.first.substr(7), c.second.value));
      uses.insert(uses.end(), some.begin(), some.end());
    }
    return uses;
  };
  out.regimeFault = [this](config::Regimes const& regimes, std::string const& regime, std::string const& pool) {
    std::optional<config::RegimeFault> fault = config::faultOf(regimes, regime, pool, wall_);
    std::map<std::string, consensus::CommittedValue>::const_iterator const list =
        registers_.committed().find("pool:" + pool);
    if (fault || !wall_ || list == registers_.committed().end()) return fault;
    std::vector<config::Replica> const replicas = config::storedPool(list->second.value).replicas;
    bool const any = std::any_of(replicas.begin(), replicas.end(), [&](config::Replica const& r) {
      return config::certifies(regimes, regime, pool, r, wall_) != nullptr;
    });
    if (!any)
      fault = config::RegimeFault{"/certificates",
                                  "no replica on the list of pool " + pool + " is certified for regime " + regime};
    return fault;
  };
  return out;
}

ControllerCommands Controller::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
  ControllerCommands out;
  started_ = now;
  take(out, now, registers_.restore(slots, damaged, now));
  return out;
}

void Controller::take(ControllerCommands& out, Tick now, consensus::RegisterCommands&& from) {
  std::move(from.sends.begin(), from.sends.end(), std::back_inserter(out.sends));
  std::move(from.persists.begin(), from.persists.end(), std::back_inserter(out.persists));
  for (core::LogEvent& n : from.logEvents) {
    journal_.append(now, std::string(n.event.metricLabel()), n.fields.count("key") > 0 ? n.fields["key"] : "");
    out.logEvents.push_back(std::move(n));
  }
  for (consensus::CommittedValue const& c : from.commits) {
    journal_.append(now, "committed", c.key);
    committed(now, c);
    out.logEvents.push_back(core::LogEvent{"committed", {{"key", c.key}, {"stamp", std::to_string(c.revision)}}});
  }
  for (consensus::CallCompleted const& d : from.completedCalls) decided(out, now, d);
  for (std::pair<std::string, transport::OperatorCall> const& r : from.rerouted) route(out, now, r.second.token);
  if (!from.commits.empty())
    for (std::map<std::string, Router>::value_type& n : routers_) push(out, now, n.first, n.second);
}

void Controller::decided(ControllerCommands& out, Tick now, consensus::CallCompleted const& d) {
  std::map<std::uint64_t, CallState>::const_iterator const it = calls_.find(d.token);
  if (it == calls_.end()) return;
  checkConfirmed(d, it->second.call);
  bool const replayed = d.body.value("replayed").toBool() && d.status < 300;
  // A replay of a key that has no value asks for what has always been, as lifting an evacuation that never was: no
  // router can lack it, so there is nothing to wait for.
  bool const settled = d.revision == 0 && (!replayed || committedRevision(d.key) == 0);
  if (!tuning_.awaitRollout || settled) {
    QJsonObject body = d.body;
    if (tuning_.awaitRollout && replayed) body.insert("inForce", true);
    finish(out, now, d.token, d.status, body);
    return;
  }
  Force f;
  f.call = d.token;
  f.key = d.key;
  f.revision = d.revision != 0 ? d.revision : static_cast<std::uint64_t>(d.body.value("stamp").toInteger());
  f.since = now;
  f.status = d.status;
  f.body = d.body;
  forces_.push_back(f);
  checkForces(out, now);
}

core::LogEvent Controller::callLine(Tick now, CallState const& state, int status, QJsonObject const& body) const {
  core::LogEvent line{isChange(state.call.method) ? "change" : "read-failed",
                      {{"path", state.call.path},
                       {"status", std::to_string(status)},
                       {"took-ms", std::to_string(now - state.since)},
                       {"stamp", std::to_string(committedRevision(state.key))},
                       {"owner", registers_.ownerLink(state.key, now)}}};
  if (!state.call.ifMatch.empty()) line.fields["base"] = state.call.ifMatch;
  if (!state.call.changeId.empty()) line.fields["change-id"] = state.call.changeId;
  if (!state.from.empty()) line.fields["relayed-by"] = state.from;
  if (body.contains("reason")) line.fields["reason"] = core::toStdString(body.value("reason").toString());
  return line;
}

void Controller::finish(ControllerCommands& out, Tick now, std::uint64_t call, int status, QJsonObject body) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(call);
  if (it == calls_.end()) return;
  CallState const state = std::move(it->second);
  calls_.erase(it);
  checkServed(state, status, body);
  if (state.call.method == rosterMethod) rosterCalling_ = false;
  if (!body.contains("changeId") && isChange(state.call.method))
    body.insert("changeId", core::toQString(state.call.changeId));
  journal_.append(now, "answered_" + std::to_string(status), state.call.path);
  if (isChange(state.call.method) || status >= 400) out.logEvents.push_back(callLine(now, state, status, body));
  if (!state.from.empty())
    out.sends.push_back(transport::Send{state.from, transport::OperatorCallReply{state.token, status, body}});
  else if (state.token != 0)
    out.responses.push_back(OperatorResponse{state.token, status, body});
}

ControllerCommands Controller::onOperatorCall(Tick now, transport::OperatorCall const& call) {
  ControllerCommands out;
  if (call.method == "GET" && call.path == fleetPath) {
    out.responses.push_back(OperatorResponse{call.token, 200, fleet(now)});
    return out;
  }
  if (call.method == "GET" && (call.path == templatesPath || call.path.rfind(changesPage, 0) == 0)) {
    if (questions_.size() < maxCalls)
      questions_.push_back(Question{call, now});
    else
      out.responses.push_back(
          OperatorResponse{call.token, 503, {{"error", "not accepted"}, {"reason", "too many calls in hand"}}});
    answerQuestions(out, now);
    return out;
  }
  std::string const duties = "/v1/duties/";
  if (call.path.rfind(duties, 0) == 0 && config::validName(call.path.substr(duties.size()))) {
    if (leases_.size() < maxLeases || leases_.count("duty " + call.path.substr(duties.size())) > 0)
      out.responses.push_back(dutyPage(now, call, call.path.substr(duties.size())));
    else
      out.responses.push_back(
          OperatorResponse{call.token, 503, {{"error", "not granted"}, {"reason", "too many duties"}}});
    return out;
  }
  std::optional<Target> const target = targetOf(call.path);
  bool const pool = target && target->key.rfind("pool:", 0) == 0;
  bool const whole = target && target->key == config::fleetConfigurationKey;
  bool const patched = target && !pool && target->key.rfind(zonePrefix, 0) != 0;
  bool const known = call.method == "GET" || call.method == "PUT" || (call.method == "DELETE" && !pool && !whole) ||
                     (call.method == "PATCH" && patched);
  bool const node = target && target->key == rosterKey;
  if (!target || (node && (target->entry.empty() || call.method != "DELETE"))) {
    out.responses.push_back(OperatorResponse{call.token, 404, {{"error", "not found"}, {"reason", "no such page"}}});
  } else if (!known) {
    out.responses.push_back(OperatorResponse{call.token, 405, {{"error", "method not allowed"}}});
  } else if (call.body.size() > (whole ? maxFleetConfigurationBytes : maxCallBodyBytes)) {
    out.responses.push_back(OperatorResponse{call.token, 413, {{"error", "too large"}}});
  } else if (draining_ || calls_.size() >= maxCalls) {
    out.responses.push_back(OperatorResponse{
        call.token, 503, {{"error", "not accepted"}, {"reason", draining_ ? "leaving" : "too many calls in hand"}}});
  } else if (!ready(now)) {
    out.responses.push_back(OperatorResponse{call.token, 503, outOfContact()});
  } else {
    std::uint64_t const id = nextCall_++;
    CallState state;
    state.token = call.token;
    state.key = target->key;
    state.call = call;
    state.call.token = id;
    if (target->key.rfind(zonePrefix, 0) == 0) state.call.ifMatch = std::to_string(committedRevision(target->key));
    state.since = now;
    state.knownWhenAsked = committedStamp(*target);
    calls_[id] = state;
    if (call.method == "PUT" && pool && !call.dryRun) {
      try {
        hint(out, now, target->key.substr(5), config::readPool(core::parseJson(call.body).toObject()));
      } catch (core::Error const&) {
        journal_.append(now, "unreadable_list", target->key);
      }
    }
    route(out, now, id);
  }
  return out;
}

void Controller::route(ControllerCommands& out, Tick now, std::uint64_t id) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  CallState& state = it->second;
  std::string const owner = registers_.ownerLink(state.key, now);
  if (state.from.empty() && !owner.empty() && owner != registers_.self().link) {
    state.forwarded = true;
    state.sentAt = now;
    out.sends.push_back(transport::Send{owner, state.call});
    return;
  }
  if (!owner.empty() && owner != registers_.self().link) {
    finish(out, now, id, 421, {{"error", "not the owner"}});
    return;
  }
  state.forwarded = false;
  take(out, now, registers_.submit(now, state.key, state.call));
}

ControllerCommands Controller::onMessage(Tick now, std::string const& from, transport::Message const& message) {
  ControllerCommands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); })
          this->on(out, now, from, m);
        else
          take(out, now, registers_.onMessage(now, from, message));
      },
      message);
  answerQuestions(out, now);
  return out;
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, transport::GossipShuffle const& m) {
  std::vector<transport::Send> sends = partialView_.arrived(now, from, m);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, transport::OperatorCall const& m) {
  std::optional<Target> const target = targetOf(m.path);
  if (!target || draining_ || calls_.size() >= maxCalls) {
    out.sends.push_back(transport::Send{from, transport::OperatorCallReply{m.token, 421, {}}});
    return;
  }
  std::uint64_t const id = nextCall_++;
  CallState state;
  state.from = from;
  state.token = m.token;
  state.key = target->key;
  state.call = m;
  state.call.token = id;
  state.since = now;
  state.knownWhenAsked = committedStamp(*target);
  calls_[id] = state;
  route(out, now, id);
}

void Controller::on(ControllerCommands& out, Tick now, std::string const&, transport::OperatorCallReply const& m) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(m.token);
  if (it == calls_.end() || !it->second.forwarded) return;
  if (m.status == 421) {
    it->second.forwarded = false;
    return;
  }
  finish(out, now, m.token, m.status, m.body);
}

std::uint64_t Controller::committedRevision(std::string const& key) const {
  std::map<std::string, consensus::CommittedValue>::const_iterator const it = registers_.committed().find(key);
  return it == registers_.committed().end() ? 0 : it->second.revision;
}

ControllerCommands Controller::onPersisted(Tick now, std::uint64_t ticket, bool ok) {
  ControllerCommands out;
  take(out, now, registers_.onPersisted(now, ticket, ok));
  return out;
}

ControllerCommands Controller::onTimer(Tick now) {
  ControllerCommands out;
  if (registers_.discovering()) {
    std::vector<std::string> links = partialView_.seeds();
    for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) links.push_back(c.link);
    registers_.setDiscoveryPeers(std::move(links));
  }
  take(out, now, registers_.onTimer(now));
  if (!registers_.isVoting()) joinedAt_ = now;
  std::vector<transport::Send> sends = partialView_.clockEvent(now);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  lendLimits(out, now);
  for (std::map<std::string, Router>::value_type& n : routers_) push(out, now, n.first, n.second);
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> again;
  for (std::map<std::uint64_t, CallState>::value_type const& c : calls_) {
    bool const forcing = std::any_of(forces_.begin(), forces_.end(), [&](Force const& f) { return f.call == c.first; });
    if (now - c.second.since > tuning_.forwardTimeout)
      late.push_back(c.first);
    else if (c.second.forwarded && now - c.second.sentAt > tuning_.resendEvery)
      again.push_back(c.first);
    else if (c.second.from.empty() && !c.second.forwarded && !forcing && c.second.call.method != rosterMethod &&
             !registers_.owns(c.second.key) && registers_.ownerLink(c.second.key, now) != "")
      again.push_back(c.first);
  }
  answerQuestions(out, now);
  answerOutOfContact(out, now);
  for (std::uint64_t const id : again) route(out, now, id);
  for (std::uint64_t const id : late) {
    if (calls_.count(id) == 0) continue;
    bool const change = isChange(calls_.at(id).call.method);
    finish(out, now, id, change ? 504 : 503,
           {{"error", change ? "unknown" : "not confirmed"},
            {"reason", "the key's owner did not answer in time; ask by the change id"}});
  }
  if (!forces_.empty()) {
    for (std::string const& link : roster_.nodes) {
      std::function<bool(Force const&)> const lacks = [&](Force const& f) {
        std::map<std::string, Settling>::const_iterator const s = settling_.find(f.key);
        transport::Revisions::const_iterator const has =
            s == settling_.end() ? transport::Revisions::const_iterator() : s->second.has.find(link);
        return s == settling_.end() || has == s->second.has.end() || has->second < f.revision;
      };
      if (std::none_of(forces_.begin(), forces_.end(), lacks)) continue;
      Router& n = routers_[link];
      if ((n.heard >= 0 && now - n.heard < tuning_.probeAfter) || now - n.probedAt < tuning_.probeAfter) continue;
      n.probedAt = now;
      out.probes.push_back(link);
    }
    checkForces(out, now);
  }
  watchSettling(now);
  tellHolding(out, now);
  considerRoster(out, now);
  return out;
}

ControllerCommands Controller::drain(Tick now) {
  ControllerCommands out;
  draining_ = true;
  partialView_.setDraining();
  take(out, now, registers_.startHandover(now));
  return out;
}

bool Controller::ready(Tick now) const {
  Tick const age = registers_.quorumContactAge(now);
  return !draining_ && age >= 0 && age <= tuning_.servingLeaseDuration;
}

}  // namespace corkward::control
