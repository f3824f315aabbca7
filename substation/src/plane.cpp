#include <corkward/substation/plane.h>

#include <QJsonArray>
#include <algorithm>
#include <functional>

#include <corkward/blueprint/blueprint.h>
#include <corkward/core/json.h>
#include <corkward/substation/judge.h>

namespace corkward::substation {

namespace {

constexpr char const* rosterKey = "roster";
constexpr char const* rosterMethod = "ROSTER";
constexpr std::size_t maxCalls = 4096;
constexpr std::size_t maxLeases = 4096;

/// A change that is on the disks but cannot be shown to be in force is no success that a script could take it for.
QJsonObject pendingBody(QJsonObject body, std::uint64_t stamp) {
  body.insert("error", "pending");
  body.insert("pending", true);
  body.insert("inForce", false);
  body.insert("stamp", static_cast<qint64>(stamp));
  body.insert("reason", "accepted on disk, not yet in force; ask by the change id");
  return body;
}

bool isChange(std::string const& method) { return method == "PUT" || method == "PATCH" || method == "DELETE"; }

}  // namespace

Plane::Plane(signal::Contact self, std::string memberId, std::vector<std::string> seeds, std::vector<std::string> founders,
             std::uint64_t seed, Tuning tuning)
    : tuning_(tuning),
      lookout_(self, std::move(seeds), seed ^ 0x51),
      mooring_(mooring::Member{std::move(memberId), self.link}, std::move(founders),
               [this](std::string const& key, std::uint64_t stamp, QJsonObject const& value, signal::Call const& call) {
                 return judge(key, stamp, value, call, [this](std::string const& pool) {
                   return mooring_.committed().count("pool:" + pool) > 0;
                 });
               },
               seed ^ 0x77, tuning.mooring) {}

Commands Plane::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
  Commands out;
  started_ = now;
  take(out, now, mooring_.restore(slots, damaged, now));
  return out;
}

void Plane::take(Commands& out, Tick now, mooring::Commands&& from) {
  std::move(from.sends.begin(), from.sends.end(), std::back_inserter(out.sends));
  std::move(from.persists.begin(), from.persists.end(), std::back_inserter(out.persists));
  for (core::Note& n : from.notes) {
    journal_.append(now, n.event, n.fields.count("key") > 0 ? n.fields["key"] : "");
    out.notes.push_back(std::move(n));
  }
  for (mooring::Committed const& c : from.commits) {
    journal_.append(now, "committed", c.key);
    if (c.key == rosterKey) rosterCommittedAt_ = now;
    settling_[c.key] = Settling{c.stamp, now, -1};
    out.notes.push_back(core::Note{"committed", {{"key", c.key}, {"stamp", std::to_string(c.stamp)}}});
  }
  for (mooring::Decided const& d : from.decided) decided(out, now, d);
  for (std::pair<std::string, signal::Call> const& r : from.reroute) route(out, now, r.second.token);
  if (!from.commits.empty())
    for (std::map<std::string, Nacelle>::value_type& n : nacelles_) push(out, now, n.first, n.second);
}

void Plane::decided(Commands& out, Tick now, mooring::Decided const& d) {
  std::map<std::uint64_t, CallState>::const_iterator const it = calls_.find(d.token);
  if (it == calls_.end()) return;
  bool const replayed = d.body.value("replayed").toBool() && d.status < 300;
  if (d.stamp == 0 && !replayed) {
    finish(out, now, d.token, d.status, d.body);
    return;
  }
  Force f;
  f.call = d.token;
  f.key = d.key;
  f.stamp = d.stamp != 0 ? d.stamp : static_cast<std::uint64_t>(d.body.value("stamp").toInteger());
  f.since = now;
  f.status = d.status;
  f.body = d.body;
  forces_.push_back(f);
  checkForces(out, now);
}

void Plane::finish(Commands& out, Tick now, std::uint64_t call, int status, QJsonObject body) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(call);
  if (it == calls_.end()) return;
  CallState const state = std::move(it->second);
  calls_.erase(it);
  if (state.call.method == rosterMethod) rosterCalling_ = false;
  if (!body.contains("changeId") && isChange(state.call.method)) body.insert("changeId", core::qstr(state.call.changeId));
  journal_.append(now, "answered_" + std::to_string(status), state.call.path);
  if (isChange(state.call.method))
    out.notes.push_back(core::Note{"change", {{"path", state.call.path}, {"status", std::to_string(status)}, {"change-id", state.call.changeId}}});
  if (!state.from.empty())
    out.sends.push_back(signal::Send{state.from, signal::Outcome{state.token, status, body}});
  else if (state.token != 0)
    out.answers.push_back(Answer{state.token, status, body});
}

Commands Plane::operatorCall(Tick now, signal::Call const& call) {
  Commands out;
  int status = 0;
  QJsonObject const page = localPage(now, call, status);
  if (status != 0) {
    out.answers.push_back(Answer{call.token, status, page});
    return out;
  }
  std::string const duties = "/v1/duties/";
  if (call.path.rfind(duties, 0) == 0 && blueprint::validName(call.path.substr(duties.size()))) {
    if (leases_.size() < maxLeases || leases_.count("duty " + call.path.substr(duties.size())) > 0)
      out.answers.push_back(dutyPage(now, call, call.path.substr(duties.size())));
    else
      out.answers.push_back(Answer{call.token, 503, {{"error", "not granted"}, {"reason", "too many duties"}}});
    return out;
  }
  std::optional<Target> const target = targetOf(call.path);
  bool const zoneOrPool = target && (target->key.rfind("zone:", 0) == 0 || target->key.rfind("pool:", 0) == 0);
  bool const known = call.method == "GET" || call.method == "PUT" || call.method == "DELETE" ||
                     (call.method == "PATCH" && !zoneOrPool);
  bool const node = target && target->key == rosterKey;
  if (!target || (node && (target->instance.empty() || call.method != "DELETE"))) {
    out.answers.push_back(Answer{call.token, 404, {{"error", "not found"}, {"reason", "no such page"}}});
  } else if (!known || (call.method == "DELETE" && target->key.rfind("pool:", 0) == 0)) {
    out.answers.push_back(Answer{call.token, 405, {{"error", "method not allowed"}}});
  } else if (call.body.size() > maxBody) {
    out.answers.push_back(Answer{call.token, 413, {{"error", "too large"}}});
  } else if (draining_ || calls_.size() >= maxCalls) {
    out.answers.push_back(Answer{call.token, 503, {{"error", "not accepted"}, {"reason", draining_ ? "leaving" : "too many calls in hand"}}});
  } else {
    std::uint64_t const id = nextCall_++;
    CallState state;
    state.token = call.token;
    state.key = target->key;
    state.call = call;
    state.call.token = id;
    state.since = now;
    calls_[id] = state;
    if (call.method == "PUT" && target->key.rfind("pool:", 0) == 0 && !call.dryRun) hint(out, now, call, target->key.substr(5));
    route(out, now, id);
  }
  return out;
}

void Plane::hint(Commands& out, Tick now, signal::Call const& call, std::string const& pool) {
  try {
    blueprint::Pool const next = blueprint::readPool(core::parseJson(call.body).toObject());
    signal::Hint h{pool, next.generation, {}, {}};
    for (blueprint::Replica const& r : next.replicas) {
      if (r.state == blueprint::ReplicaState::serving) h.serving.push_back(r.address);
      if (r.state == blueprint::ReplicaState::cold) h.cold.push_back(r.address);
    }
    on(out, now, "", h);
  } catch (core::Error const&) {
    return;
  }
}

std::uint64_t Plane::generationOf(std::string const& pool) const {
  std::map<std::string, mooring::Committed>::const_iterator const it = mooring_.committed().find("pool:" + pool);
  return it == mooring_.committed().end() ? 0 : static_cast<std::uint64_t>(it->second.value.value("generation").toInteger());
}

void Plane::on(Commands& out, Tick now, std::string const&, signal::Hint const& m) {
  std::uint64_t const have = generationOf(m.pool);
  if (have == 0 || m.generation <= have) return;
  std::map<std::string, signal::Hint>::iterator const it = hints_.find(m.pool);
  if (it != hints_.end() && it->second.generation >= m.generation) return;
  hints_[m.pool] = m;
  journal_.append(now, "leaving_hint", m.pool);
  for (std::map<std::string, Nacelle>::value_type const& n : nacelles_)
    if (n.second.heard >= 0) out.sends.push_back(signal::Send{n.first, m});
  for (mooring::Member const& c : mooring_.cohort())
    if (c.link != mooring_.self().link) out.sends.push_back(signal::Send{c.link, m});
}

void Plane::route(Commands& out, Tick now, std::uint64_t id) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  CallState& state = it->second;
  std::string const owner = mooring_.ownerLink(state.key, now);
  if (state.from.empty() && !owner.empty() && owner != mooring_.self().link) {
    state.relayed = true;
    state.sentAt = now;
    out.sends.push_back(signal::Send{owner, state.call});
    return;
  }
  if (!owner.empty() && owner != mooring_.self().link) {
    finish(out, now, id, 421, {{"error", "not the owner"}});
    return;
  }
  state.relayed = false;
  take(out, now, mooring_.call(now, state.key, state.call));
}

Commands Plane::arrived(Tick now, std::string const& from, signal::Message const& message) {
  Commands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); })
          this->on(out, now, from, m);
        else
          take(out, now, mooring_.arrived(now, from, message));
      },
      message);
  return out;
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Shuffle const& m) {
  std::vector<signal::Send> sends = lookout_.arrived(now, from, m);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Call const& m) {
  std::optional<Target> const target = targetOf(m.path);
  if (!target || draining_ || calls_.size() >= maxCalls) {
    out.sends.push_back(signal::Send{from, signal::Outcome{m.token, 421, {}}});
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
  calls_[id] = state;
  route(out, now, id);
}

void Plane::on(Commands& out, Tick now, std::string const&, signal::Outcome const& m) {
  std::map<std::uint64_t, CallState>::iterator const it = calls_.find(m.token);
  if (it == calls_.end() || !it->second.relayed) return;
  if (m.status == 421) {
    it->second.relayed = false;
    return;
  }
  finish(out, now, m.token, m.status, m.body);
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::NewsAck const& m) {
  acked(out, now, m.link, m.inc, m.stamps);
  if (m.relayed || from != m.link) return;
  signal::NewsAck relayed = m;
  relayed.relayed = true;
  for (mooring::Member const& c : mooring_.cohort())
    if (c.link != mooring_.self().link) out.sends.push_back(signal::Send{c.link, relayed});
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Ask const& m) {
  if (m.self.link.empty() || m.self.link != from) return;
  std::vector<signal::Send> sends = lookout_.heard(now, m.self);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  acked(out, now, from, m.self.inc, m.stamps);
  Nacelle& n = nacelles_[from];
  n.contact = m.self;
  if (m.wantWhole && n.wantWhole < 0) n.wantWhole = now;
  if (!m.wantWhole) n.wantWhole = -1;
  signal::Confirm c;
  c.tick = m.tick;
  Tick const age = mooring_.majorityAge(now);
  c.inTouch = age >= 0 && age <= tuning_.fence;
  c.age = std::max<Tick>(age, 0);
  for (std::map<std::string, mooring::Committed>::value_type const& k : mooring_.committed()) c.stamps[k.first] = k.second.stamp;
  for (std::map<std::string, signal::Hint>::iterator h = hints_.begin(); h != hints_.end();)
    h = h->second.generation <= generationOf(h->first) ? hints_.erase(h) : std::next(h);
  for (std::map<std::string, signal::Hint>::value_type const& h : hints_) c.hints.push_back(h.second);
  out.sends.push_back(signal::Send{from, c});
  push(out, now, from, n);
}

void Plane::acked(Commands& out, Tick now, std::string const& link, std::uint64_t inc, signal::Stamps const& stamps) {
  Nacelle& n = nacelles_[link];
  if (inc < n.contact.inc) return;
  if (inc > n.contact.inc) {
    n.stamps.clear();
    n.pushed.clear();
    n.contact.inc = inc;
    n.contact.link = link;
  }
  n.heard = now;
  n.refusedAt = -1;
  for (signal::Stamps::value_type const& s : stamps) n.stamps[s.first] = std::max(n.stamps[s.first], s.second);
  checkForces(out, now);
}

void Plane::push(Commands& out, Tick now, std::string const& link, Nacelle& n) {
  if (n.heard < 0 || now - n.heard > 10000) return;
  Tick const age = mooring_.majorityAge(now);
  bool const whole = n.wantWhole >= 0 && age >= 0 && now - age >= n.wantWhole;
  signal::News news;
  news.whole = whole;
  for (std::map<std::string, mooring::Committed>::value_type const& k : mooring_.committed()) {
    signal::Stamps::const_iterator const have = n.stamps.find(k.first);
    if (!whole && have != n.stamps.end() && have->second >= k.second.stamp) continue;
    std::pair<std::uint64_t, Tick>& pushed = n.pushed[k.first];
    if (!whole && pushed.first >= k.second.stamp && now - pushed.second < tuning_.repushEvery) continue;
    pushed = {k.second.stamp, now};
    news.items.push_back(signal::Item{k.first, k.second.stamp, k.second.value});
  }
  if (news.items.empty() && !whole) return;
  news.number = ++n.number;
  if (whole) n.wantWhole = -1;
  journal_.append(now, "news_pushed", link);
  out.sends.push_back(signal::Send{link, std::move(news)});
}

std::uint64_t Plane::committedStamp(std::string const& key) const {
  std::map<std::string, mooring::Committed>::const_iterator const it = mooring_.committed().find(key);
  return it == mooring_.committed().end() ? 0 : it->second.stamp;
}

std::set<std::string> Plane::rosterLinks(char const* field) const {
  std::set<std::string> out;
  std::map<std::string, mooring::Committed>::const_iterator const it = mooring_.committed().find(rosterKey);
  if (it == mooring_.committed().end()) return out;
  for (QJsonValue const v : it->second.value.value(QLatin1String(field)).toArray())
    out.insert(core::str(v.isString() ? v.toString() : v.toObject().value("link").toString()));
  return out;
}

bool Plane::rosterSettled(Tick now) const {
  std::uint64_t const stamp = committedStamp(rosterKey);
  if (stamp == 0) return true;
  return now - rosterCommittedAt_ > tuning_.fence + tuning_.fenceMargin &&
         inForce(now, rosterKey, stamp, rosterCommittedAt_) != InForce::no;
}

Plane::InForce Plane::inForce(Tick now, std::string const& key, std::uint64_t stamp, Tick since) const {
  Tick const age = mooring_.majorityAge(now);
  if (age < 0 || now - age < since) return InForce::no;
  std::uint64_t const roster = committedStamp(rosterKey);
  std::set<std::string> const declaredGone = rosterLinks("gone");
  bool all = true;
  bool settled = true;
  for (char const* field : {"nodes", "previous"}) {
    std::set<std::string> const links = rosterLinks(field);
    std::size_t yes = 0;
    std::size_t onRoster = 0;
    for (std::string const& link : links) {
      std::map<std::string, Nacelle>::const_iterator const it = nacelles_.find(link);
      bool const known = it != nacelles_.end();
      bool const gone = declaredGone.count(link) > 0 || (known && it->second.refusedAt > since);
      bool const has = gone || (known && it->second.stamps.count(key) > 0 && it->second.stamps.at(key) >= stamp);
      yes += has ? 1 : 0;
      onRoster += gone || (known && it->second.stamps.count(rosterKey) > 0 && it->second.stamps.at(rosterKey) >= roster) ? 1 : 0;
      if (field == std::string("nodes")) all = all && has;
    }
    if (links.empty()) continue;
    if (field == std::string("nodes"))
      settled = yes >= links.size() / 2 + 1;
    else if (now - rosterCommittedAt_ < 4 * tuning_.fence || onRoster < links.size() / 2 + 1)
      settled = settled && yes >= links.size() / 2 + 1;
  }
  if (all) return InForce::yes;
  return settled ? InForce::majority : InForce::no;
}

bool Plane::isInForce(Tick now, std::string const& key, Settling const& s) const {
  bool const fenced = s.majorityAt >= 0 && now - s.majorityAt > tuning_.fence + tuning_.fenceMargin;
  return fenced || inForce(now, key, s.stamp, s.since) == InForce::yes;
}

void Plane::watchSettling(Tick now) {
  for (std::map<std::string, mooring::Committed>::value_type const& c : mooring_.committed()) {
    Settling& s = settling_.try_emplace(c.first, Settling{c.second.stamp, now, -1}).first->second;
    if (s.majorityAt < 0 && inForce(now, c.first, s.stamp, s.since) != InForce::no) s.majorityAt = now;
  }
}

void Plane::checkForces(Commands& out, Tick now) {
  std::vector<Force> waiting;
  std::vector<Force> done;
  for (Force& f : forces_) {
    InForce const state = inForce(now, f.key, f.stamp, f.since);
    if (state == InForce::majority && f.majorityAt < 0) f.majorityAt = now;
    bool const fenced = f.majorityAt >= 0 && now - f.majorityAt > tuning_.fence + tuning_.fenceMargin;
    if (state == InForce::yes || fenced) {
      f.body.insert("inForce", true);
      done.push_back(f);
    } else if (now - f.since > tuning_.forceLimit) {
      f.body = pendingBody(f.body, f.stamp);
      f.status = 504;
      done.push_back(f);
    } else {
      waiting.push_back(f);
    }
  }
  forces_ = std::move(waiting);
  for (Force const& f : done) finish(out, now, f.call, f.status, f.body);
}

Commands Plane::probed(Tick now, std::string const& link, bool refused) {
  Commands out;
  std::map<std::string, Nacelle>::iterator const it = nacelles_.find(link);
  if (it == nacelles_.end()) return out;
  it->second.refusedAt = refused ? now : -1;
  checkForces(out, now);
  return out;
}

void Plane::considerRoster(Commands& out, Tick now) {
  if (now < rosterAt_ || rosterCalling_ || draining_ || !ready(now)) return;
  rosterAt_ = now + 300;
  std::function<bool(std::map<std::string, Nacelle>::value_type const&)> const silent = [&](std::map<std::string, Nacelle>::value_type const& n) {
    return n.second.heard >= 0 && now - n.second.heard > tuning_.forgetAfter;
  };
  if (std::any_of(nacelles_.begin(), nacelles_.end(), silent)) {
    std::set<std::string> const kept = rosterLinks("nodes");
    std::erase_if(nacelles_, [&](std::map<std::string, Nacelle>::value_type const& n) { return silent(n) && kept.count(n.first) == 0; });
  }
  std::string const owner = mooring_.ownerLink(rosterKey, now);
  if (owner != mooring_.self().link && (!owner.empty() || committedStamp(rosterKey) > 0)) return;
  if (owner.empty() && mooring_.cohort().front().id != mooring_.self().id) return;
  if (!rosterSettled(now)) return;
  std::map<std::string, QJsonObject> nodes;
  std::map<std::string, mooring::Committed>::const_iterator const it = mooring_.committed().find(rosterKey);
  if (it != mooring_.committed().end())
    for (QJsonValue const v : it->second.value.value("nodes").toArray())
      nodes[core::str(v.toObject().value("link").toString())] = v.toObject();
  bool changed = false;
  std::set<std::string> gone = rosterLinks("gone");
  for (std::map<std::string, Nacelle>::value_type const& n : nacelles_) {
    if (n.second.heard < 0 || now - n.second.heard > 2000 || n.second.contact.role != "nacelle" || n.second.contact.draining ||
        nodes.count(n.first) > 0)
      continue;
    nodes[n.first] = QJsonObject{{"link", core::qstr(n.first)},
                                 {"http", core::qstr(n.second.contact.http)},
                                 {"zone", core::qstr(n.second.contact.zone)}};
    gone.erase(n.first);
    changed = true;
  }
  if (now - started_ > tuning_.strikeAfter) {
    for (std::map<std::string, QJsonObject>::iterator n = nodes.begin(); n != nodes.end();) {
      std::map<std::string, Nacelle>::const_iterator const seen = nacelles_.find(n->first);
      Tick const direct = seen == nacelles_.end() || seen->second.heard < 0 ? now - started_ : now - seen->second.heard;
      Tick const told = lookout_.age(n->first, now);
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
  state.call.ifMatch = std::to_string(committedStamp(rosterKey));
  state.call.body = core::jsonText(QJsonObject{{"nodes", list}, {"gone", goneList}});
  state.since = now;
  calls_[id] = state;
  rosterCalling_ = true;
  out.notes.push_back(core::Note{"roster", {{"nodes", std::to_string(nodes.size())}}});
  take(out, now, mooring_.call(now, rosterKey, state.call));
}

Plane::Lease* Plane::grant(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc, Tick term, bool& ok) {
  if (!ready(now) || now - started_ < term + 500) return nullptr;
  if (joinedAt_ >= 0 && now - joinedAt_ < term + tuning_.fence + 500) return nullptr;
  if (leases_.size() >= maxLeases && leases_.count(what) == 0) return nullptr;
  Lease& lease = leases_[what];
  bool const mine = lease.holder == holder && lease.inc == inc;
  bool const successor = lease.holder == holder && lease.inc == 0;
  ok = mine || successor || now >= lease.until;
  if (ok) {
    if (!mine || successor) ++lease.epoch;
    lease.holder = holder;
    lease.inc = inc;
    lease.until = now + term;
    lease.waiting.erase(holder);
  }
  return &lease;
}

void Plane::release(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc, std::string const& successor, Tick term) {
  std::map<std::string, Lease>::iterator const it = leases_.find(what);
  if (it == leases_.end() || it->second.holder != holder || it->second.inc != inc) return;
  it->second.holder = successor;
  it->second.inc = 0;
  it->second.until = successor.empty() ? now : now + term;
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::WarmAsk const& m) {
  if (m.release) {
    release(now, m.replica, m.link, m.inc, m.successor, tuning_.warmLease);
    return;
  }
  bool ok = false;
  Lease const* const lease = grant(now, m.replica, m.link, m.inc, tuning_.warmLease, ok);
  if (lease == nullptr) return;
  out.sends.push_back(signal::Send{from, signal::WarmGrant{m.tick, m.replica, mooring_.self().id, ok, lease->epoch, lease->holder}});
}

Answer Plane::dutyPage(Tick now, signal::Call const& call, std::string const& name) {
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
    return {call.token, 422, {{"error", "not a valid duty"}, {"reason", "holder must be a name of 1 to 64 bytes"}, {"pointer", "/holder"}}};
  std::string const what = "duty " + name;
  if (call.method == "DELETE") {
    release(now, what, holder, 1, successor, tuning_.dutyLease);
    return {call.token, 200, {{"granted", false}}};
  }
  bool ok = false;
  Lease* const lease = grant(now, what, holder, 1, tuning_.dutyLease, ok);
  if (lease == nullptr)
    return {call.token, 503, {{"error", "not granted"}, {"reason", "not in touch with a majority, or started too lately to know who has it"}}};
  if (!ok) lease->waiting[holder] = now;
  std::erase_if(lease->waiting, [&](std::map<std::string, Tick>::value_type const& w) { return now - w.second > tuning_.dutyLease; });
  QJsonArray members;
  for (mooring::Member const& m : mooring_.cohort()) members.append(core::qstr(m.id));
  QJsonArray waiting;
  for (std::map<std::string, Tick>::value_type const& w : lease->waiting) waiting.append(core::qstr(w.first));
  return {call.token, 200, {{"granted", ok}, {"holder", core::qstr(lease->holder)}, {"epoch", static_cast<qint64>(lease->epoch)},
                            {"member", core::qstr(mooring_.self().id)}, {"cohort", members}, {"waiting", waiting},
                            {"cohortStamp", static_cast<qint64>(committedStamp("cohort"))}}};
}

Commands Plane::written(Tick now, std::uint64_t ticket, bool ok) {
  Commands out;
  take(out, now, mooring_.written(now, ticket, ok));
  return out;
}

Commands Plane::clockEvent(Tick now) {
  Commands out;
  if (mooring_.seeking()) {
    std::vector<std::string> links = lookout_.seeds();
    for (signal::Contact const& c : lookout_.ofRole("substation", now)) links.push_back(c.link);
    mooring_.meet(std::move(links));
  }
  take(out, now, mooring_.clockEvent(now));
  if (!mooring_.voting()) joinedAt_ = now;
  std::vector<signal::Send> sends = lookout_.clockEvent(now);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  for (std::map<std::string, Nacelle>::value_type& n : nacelles_) push(out, now, n.first, n.second);
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> again;
  for (std::map<std::uint64_t, CallState>::value_type const& c : calls_) {
    bool const forcing = std::any_of(forces_.begin(), forces_.end(), [&](Force const& f) { return f.call == c.first; });
    if (now - c.second.since > tuning_.relayLimit)
      late.push_back(c.first);
    else if (c.second.relayed && now - c.second.sentAt > tuning_.resendEvery)
      again.push_back(c.first);
    else if (c.second.from.empty() && !c.second.relayed && !forcing && c.second.call.method != rosterMethod && !mooring_.owns(c.second.key) &&
             mooring_.ownerLink(c.second.key, now) != "")
      again.push_back(c.first);
  }
  for (std::uint64_t const id : again) route(out, now, id);
  for (std::uint64_t const id : late) {
    bool const change = isChange(calls_.at(id).call.method);
    finish(out, now, id, change ? 504 : 503,
           {{"error", change ? "unknown" : "not confirmed"}, {"reason", "the key's owner did not answer in time; ask by the change id"}});
  }
  if (!forces_.empty()) {
    for (std::string const& link : rosterLinks("nodes")) {
      Nacelle& n = nacelles_[link];
      if ((n.heard >= 0 && now - n.heard < tuning_.probeAfter) || now - n.probedAt < tuning_.probeAfter) continue;
      n.probedAt = now;
      out.probes.push_back(link);
    }
    checkForces(out, now);
  }
  watchSettling(now);
  considerRoster(out, now);
  return out;
}

Commands Plane::drain(Tick now) {
  Commands out;
  draining_ = true;
  lookout_.setDraining();
  take(out, now, mooring_.handOver(now));
  return out;
}

bool Plane::ready(Tick now) const {
  Tick const age = mooring_.majorityAge(now);
  return !draining_ && age >= 0 && age <= tuning_.fence;
}

QJsonObject Plane::localPage(Tick now, signal::Call const& call, int& status) const {
  if (call.method != "GET") return {};
  if (call.path == "/v1/fleet") {
    status = 200;
    return fleet(now);
  }
  if (call.path == "/v1/templates") {
    status = 200;
    QJsonArray names;
    for (std::map<std::string, mooring::Committed>::value_type const& c : mooring_.committed())
      if (c.first.rfind("family:", 0) == 0 && c.second.value.contains("template")) names.append(core::qstr(c.first.substr(7)));
    return QJsonObject{{"templates", names}};
  }
  std::string const changes = "/v1/changes/";
  if (call.path.rfind(changes, 0) == 0) {
    QString const id = core::qstr(call.path.substr(changes.size()));
    if (!ready(now)) {
      status = 503;
      return QJsonObject{{"error", "not confirmed"}, {"reason", "this substation is not in touch with a majority"}};
    }
    for (std::map<std::string, mooring::Committed>::value_type const& c : mooring_.committed())
      for (QJsonValue const v : c.second.value.value("changes").toArray())
        if (v.toObject().value("id").toString() == id) {
          QJsonObject const body{{"changeId", id}, {"key", core::qstr(c.first)}, {"status", v.toObject().value("status")},
                                 {"stamp", v.toObject().value("stamp")}, {"inForce", true}};
          std::map<std::string, Settling>::const_iterator const s = settling_.find(c.first);
          bool const force = s != settling_.end() && s->second.stamp == c.second.stamp && isInForce(now, c.first, s->second);
          status = force ? 200 : 504;
          return force ? body : pendingBody(body, static_cast<std::uint64_t>(v.toObject().value("stamp").toInteger()));
        }
    status = 404;
    return QJsonObject{{"error", "not found"}, {"reason", "not accepted so far; final once a later change of the same template was accepted"}};
  }
  return {};
}

QJsonObject Plane::fleet(Tick now) const {
  QJsonArray members;
  for (mooring::Member const& m : mooring_.cohort())
    members.append(QJsonObject{{"id", core::qstr(m.id)}, {"link", core::qstr(m.link)}});
  QJsonArray nodes;
  std::set<std::string> const roster = rosterLinks("nodes");
  for (std::string const& link : roster) {
    std::map<std::string, Nacelle>::const_iterator const it = nacelles_.find(link);
    qint64 behind = 0;
    for (std::map<std::string, mooring::Committed>::value_type const& c : mooring_.committed()) {
      if (it == nacelles_.end()) continue;
      signal::Stamps::const_iterator const have = it->second.stamps.find(c.first);
      behind += have == it->second.stamps.end() || have->second < c.second.stamp ? 1 : 0;
    }
    bool const seen = it != nacelles_.end() && it->second.heard >= 0;
    nodes.append(QJsonObject{{"link", core::qstr(link)},
                             {"http", core::qstr(seen ? it->second.contact.http : "")},
                             {"zone", core::qstr(seen ? it->second.contact.zone : "")},
                             {"heardMsAgo", seen ? static_cast<qint64>(now - it->second.heard) : -1},
                             {"keysBehind", behind}});
  }
  QJsonObject stamps;
  QJsonObject owners;
  for (std::map<std::string, mooring::Committed>::value_type const& c : mooring_.committed()) {
    stamps.insert(core::qstr(c.first), static_cast<qint64>(c.second.stamp));
    owners.insert(core::qstr(c.first), core::qstr(mooring_.ownerLink(c.first, now)));
  }
  return QJsonObject{{"self", core::qstr(mooring_.self().link)}, {"member", core::qstr(mooring_.self().id)},
                     {"voting", mooring_.voting()}, {"diskOk", mooring_.diskOk()}, {"ready", ready(now)},
                     {"majorityAgeMs", static_cast<qint64>(mooring_.majorityAge(now))},
                     {"cohort", members}, {"nacelles", nodes}, {"stamps", stamps}, {"owners", owners}};
}

std::string Plane::metrics(Tick now) const {
  std::string out = "# TYPE corkward_substation_events_total counter\n";
  for (std::map<std::string, std::uint64_t>::value_type const& c : journal_.counts())
    out += "corkward_substation_events_total{event=\"" + c.first + "\"} " + std::to_string(c.second) + "\n";
  out += "# TYPE corkward_substation_ready gauge\ncorkward_substation_ready " + std::string(ready(now) ? "1" : "0") + "\n";
  out += "# TYPE corkward_substation_majority_age_ms gauge\ncorkward_substation_majority_age_ms " +
         std::to_string(mooring_.majorityAge(now)) + "\n";
  out += "# TYPE corkward_substation_owned_keys gauge\ncorkward_substation_owned_keys " + std::to_string(mooring_.ownedCount()) + "\n";
  out += "# TYPE corkward_substation_calls_in_hand gauge\ncorkward_substation_calls_in_hand " + std::to_string(calls_.size()) + "\n";
  return out;
}

}  // namespace corkward::substation
