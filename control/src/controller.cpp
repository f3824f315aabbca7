#include <corkward/control/controller.h>

#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <string_view>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/control/validator.h>

namespace corkward::control {

namespace {

constexpr char const* rosterKey = "roster";
constexpr char const* rosterMethod = "ROSTER";
constexpr char const* zonePrefix = "zone:";
constexpr char const* fleetPath = "/v1/fleet";
constexpr char const* templatesPath = "/v1/templates";
constexpr std::string_view changesPage = "/v1/changes/";
constexpr std::size_t maxCalls = 4096;
constexpr std::size_t maxLeases = 4096;
constexpr std::size_t maxAsked = 32;

/// A change that is on the disks but cannot be shown to be in force is no success that a script could take it for.
QJsonObject pendingBody(QJsonObject body, std::uint64_t revision) {
  body.insert("error", "pending");
  body.insert("pending", true);
  body.insert("inForce", false);
  body.insert("stamp", static_cast<qint64>(revision));
  body.insert("reason", "accepted on disk, not yet in force; ask by the change id");
  return body;
}

/// Number of a life's first call, drawn by lot from 2^52. Relayed calls carry their number and their answers come back
/// by it, so an answer meant for a call of a former life of this process must find none of that number in this one.
std::uint64_t firstCall(std::uint64_t seed) {
  return (core::Rng(seed ^ 0x9b).next() >> 12) + 1;
}

/// Answer of a controller that cannot confirm that what it knows is current.
QJsonObject outOfContact() {
  return {{"error", "not confirmed"}, {"reason", "this controller is not in touch with a majority"}};
}

bool isChange(std::string const& method) {
  return method == "PUT" || method == "PATCH" || method == "DELETE";
}

}  // namespace

Controller::Controller(transport::Contact self, std::string memberId, std::vector<std::string> seeds,
                       std::vector<std::string> founders, std::uint64_t seed, Tuning tuning)
    : tuning_(tuning),
      partialView_(self, std::move(seeds), seed ^ 0x51),
      registers_(
          consensus::Member{std::move(memberId), self.link}, std::move(founders),
          [this](std::string const& key, std::uint64_t revision, QJsonObject const& value,
                 transport::Call const& call) { return validator(key, revision, value, call, around()); },
          seed ^ 0x77, tuning.registers),
      nextCall_(firstCall(seed)) {}

Around Controller::around() const {
  Around out;
  out.poolKnown = [this](std::string const& pool) {
    return wholePools_.count(pool) > 0 || registers_.committed().count("pool:" + pool) > 0;
  };
  out.poolUnsure = [this](std::string const& pool) {
    bool const wholeUnsure =
        registers_.committed().count(config::wholeKey) == 0 && registers_.mayHold(config::wholeKey);
    return wholeUnsure || registers_.mayHold("pool:" + pool);
  };
  out.regimes = [this] {
    std::map<std::string, consensus::Committed>::const_iterator const it =
        registers_.committed().find(config::regimesKey);
    return it == registers_.committed().end() ? config::Regimes{} : config::keptRegimes(it->second.value);
  };
  out.regimeUses = [this] {
    std::vector<config::RegimeUse> uses;
    for (std::map<std::string, consensus::Committed>::value_type const& c : registers_.committed()) {
      if (c.first.rfind("family:", 0) != 0) continue;
      std::vector<config::RegimeUse> const some = config::regimeUses(config::render(c.first.substr(7), c.second.value));
      uses.insert(uses.end(), some.begin(), some.end());
    }
    return uses;
  };
  out.regimeFault = [this](config::Regimes const& regimes, std::string const& regime, std::string const& pool) {
    std::optional<config::RegimeFault> fault = config::faultOf(regimes, regime, pool, wall_);
    std::map<std::string, consensus::Committed>::const_iterator const list =
        registers_.committed().find("pool:" + pool);
    if (fault || !wall_ || list == registers_.committed().end()) return fault;
    std::vector<config::Replica> const replicas = config::keptPool(list->second.value).replicas;
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

Commands Controller::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
  Commands out;
  started_ = now;
  take(out, now, registers_.restore(slots, damaged, now));
  return out;
}

void Controller::take(Commands& out, Tick now, consensus::Commands&& from) {
  std::move(from.sends.begin(), from.sends.end(), std::back_inserter(out.sends));
  std::move(from.persists.begin(), from.persists.end(), std::back_inserter(out.persists));
  for (core::LogEvent& n : from.logEvents) {
    journal_.append(now, n.event, n.fields.count("key") > 0 ? n.fields["key"] : "");
    out.logEvents.push_back(std::move(n));
  }
  for (consensus::Committed const& c : from.commits) {
    journal_.append(now, "committed", c.key);
    committed(now, c);
    out.logEvents.push_back(core::LogEvent{"committed", {{"key", c.key}, {"stamp", std::to_string(c.revision)}}});
  }
  for (consensus::Decided const& d : from.decided) decided(out, now, d);
  for (std::pair<std::string, transport::Call> const& r : from.reroute) route(out, now, r.second.token);
  if (!from.commits.empty())
    for (std::map<std::string, Router>::value_type& n : routers_) push(out, now, n.first, n.second);
}

void Controller::decided(Commands& out, Tick now, consensus::Decided const& d) {
  std::map<std::uint64_t, CallState>::const_iterator const it = calls_.find(d.token);
  if (it == calls_.end()) return;
  checkConfirmed(d, it->second.call);
  bool const replayed = d.body.value("replayed").toBool() && d.status < 300;
  if (!tuning_.awaitInForce || (d.revision == 0 && !replayed)) {
    finish(out, now, d.token, d.status, d.body);
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
  if (!state.call.ifMatch.empty()) line.fields["based-on"] = state.call.ifMatch;
  if (!state.call.changeId.empty()) line.fields["change-id"] = state.call.changeId;
  if (!state.from.empty()) line.fields["relayed-by"] = state.from;
  if (body.contains("reason")) line.fields["reason"] = core::str(body.value("reason").toString());
  return line;
}

void Controller::finish(Commands& out, Tick now, std::uint64_t call, int status, QJsonObject body) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(call);
  if (it == calls_.end()) return;
  CallState const state = std::move(it->second);
  calls_.erase(it);
  checkServed(state, status, body);
  if (state.call.method == rosterMethod) rosterCalling_ = false;
  if (!body.contains("changeId") && isChange(state.call.method))
    body.insert("changeId", core::qstr(state.call.changeId));
  journal_.append(now, "answered_" + std::to_string(status), state.call.path);
  if (isChange(state.call.method) || status >= 400) out.logEvents.push_back(callLine(now, state, status, body));
  if (!state.from.empty())
    out.sends.push_back(transport::Send{state.from, transport::CallResponse{state.token, status, body}});
  else if (state.token != 0)
    out.answers.push_back(Answer{state.token, status, body});
}

Commands Controller::operatorCall(Tick now, transport::Call const& call) {
  Commands out;
  if (call.method == "GET" && call.path == fleetPath) {
    out.answers.push_back(Answer{call.token, 200, fleet(now)});
    return out;
  }
  if (call.method == "GET" && (call.path == templatesPath || call.path.rfind(changesPage, 0) == 0)) {
    if (questions_.size() < maxCalls)
      questions_.push_back(Question{call, now});
    else
      out.answers.push_back(Answer{call.token, 503, {{"error", "not accepted"}, {"reason", "too many calls in hand"}}});
    answerQuestions(out, now);
    return out;
  }
  std::string const duties = "/v1/duties/";
  if (call.path.rfind(duties, 0) == 0 && config::validName(call.path.substr(duties.size()))) {
    if (leases_.size() < maxLeases || leases_.count("duty " + call.path.substr(duties.size())) > 0)
      out.answers.push_back(dutyPage(now, call, call.path.substr(duties.size())));
    else
      out.answers.push_back(Answer{call.token, 503, {{"error", "not granted"}, {"reason", "too many duties"}}});
    return out;
  }
  std::optional<Target> const target = targetOf(call.path);
  bool const pool = target && target->key.rfind("pool:", 0) == 0;
  bool const whole = target && target->key == config::wholeKey;
  bool const patched = target && !pool && target->key.rfind(zonePrefix, 0) != 0;
  bool const known = call.method == "GET" || call.method == "PUT" || (call.method == "DELETE" && !pool && !whole) ||
                     (call.method == "PATCH" && patched);
  bool const node = target && target->key == rosterKey;
  if (!target || (node && (target->instance.empty() || call.method != "DELETE"))) {
    out.answers.push_back(Answer{call.token, 404, {{"error", "not found"}, {"reason", "no such page"}}});
  } else if (!known) {
    out.answers.push_back(Answer{call.token, 405, {{"error", "method not allowed"}}});
  } else if (call.body.size() > (whole ? maxWholeBody : maxBody)) {
    out.answers.push_back(Answer{call.token, 413, {{"error", "too large"}}});
  } else if (draining_ || calls_.size() >= maxCalls) {
    out.answers.push_back(Answer{
        call.token, 503, {{"error", "not accepted"}, {"reason", draining_ ? "leaving" : "too many calls in hand"}}});
  } else if (!ready(now)) {
    out.answers.push_back(Answer{call.token, 503, outOfContact()});
  } else {
    std::uint64_t const id = nextCall_++;
    CallState state;
    state.token = call.token;
    state.key = target->key;
    state.call = call;
    state.call.token = id;
    if (target->key.rfind(zonePrefix, 0) == 0) state.call.ifMatch = std::to_string(committedRevision(target->key));
    state.since = now;
    state.knownWhenAsked = committedStamp(target->key);
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

void Controller::hint(Commands& out, Tick now, std::string const& pool, config::Pool const& list) {
  transport::Hint h{pool, list.generation, {}, {}};
  for (config::Replica const& r : list.replicas) {
    if (r.state == config::ReplicaState::serving) h.serving.push_back(config::lifeName(r));
    if (r.state == config::ReplicaState::cold) h.cold.push_back(config::lifeName(r));
  }
  on(out, now, "", h);
}

Commands Controller::platformLists(Tick now, std::map<std::string, config::Pool> const& lists) {
  Commands out;
  std::map<std::string, config::Pool> all = lists;
  for (std::map<std::string, consensus::Committed>::value_type const& c : registers_.committed())
    if (c.first.rfind("pool:", 0) == 0) all.try_emplace(c.first.substr(5));
  for (std::map<std::string, config::Pool>::value_type& p : all) {
    std::string const key = "pool:" + p.first;
    std::map<std::string, consensus::Committed>::const_iterator const it = registers_.committed().find(key);
    QJsonObject const next = config::poolJson(p.second);
    QJsonObject have = it == registers_.committed().end() ? QJsonObject() : it->second.value;
    have = config::withoutHistory(have);
    have.remove("generation");
    QJsonObject bare = next;
    bare.remove("generation");
    if (have == bare) {
      hints_.erase(p.first);
      continue;
    }
    std::map<std::string, transport::Hint>::const_iterator const hinted = hints_.find(p.first);
    p.second.generation = std::max(generationOf(p.first), hinted == hints_.end() ? 0 : hinted->second.generation) + 1;
    hint(out, now, p.first, p.second);
    std::map<std::string, std::uint64_t>::const_iterator const before = listCalls_.find(p.first);
    if (draining_ || calls_.size() >= maxCalls || (before != listCalls_.end() && calls_.count(before->second) > 0))
      continue;
    std::uint64_t const id = nextCall_++;
    CallState state;
    state.key = key;
    state.call.token = id;
    state.call.method = "PUT";
    state.call.path = "/v1/platform/pools/" + config::addressPart(p.first);
    state.call.ifMatch = std::to_string(committedRevision(key));
    state.call.body = core::jsonText(config::poolJson(p.second));
    state.since = now;
    calls_[id] = state;
    listCalls_[p.first] = id;
    route(out, now, id);
  }
  return out;
}

bool Controller::readsLists(Tick now) const {
  if (draining_ || registers_.membership().empty()) return false;
  std::string const owner = registers_.ownerLink(rosterKey, now);
  return owner == registers_.self().link ||
         (owner.empty() && registers_.membership().front().id == registers_.self().id);
}

std::uint64_t Controller::generationOf(std::string const& pool) const {
  std::map<std::string, consensus::Committed>::const_iterator const it = registers_.committed().find("pool:" + pool);
  return it == registers_.committed().end()
             ? 0
             : static_cast<std::uint64_t>(it->second.value.value("generation").toInteger());
}

void Controller::on(Commands& out, Tick now, std::string const&, transport::Hint const& m) {
  std::uint64_t const have = generationOf(m.pool);
  if (have == 0 || m.generation <= have) return;
  std::map<std::string, transport::Hint>::iterator const it = hints_.find(m.pool);
  if (it != hints_.end() && it->second.generation >= m.generation) return;
  hints_[m.pool] = m;
  journal_.append(now, "leaving_hint", m.pool);
  for (std::map<std::string, Router>::value_type const& n : routers_)
    if (n.second.asked >= 0) out.sends.push_back(transport::Send{n.first, m});
  for (consensus::Member const& c : registers_.membership())
    if (c.link != registers_.self().link) out.sends.push_back(transport::Send{c.link, m});
}

void Controller::route(Commands& out, Tick now, std::uint64_t id) {
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
  take(out, now, registers_.call(now, state.key, state.call));
}

Commands Controller::arrived(Tick now, std::string const& from, transport::Message const& message) {
  Commands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); })
          this->on(out, now, from, m);
        else
          take(out, now, registers_.arrived(now, from, message));
      },
      message);
  answerQuestions(out, now);
  return out;
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::Shuffle const& m) {
  std::vector<transport::Send> sends = partialView_.arrived(now, from, m);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::Call const& m) {
  std::optional<Target> const target = targetOf(m.path);
  if (!target || draining_ || calls_.size() >= maxCalls) {
    out.sends.push_back(transport::Send{from, transport::CallResponse{m.token, 421, {}}});
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
  state.knownWhenAsked = committedStamp(target->key);
  calls_[id] = state;
  route(out, now, id);
}

void Controller::on(Commands& out, Tick now, std::string const&, transport::CallResponse const& m) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(m.token);
  if (it == calls_.end() || !it->second.forwarded) return;
  if (m.status == 421) {
    it->second.forwarded = false;
    return;
  }
  finish(out, now, m.token, m.status, m.body);
}

void Controller::committed(Tick now, consensus::Committed const& c) {
  checkCommitted(c);
  if (c.key == rosterKey) {
    rosterCommittedAt_ = now;
    foldRoster(c.value);
    partialView_.setRoster(c.revision, gossip::rosterContacts(c.value));
  }
  if (c.key == config::wholeKey) {
    wholePools_.clear();
    for (QJsonValue const p : c.value.value("spec").toObject().value("pools").toArray())
      wholePools_.insert(core::str(p.toObject().value("name").toString()));
  }
  Settling& s = settling_[c.key];
  std::uint64_t const before = s.revision;
  s.revision = c.revision;
  s.since = now;
  s.majorityAt = -1;
  s.inForce = false;
  unsettled_.insert(c.key);
  holdingAt_ = now;
  digest_.replace(c.key, before, c.revision);
  for (std::map<std::string, Router>::value_type& n : routers_)
    if (n.second.asked >= 0) n.second.behind.try_emplace(c.key, n.second.known ? before : 0);
}

void Controller::foldRoster(QJsonObject const& value) {
  std::function<std::set<std::string>(char const*)> const links = [&](char const* field) {
    std::set<std::string> out;
    for (QJsonValue const v : value.value(QLatin1String(field)).toArray())
      out.insert(core::str(v.isString() ? v.toString() : v.toObject().value("link").toString()));
    return out;
  };
  roster_ = RosterView{links("nodes"), links("previous"), links("gone"), {}};
  std::set_union(roster_.nodes.begin(), roster_.nodes.end(), roster_.previous.begin(), roster_.previous.end(),
                 std::back_inserter(roster_.places));
}

void Controller::learned(std::string const& link, std::string const& key, std::uint64_t revision) {
  std::map<std::string, Settling>::iterator const it = settling_.find(key);
  if (it == settling_.end() || (it->second.inForce && key != rosterKey)) return;
  std::uint64_t& has = it->second.has[link];
  has = std::max(has, revision);
}

void Controller::learnedAll(std::string const& link, Router& n) {
  for (std::string const& key : unsettled_) learned(link, key, settling_.at(key).revision);
  learned(link, rosterKey, committedRevision(rosterKey));
  n.behind.clear();
  n.pushed.clear();
  n.known = n.asked >= 0;
}

bool Controller::hasAll(std::string const& link, Router& n, transport::Digest const& digest) {
  if (!(digest == digest_)) return false;
  learnedAll(link, n);
  return true;
}

Controller::Router* Controller::heardFrom(Tick now, std::string const& link, std::uint64_t inc) {
  Router& n = routers_[link];
  if (inc < n.contact.inc) return nullptr;
  if (inc > n.contact.inc) {
    n.known = false;
    n.behind.clear();
    n.pushed.clear();
    n.wantWhole = -1;
    n.contact.inc = inc;
    n.contact.link = link;
  }
  n.heard = now;
  n.refusedAt = -1;
  return &n;
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::NewsAck const& m) {
  if (m.link.empty() || m.link != from) return;
  Router* const n = heardFrom(now, from, m.inc);
  if (n == nullptr) return;
  if (!hasAll(from, *n, m.digest)) {
    for (transport::Revisions::value_type const& s : m.revisions) {
      learned(from, s.first, s.second);
      transport::Revisions::iterator const behind = n->behind.find(s.first);
      if (behind == n->behind.end()) continue;
      behind->second = std::max(behind->second, s.second);
      if (behind->second < committedRevision(s.first)) continue;
      n->behind.erase(behind);
      n->pushed.erase(s.first);
    }
  }
  checkForces(out, now);
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::Ask const& m) {
  if (m.self.link.empty() || m.self.link != from) return;
  std::vector<transport::Send> sends = partialView_.heard(now, m.self);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  bool const current = heardFrom(now, from, m.self.inc) != nullptr;
  Router& n = routers_[from];
  n.contact = m.self;
  n.asked = now;
  if (m.wantWhole && n.wantWhole < 0) n.wantWhole = now;
  if (!m.wantWhole) n.wantWhole = -1;
  bool exact = current && hasAll(from, n, m.digest);
  if (current && !exact && transport::digestOf(m.revisions) == m.digest) {
    exact = true;
    n.known = true;
    n.behind.clear();
    for (std::map<std::string, consensus::Committed>::value_type const& k : registers_.committed()) {
      transport::Revisions::const_iterator const have = m.revisions.find(k.first);
      std::uint64_t const revision = have == m.revisions.end() ? 0 : have->second;
      if (revision > 0) learned(from, k.first, revision);
      if (revision < k.second.revision) n.behind[k.first] = revision;
    }
  } else if (current && !exact && n.known) {
    transport::Digest expected = digest_;
    for (transport::Revisions::value_type const& b : n.behind)
      expected.replace(b.first, committedRevision(b.first), b.second);
    exact = expected == m.digest;
  }
  transport::Confirm c;
  c.tick = m.tick;
  Tick const age = registers_.majorityAge(now);
  c.inTouch = age >= 0 && age <= tuning_.fence;
  c.age = std::max<Tick>(age, 0);
  c.digest = digest_;
  if (!(m.digest == digest_))
    for (std::map<std::string, consensus::Committed>::value_type const& k : registers_.committed())
      c.revisions[k.first] = k.second.revision;
  c.wantRevisions = !exact;
  c.roster = rosterInForce() ? committedRevision(rosterKey) : 0;
  for (std::map<std::string, transport::Hint>::iterator h = hints_.begin(); h != hints_.end();)
    h = h->second.generation <= generationOf(h->first) ? hints_.erase(h) : std::next(h);
  for (std::map<std::string, transport::Hint>::value_type const& h : hints_) c.hints.push_back(h.second);
  out.sends.push_back(transport::Send{from, c});
  push(out, now, from, n);
  checkForces(out, now);
}

void Controller::push(Commands& out, Tick now, std::string const& link, Router& n) {
  if (n.asked < 0) return;
  if (now - n.asked > 10000) {
    n.asked = -1;
    n.known = false;
    n.behind.clear();
    n.pushed.clear();
    n.wantWhole = -1;
    return;
  }
  Tick const age = registers_.majorityAge(now);
  bool const confirmed = age >= 0 && now - age >= n.wantWhole;
  transport::News news;
  news.whole = n.wantWhole >= 0 && confirmed;
  std::function<void(std::string const&)> const add = [&](std::string const& key) {
    std::map<std::string, consensus::Committed>::const_iterator const k = registers_.committed().find(key);
    if (k == registers_.committed().end()) return;
    n.pushed[key] = {k->second.revision, now};
    news.items.push_back(transport::Item{key, k->second.revision, config::withoutHistory(k->second.value)});
  };
  if (news.whole) {
    n.wantWhole = -1;
    for (std::map<std::string, consensus::Committed>::value_type const& k : registers_.committed()) add(k.first);
  } else {
    for (transport::Revisions::value_type const& b : n.behind) {
      std::map<std::string, std::pair<std::uint64_t, Tick>>::const_iterator const before = n.pushed.find(b.first);
      bool const again = before != n.pushed.end() && before->second.first >= committedRevision(b.first) &&
                         now - before->second.second < tuning_.repushEvery;
      if (!again) add(b.first);
    }
    if (news.items.empty()) return;
  }
  news.number = ++n.number;
  journal_.append(now, "news_pushed", link);
  out.sends.push_back(transport::Send{link, std::move(news)});
}

transport::Holding Controller::holding(Tick now) const {
  transport::Holding h;
  h.roster = committedRevision(rosterKey);
  h.digest = digest_;
  for (std::size_t place = 0; place < roster_.places.size(); ++place) {
    std::map<std::string, Router>::const_iterator const n = routers_.find(roster_.places[place]);
    if (n == routers_.end() || n->second.asked < 0) continue;
    if (now - n->second.asked <= tuning_.heldFor) h.heard.set(place);
    if (n->second.known && n->second.behind.empty()) h.whole.set(place);
  }
  for (std::map<std::string, Router>::value_type const& n : routers_)
    if (n.second.asked >= 0 && now - n.second.asked <= tuning_.heldFor && roster_.nodes.count(n.first) == 0)
      h.fresh.push_back(n.second.contact);
  return h;
}

void Controller::tellHolding(Commands& out, Tick now) {
  if (now < holdingAt_) return;
  transport::Holding h = holding(now);
  Tick youngest = -1;
  std::function<void(std::string const&, std::uint64_t, Tick)> const ask = [&](std::string const& key,
                                                                               std::uint64_t revision, Tick since) {
    youngest = std::max(youngest, since);
    if (h.asked.size() < maxAsked) h.asked.push_back(transport::Reached{key, revision, {}});
  };
  for (Force const& f : forces_) ask(f.key, f.revision, f.since);
  for (std::string const& key : unsettled_) ask(key, settling_.at(key).revision, settling_.at(key).since);
  bool const young = youngest >= 0 && now - youngest < tuning_.youngFor;
  holdingAt_ = now + (h.asked.empty() ? tuning_.holdingEvery
                      : young         ? tuning_.holdingWhileYoung
                                      : tuning_.holdingWhileAsking);
  for (consensus::Member const& m : registers_.membership())
    if (m.link != registers_.self().link) out.sends.push_back(transport::Send{m.link, h});
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::Holding const& m) {
  std::function<bool(consensus::Member const&)> const sender = [&](consensus::Member const& c) {
    return c.link == from;
  };
  if (std::none_of(registers_.membership().begin(), registers_.membership().end(), sender)) return;
  for (transport::Contact const& c : m.fresh) {
    if (c.link.empty() || c.role != transport::routerRole) continue;
    Router& n = routers_[c.link];
    if (n.asked >= 0 || c.inc < n.contact.inc) continue;
    n.contact = c;
    n.heard = now;
  }
  if (m.roster > 0 && m.roster == committedRevision(rosterKey)) {
    for (std::size_t place = 0; place < roster_.places.size(); ++place) {
      std::string const& link = roster_.places[place];
      if (m.heard.has(place)) routers_[link].heard = now;
      if (m.digest == digest_ && m.whole.has(place))
        for (std::string const& key : unsettled_) learned(link, key, settling_.at(key).revision);
      for (transport::Reached const& r : m.reached)
        if (r.routers.has(place)) learned(link, r.key, r.revision);
    }
    checkForces(out, now);
  }
  if (m.asked.empty()) return;
  transport::Holding answer = holding(now);
  for (transport::Reached const& asked : m.asked) {
    if (answer.reached.size() >= maxAsked) break;
    transport::Reached r{asked.key, asked.revision, {}};
    bool const have = committedRevision(asked.key) >= asked.revision;
    for (std::size_t place = 0; place < roster_.places.size(); ++place) {
      std::map<std::string, Router>::const_iterator const n = routers_.find(roster_.places[place]);
      if (n == routers_.end() || n->second.asked < 0) continue;
      transport::Revisions::const_iterator const behind = n->second.behind.find(asked.key);
      if (behind == n->second.behind.end() ? have && n->second.known : behind->second >= asked.revision)
        r.routers.set(place);
    }
    answer.reached.push_back(std::move(r));
  }
  out.sends.push_back(transport::Send{from, std::move(answer)});
}

std::uint64_t Controller::committedRevision(std::string const& key) const {
  std::map<std::string, consensus::Committed>::const_iterator const it = registers_.committed().find(key);
  return it == registers_.committed().end() ? 0 : it->second.revision;
}

bool Controller::rosterSettled(Tick now) const {
  std::uint64_t const revision = committedRevision(rosterKey);
  if (revision == 0) return true;
  return now - rosterCommittedAt_ > tuning_.fence + tuning_.fenceMargin &&
         inForce(now, rosterKey, revision, rosterCommittedAt_) != InForce::no;
}

bool Controller::rosterInForce() const {
  std::map<std::string, Settling>::const_iterator const it = settling_.find(rosterKey);
  return it != settling_.end() && it->second.inForce;
}

Controller::InForce Controller::inForce(Tick now, std::string const& key, std::uint64_t revision, Tick since) const {
  std::map<std::string, Settling>::const_iterator const settling = settling_.find(key);
  if (settling != settling_.end() && settling->second.inForce && settling->second.revision >= revision)
    return InForce::yes;
  Tick const age = registers_.majorityAge(now);
  if (age < 0 || now - age < since || settling == settling_.end()) return InForce::no;
  std::uint64_t const roster = committedRevision(rosterKey);
  std::map<std::string, Settling>::const_iterator const rosterSettling = settling_.find(rosterKey);
  std::function<bool(Settling const&, std::string const&, std::uint64_t)> const knows =
      [](Settling const& s, std::string const& link, std::uint64_t least) {
        transport::Revisions::const_iterator const it = s.has.find(link);
        return it != s.has.end() && it->second >= least;
      };
  bool all = true;
  bool settled = true;
  for (std::set<std::string> const* const links : {&roster_.nodes, &roster_.previous}) {
    std::size_t yes = 0;
    std::size_t onRoster = 0;
    for (std::string const& link : *links) {
      std::map<std::string, Router>::const_iterator const it = routers_.find(link);
      bool const gone = roster_.gone.count(link) > 0 || (it != routers_.end() && it->second.refusedAt > since);
      bool const has = gone || knows(settling->second, link, revision);
      yes += has ? 1 : 0;
      onRoster += gone || (rosterSettling != settling_.end() && knows(rosterSettling->second, link, roster)) ? 1 : 0;
      if (links == &roster_.nodes) all = all && has;
    }
    if (links->empty()) continue;
    if (links == &roster_.nodes)
      settled = yes >= links->size() / 2 + 1;
    else if (now - rosterCommittedAt_ < 4 * tuning_.fence || onRoster < links->size() / 2 + 1)
      settled = settled && yes >= links->size() / 2 + 1;
  }
  if (all) return InForce::yes;
  return settled ? InForce::majority : InForce::no;
}

bool Controller::isInForce(Tick now, std::string const& key, Settling const& s) const {
  bool const fenced = s.majorityAt >= 0 && now - s.majorityAt > tuning_.fence + tuning_.fenceMargin;
  return fenced || inForce(now, key, s.revision, s.since) == InForce::yes;
}

void Controller::watchSettling(Tick now) {
  for (std::set<std::string>::iterator key = unsettled_.begin(); key != unsettled_.end();) {
    Settling& s = settling_.at(*key);
    if (s.majorityAt < 0 && inForce(now, *key, s.revision, s.since) != InForce::no) s.majorityAt = now;
    s.inForce = isInForce(now, *key, s);
    if (s.inForce && *key != rosterKey) s.has.clear();
    key = s.inForce ? unsettled_.erase(key) : std::next(key);
  }
}

void Controller::checkForces(Commands& out, Tick now) {
  std::vector<Force> waiting;
  std::vector<Force> done;
  for (Force& f : forces_) {
    InForce const state = inForce(now, f.key, f.revision, f.since);
    if (state == InForce::majority && f.majorityAt < 0) f.majorityAt = now;
    bool const fenced = f.majorityAt >= 0 && now - f.majorityAt > tuning_.fence + tuning_.fenceMargin;
    if (state == InForce::yes || fenced) {
      f.body.insert("inForce", true);
      done.push_back(f);
    } else if (now - f.since > tuning_.forceLimit) {
      f.body = pendingBody(f.body, f.revision);
      f.status = 504;
      done.push_back(f);
    } else {
      waiting.push_back(f);
    }
  }
  forces_ = std::move(waiting);
  for (Force const& f : done) finish(out, now, f.call, f.status, f.body);
}

Commands Controller::probed(Tick now, std::string const& link, bool refused) {
  Commands out;
  std::map<std::string, Router>::iterator const it = routers_.find(link);
  if (it == routers_.end()) return out;
  it->second.refusedAt = refused ? now : -1;
  checkForces(out, now);
  return out;
}

void Controller::considerRoster(Commands& out, Tick now) {
  if (now < rosterAt_ || rosterCalling_ || draining_ || !ready(now)) return;
  rosterAt_ = now + 300;
  std::function<bool(std::map<std::string, Router>::value_type const&)> const silent =
      [&](std::map<std::string, Router>::value_type const& n) {
        return n.second.heard >= 0 && now - n.second.heard > tuning_.forgetAfter;
      };
  if (std::any_of(routers_.begin(), routers_.end(), silent)) {
    std::set<std::string> const& kept = roster_.nodes;
    std::erase_if(routers_, [&](std::map<std::string, Router>::value_type const& n) {
      return silent(n) && kept.count(n.first) == 0;
    });
  }
  std::string const owner = registers_.ownerLink(rosterKey, now);
  if (owner != registers_.self().link && (!owner.empty() || committedRevision(rosterKey) > 0)) return;
  if (owner.empty() && registers_.membership().front().id != registers_.self().id) return;
  if (!rosterSettled(now)) return;
  std::map<std::string, QJsonObject> nodes;
  std::map<std::string, consensus::Committed>::const_iterator const it = registers_.committed().find(rosterKey);
  if (it != registers_.committed().end())
    for (QJsonValue const v : it->second.value.value("nodes").toArray())
      nodes[core::str(v.toObject().value("link").toString())] = v.toObject();
  bool changed = false;
  std::set<std::string> gone = roster_.gone;
  for (std::map<std::string, Router>::value_type const& n : routers_) {
    if (n.second.heard < 0 || now - n.second.heard > 2000 || n.second.contact.role != transport::routerRole ||
        n.second.contact.draining || nodes.count(n.first) > 0)
      continue;
    nodes[n.first] = QJsonObject{{"link", core::qstr(n.first)},
                                 {"http", core::qstr(n.second.contact.http)},
                                 {"zone", core::qstr(n.second.contact.zone)}};
    gone.erase(n.first);
    changed = true;
  }
  if (now - started_ > tuning_.strikeAfter) {
    for (std::map<std::string, QJsonObject>::iterator n = nodes.begin(); n != nodes.end();) {
      std::map<std::string, Router>::const_iterator const seen = routers_.find(n->first);
      Tick const direct = seen == routers_.end() || seen->second.heard < 0 ? now - started_ : now - seen->second.heard;
      Tick const told = partialView_.age(n->first, now);
      bool const dark = direct > tuning_.strikeAfter && (told < 0 || told > tuning_.strikeAfter);
      changed = changed || dark;
      n = dark ? nodes.erase(n) : std::next(n);
    }
  }
  if (!changed) return;
  QJsonArray list;
  for (std::map<std::string, QJsonObject>::value_type const& n : nodes) list.append(n.second);
  QJsonArray goneList;
  for (std::string const& link : gone) goneList.append(core::qstr(link));
  std::uint64_t const id = nextCall_++;
  CallState state;
  state.key = rosterKey;
  state.call.token = id;
  state.call.method = rosterMethod;
  state.call.path = "/v1/roster/nodes";
  state.call.ifMatch = std::to_string(committedRevision(rosterKey));
  state.call.body = core::jsonText(QJsonObject{{"nodes", list}, {"gone", goneList}});
  state.since = now;
  calls_[id] = state;
  rosterCalling_ = true;
  out.logEvents.push_back(core::LogEvent{"roster", {{"nodes", std::to_string(nodes.size())}}});
  take(out, now, registers_.call(now, rosterKey, state.call));
}

Controller::Lease* Controller::grant(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc,
                                     Tick term, bool& ok) {
  if (!ready(now) || now - started_ < term + 500) return nullptr;
  if (joinedAt_ >= 0 && now - joinedAt_ < term + tuning_.fence + 500) return nullptr;
  if (leases_.size() >= maxLeases && leases_.count(what) == 0) return nullptr;
  Lease& lease = leases_[what];
  bool const mine = lease.holder == holder && lease.inc == inc;
  bool const successor = lease.holder == holder && lease.inc == 0;
  ok = mine || successor || now >= lease.until;
  if (ok) {
    if (!mine || successor) ++lease.term;
    lease.holder = holder;
    lease.inc = inc;
    lease.until = now + term;
    lease.waiting.erase(holder);
  }
  return &lease;
}

void Controller::release(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc,
                         std::string const& successor, Tick term) {
  std::map<std::string, Lease>::iterator const it = leases_.find(what);
  if (it == leases_.end() || it->second.holder != holder || it->second.inc != inc) return;
  it->second.holder = successor;
  it->second.inc = 0;
  it->second.until = successor.empty() ? now : now + term;
}

void Controller::on(Commands& out, Tick now, std::string const& from, transport::WarmAsk const& m) {
  if (m.release) {
    release(now, m.replica, m.link, m.inc, m.successor, tuning_.warmLease);
    return;
  }
  bool ok = false;
  Lease const* const lease = grant(now, m.replica, m.link, m.inc, tuning_.warmLease, ok);
  if (lease == nullptr) return;
  out.sends.push_back(transport::Send{
      from, transport::WarmGrant{m.tick, m.replica, registers_.self().id, ok, lease->term, lease->holder}});
}

Answer Controller::dutyPage(Tick now, transport::Call const& call, std::string const& name) {
  if (call.method != "PUT" && call.method != "DELETE") return {call.token, 405, {{"error", "method not allowed"}}};
  QJsonObject body;
  try {
    body = core::parseJson(call.body).toObject();
  } catch (core::JsonError const& e) {
    return {call.token, 400, {{"error", "malformed"}, {"reason", e.what()}, {"pointer", "/"}}};
  }
  std::string const holder = core::str(body.value("holder").toString());
  std::string const successor = core::str(body.value("successor").toString());
  if (holder.empty() || holder.size() > 64 || successor.size() > 64)
    return {
        call.token,
        422,
        {{"error", "not a valid duty"}, {"reason", "holder must be a name of 1 to 64 bytes"}, {"pointer", "/holder"}}};
  std::string const what = "duty " + name;
  if (call.method == "DELETE") {
    release(now, what, holder, 1, successor, tuning_.dutyLease);
    return {call.token, 200, {{"granted", false}}};
  }
  bool ok = false;
  Lease* const lease = grant(now, what, holder, 1, tuning_.dutyLease, ok);
  if (lease == nullptr)
    return {call.token,
            503,
            {{"error", "not granted"},
             {"reason", "not in touch with a majority, or started too lately to know who has it"}}};
  if (!ok) lease->waiting[holder] = now;
  std::erase_if(lease->waiting,
                [&](std::map<std::string, Tick>::value_type const& w) { return now - w.second > tuning_.dutyLease; });
  QJsonArray members;
  for (consensus::Member const& m : registers_.membership()) members.append(core::qstr(m.id));
  QJsonArray waiting;
  for (std::map<std::string, Tick>::value_type const& w : lease->waiting) waiting.append(core::qstr(w.first));
  return {call.token,
          200,
          {{"granted", ok},
           {"holder", core::qstr(lease->holder)},
           {"epoch", static_cast<qint64>(lease->term)},
           {"member", core::qstr(registers_.self().id)},
           {"cohort", members},
           {"waiting", waiting},
           {"cohortStamp", static_cast<qint64>(committedRevision("cohort"))}}};
}

Commands Controller::written(Tick now, std::uint64_t ticket, bool ok) {
  Commands out;
  take(out, now, registers_.written(now, ticket, ok));
  return out;
}

Commands Controller::clockEvent(Tick now) {
  Commands out;
  if (registers_.seeking()) {
    std::vector<std::string> links = partialView_.seeds();
    for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) links.push_back(c.link);
    registers_.meet(std::move(links));
  }
  take(out, now, registers_.clockEvent(now));
  if (!registers_.voting()) joinedAt_ = now;
  std::vector<transport::Send> sends = partialView_.clockEvent(now);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  for (std::map<std::string, Router>::value_type& n : routers_) push(out, now, n.first, n.second);
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> again;
  for (std::map<std::uint64_t, CallState>::value_type const& c : calls_) {
    bool const forcing = std::any_of(forces_.begin(), forces_.end(), [&](Force const& f) { return f.call == c.first; });
    if (now - c.second.since > tuning_.forwardLimit)
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

Commands Controller::drain(Tick now) {
  Commands out;
  draining_ = true;
  partialView_.setDraining();
  take(out, now, registers_.handOver(now));
  return out;
}

bool Controller::ready(Tick now) const {
  Tick const age = registers_.majorityAge(now);
  return !draining_ && age >= 0 && age <= tuning_.fence;
}

Answer Controller::templatesPage(transport::Call const& call) const {
  QJsonArray names;
  for (std::map<std::string, consensus::Committed>::value_type const& c : registers_.committed())
    if (c.first.rfind("family:", 0) == 0 && c.second.value.contains("template"))
      names.append(core::qstr(c.first.substr(7)));
  return {call.token, 200, {{"templates", names}}};
}

Answer Controller::changePage(Tick now, transport::Call const& call) const {
  QString const id = core::qstr(call.path.substr(changesPage.size()));
  for (std::map<std::string, consensus::Committed>::value_type const& c : registers_.committed())
    for (QJsonValue const v : c.second.value.value("changes").toArray()) {
      QJsonObject const change = v.toObject();
      if (change.value("id").toString() != id) continue;
      QJsonObject body{{"changeId", id},
                       {"key", core::qstr(c.first)},
                       {"status", change.value("status")},
                       {"stamp", change.value("stamp")}};
      if (change.contains("version")) body.insert("version", change.value("version"));
      if (!tuning_.awaitInForce) return {call.token, 200, body};
      body.insert("inForce", true);
      std::map<std::string, Settling>::const_iterator const s = settling_.find(c.first);
      bool const force =
          s != settling_.end() && s->second.revision == c.second.revision && isInForce(now, c.first, s->second);
      if (force) return {call.token, 200, body};
      return {call.token, 504, pendingBody(body, static_cast<std::uint64_t>(change.value("stamp").toInteger()))};
    }
  return {call.token,
          404,
          {{"error", "not found"},
           {"reason", "not accepted so far; final once a later change of the same template was accepted"}}};
}

bool Controller::contactBeganAfter(Tick now, Tick moment) const {
  Tick const age = registers_.majorityAge(now);
  return !draining_ && age >= 0 && now - age >= moment;
}

void Controller::answerQuestions(Commands& out, Tick now) {
  std::vector<Question> waiting;
  for (Question& q : questions_) {
    if (contactBeganAfter(now, q.since))
      out.answers.push_back(q.call.path == templatesPath ? templatesPage(q.call) : changePage(now, q.call));
    else if (draining_ || now - q.since > tuning_.contactLimit)
      out.answers.push_back(Answer{q.call.token, 503, outOfContact()});
    else
      waiting.push_back(std::move(q));
  }
  questions_ = std::move(waiting);
}

void Controller::answerOutOfContact(Commands& out, Tick now) {
  std::vector<std::uint64_t> cutOff;
  for (std::map<std::uint64_t, CallState>::value_type const& c : calls_) {
    CallState const& state = c.second;
    bool const ofOperator = state.from.empty() && state.token != 0;
    if (ofOperator && now - state.since > tuning_.contactLimit && !contactBeganAfter(now, state.since))
      cutOff.push_back(c.first);
  }
  for (std::uint64_t const id : cutOff) {
    if (isChange(calls_.at(id).call.method))
      finish(out, now, id, 504,
             {{"error", "unknown"}, {"reason", "no majority was reached in time; ask by the change id"}});
    else
      finish(out, now, id, 503, outOfContact());
  }
}

QJsonObject Controller::fleet(Tick now) const {
  QJsonArray members;
  for (consensus::Member const& m : registers_.membership())
    members.append(QJsonObject{{"id", core::qstr(m.id)}, {"link", core::qstr(m.link)}});
  QJsonArray nodes;
  for (std::string const& link : roster_.nodes) {
    std::map<std::string, Router>::const_iterator const it = routers_.find(link);
    qint64 behind = 0;
    for (std::string const& key : unsettled_) {
      Settling const& s = settling_.at(key);
      transport::Revisions::const_iterator const have = s.has.find(link);
      behind += have == s.has.end() || have->second < s.revision ? 1 : 0;
    }
    bool const seen = it != routers_.end() && it->second.heard >= 0;
    nodes.append(QJsonObject{{"link", core::qstr(link)},
                             {"http", core::qstr(seen ? it->second.contact.http : "")},
                             {"zone", core::qstr(seen ? it->second.contact.zone : "")},
                             {"heardMsAgo", seen ? static_cast<qint64>(now - it->second.heard) : -1},
                             {"keysBehind", behind}});
  }
  QJsonObject revisions;
  QJsonObject owners;
  for (std::map<std::string, consensus::Committed>::value_type const& c : registers_.committed()) {
    revisions.insert(core::qstr(c.first), static_cast<qint64>(c.second.revision));
    owners.insert(core::qstr(c.first), core::qstr(registers_.ownerLink(c.first, now)));
  }
  return QJsonObject{{"self", core::qstr(registers_.self().link)},
                     {"member", core::qstr(registers_.self().id)},
                     {"voting", registers_.voting()},
                     {"diskOk", registers_.diskOk()},
                     {"ready", ready(now)},
                     {"majorityAgeMs", static_cast<qint64>(registers_.majorityAge(now))},
                     {"cohort", members},
                     {"nacelles", nodes},
                     {"stamps", revisions},
                     {"owners", owners}};
}

std::string Controller::metrics(Tick now) const {
  std::string out = "# TYPE corkward_substation_events_total counter\n";
  for (std::map<std::string, std::uint64_t>::value_type const& c : journal_.counts())
    out += "corkward_substation_events_total{event=\"" + c.first + "\"} " + std::to_string(c.second) + "\n";
  out +=
      "# TYPE corkward_substation_ready gauge\ncorkward_substation_ready " + std::string(ready(now) ? "1" : "0") + "\n";
  out += "# TYPE corkward_substation_majority_age_ms gauge\ncorkward_substation_majority_age_ms " +
         std::to_string(registers_.majorityAge(now)) + "\n";
  out += "# TYPE corkward_substation_owned_keys gauge\ncorkward_substation_owned_keys " +
         std::to_string(registers_.ownedCount()) + "\n";
  out += "# TYPE corkward_substation_calls_in_hand gauge\ncorkward_substation_calls_in_hand " +
         std::to_string(calls_.size()) + "\n";
  config::Regimes const regimes = around().regimes();
  if (!wall_ || regimes.certificates.empty()) return out;
  out += "# TYPE corkward_substation_certificate_seconds_left gauge\n";
  for (std::map<std::string, config::Certificate>::value_type const& c : regimes.certificates)
    out += "corkward_substation_certificate_seconds_left{certificate=\"" + c.first + "\",regime=\"" + c.second.regime +
           "\"} " + std::to_string((c.second.until - config::wallMargin - *wall_) / 1000) + "\n";
  return out;
}

}  // namespace corkward::control
