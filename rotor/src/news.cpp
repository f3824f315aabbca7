#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <tuple>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::rotor {

std::uint64_t Plane::stampOf(std::string const& key) const {
  std::map<std::string, Key>::const_iterator const it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.stamp;
}

QJsonObject Plane::valueOf(std::string const& key) const {
  std::map<std::string, Key>::const_iterator const it = keys_.find(key);
  return it == keys_.end() ? QJsonObject() : it->second.value;
}

signal::Stamps Plane::stamps() const {
  signal::Stamps out;
  for (std::map<std::string, Key>::value_type const& k : keys_) out[k.first] = k.second.stamp;
  return out;
}

bool Plane::knowsAll(signal::Stamps const& stamps) const {
  return std::all_of(stamps.begin(), stamps.end(),
                     [&](signal::Stamps::value_type const& s) { return stampOf(s.first) >= s.second; });
}

bool Plane::knows(signal::Digest const& digest, signal::Stamps const& stamps) const {
  if (std::find(had_.begin(), had_.end(), digest) != had_.end()) return true;
  return signal::digestOf(stamps) == digest && knowsAll(stamps);
}

void Plane::refreshStanding() {
  for (std::map<std::string, Confirmation>::value_type& c : confirmations_)
    if (c.second.at > c.second.good && knows(c.second.digest, c.second.stamps)) {
      c.second.good = c.second.at;
      vouched_ = vouched_ || c.second.at >= started_;
    }
  for (std::map<std::string, signal::Touch>::iterator e = echoes_.begin(); e != echoes_.end();) {
    bool const known = knows(e->second.digest, e->second.stamps);
    if (known) countHeard(e->first, e->second);
    e = known ? echoes_.erase(e) : std::next(e);
  }
}

void Plane::countHeard(std::string const& from, signal::Touch const& echo) {
  if (!echo.whole) return;
  std::function<void(std::string const&, Tick)> const heard = [this](std::string const& link, Tick at) {
    Tick& newest = heard_.try_emplace(link, at).first->second;
    newest = std::max(newest, at);
  };
  heard(from, echo.tick);
  if (echo.roster != roster_.stamp || echo.ages.size() != roster_.zones.size()) return;
  std::size_t place = 0;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    int const age = static_cast<unsigned char>(echo.ages[place++]);
    if (age < unknownAge && z.first != lookout_.self().link) heard(z.first, echo.tick - age * signal::ageUnit);
  }
}

std::string Plane::ages(Tick now) const {
  std::string out;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(z.first);
    Tick const age = z.first == lookout_.self().link ? 0 : it == heard_.end() ? tuning_.confirmFor + 1 : now - it->second;
    Tick const units = (age + signal::ageUnit - 1) / signal::ageUnit;
    out += static_cast<char>(age > tuning_.confirmFor || units >= unknownAge ? unknownAge : units);
  }
  return out;
}

void Plane::foldRoster(Tick now, std::uint64_t stamp, QJsonObject const& value) {
  RosterView view;
  view.stamp = stamp;
  std::vector<signal::Contact> const contacts = lookout::rosterContacts(value);
  for (signal::Contact const& c : contacts) {
    std::string const& link = c.link;
    ++view.size;
    view.zones[link] = c.zone;
    if (link == lookout_.self().link)
      view.self = true;
    else
      view.others.push_back(link);
  }
  bool before = roster_.self && !roster_.joining;
  for (QJsonValue const v : value.value("previous").toArray())
    before = before || core::str(v.toObject().value("link").toString()) == lookout_.self().link;
  view.joining = !before;
  view.joinedAt = now;
  lookout_.setRoster(stamp, contacts);
  roster_ = std::move(view);
}

void Plane::watchJoining(Tick now) {
  if (roster_.joining && roster_.self && now - roster_.joinedAt >= tuning_.joinLimit) roster_.joining = false;
}

std::vector<std::string> Plane::substations(Tick now) const {
  std::set<std::string> out;
  out.insert(cohortLinks_.begin(), cohortLinks_.end());
  for (signal::Contact const& c : lookout_.ofRole("substation", now)) out.insert(c.link);
  return std::vector<std::string>(out.begin(), out.end());
}

void Plane::chooseSubstations(Tick now) {
  Tick const patience = 2 * tuning_.askEvery + tuning_.askEvery / 2;
  for (std::string const& link : held_) {
    HeldLink& l = substations_[link];
    if (l.unanswered < 0 || now - l.unanswered <= patience) continue;
    l.silentAt = now;
    l.unanswered = -1;
  }
  std::map<std::string, std::string> zones;
  for (signal::Contact const& c : lookout_.ofRole("substation", now)) zones[c.link] = c.zone;
  std::map<std::tuple<Tick, bool, std::uint64_t>, std::string> ranked;
  std::vector<std::string> known = substations(now);
  if (known.empty()) known = lookout_.seeds();
  for (std::string const& link : known) {
    HeldLink& l = substations_[link];
    bool const silent = l.silentAt >= 0 && now - l.silentAt < tuning_.passOver;
    ranked[{silent ? l.silentAt : 0, zones[link] != lookout_.self().zone, core::stableHash(link + lookout_.self().link)}] = link;
  }
  held_.clear();
  std::size_t live = 0;
  for (std::map<std::tuple<Tick, bool, std::uint64_t>, std::string>::value_type const& r : ranked) {
    if (live >= tuning_.heldLinks || held_.size() >= tuning_.heldLinksMost) break;
    HeldLink const& l = substations_.at(r.second);
    live += l.good >= 0 && now - l.good <= patience ? 1 : 0;
    held_.push_back(r.second);
  }
}

void Plane::sendAsk(Commands& out, Tick now, std::string const& to) {
  HeldLink& l = substations_[to];
  l.since = now;
  if (l.unanswered < 0) l.unanswered = now;
  signal::Ask ask{now, lookout_.self(), !whole_, !tuning_.fenced, digest_, {}};
  if (l.wantStamps) {
    ask.stamps = stamps();
    l.wantStamps = false;
    l.namedAt = now;
  }
  out.sends.push_back(signal::Send{to, std::move(ask)});
}

std::vector<std::string> Plane::chooseNeighbours(Tick now, std::size_t wanted, Tick every) {
  std::vector<std::string> known = rosterOthers();
  if (known.empty() || !whole_)
    for (signal::Contact const& c : lookout_.ofRole("nacelle", now)) known.push_back(c.link);
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  std::erase_if(neighbours_, [&](std::map<std::string, HeldLink>::value_type const& n) {
    bool const silent = n.second.unanswered >= 0 && now - n.second.unanswered > every + every / 2;
    if (silent) silent_[n.first] = now;
    return silent || now - n.second.since > tuning_.neighbourFor || !std::binary_search(known.begin(), known.end(), n.first);
  });
  std::function<bool(std::string const&)> const near = [&](std::string const& link) {
    std::map<std::string, std::string>::const_iterator const it = roster_.zones.find(link);
    return it != roster_.zones.end() && it->second == lookout_.self().zone;
  };
  std::vector<std::string> free;
  for (std::string const& link : known)
    if (neighbours_.count(link) == 0) free.push_back(link);
  for (std::size_t i = free.size(); i > 1; --i) std::swap(free[i - 1], free[rng_.below(i)]);
  std::stable_sort(free.begin(), free.end(), [&](std::string const& a, std::string const& b) {
    std::function<bool(std::string const&)> const silent = [&](std::string const& link) {
      std::map<std::string, Tick>::const_iterator const it = silent_.find(link);
      return it != silent_.end() && now - it->second < tuning_.passOver;
    };
    return !silent(a) && silent(b);
  });
  while (neighbours_.size() > wanted) neighbours_.erase(std::next(neighbours_.begin(), static_cast<std::ptrdiff_t>(rng_.below(neighbours_.size()))));
  while (neighbours_.size() < wanted && !free.empty()) {
    std::size_t nearOnes = 0;
    for (std::map<std::string, HeldLink>::value_type const& n : neighbours_) nearOnes += near(n.first) ? 1 : 0;
    bool const wantNear = 3 * nearOnes < wanted;
    std::vector<std::string>::iterator it = std::find_if(free.begin(), free.end(), [&](std::string const& l) {
      std::map<std::string, Tick>::const_iterator const s = silent_.find(l);
      return near(l) == wantNear && (s == silent_.end() || now - s->second >= tuning_.passOver);
    });
    if (it == free.end()) it = free.begin();
    neighbours_[*it].since = now - static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.neighbourFor / 2)));
    free.erase(it);
  }
  std::vector<std::string> out;
  for (std::map<std::string, HeldLink>::value_type const& n : neighbours_) out.push_back(n.first);
  return out;
}

void Plane::touchNeighbours(Commands& out, Tick now) {
  bool const lacking = tuning_.fenced ? !confirmedWithin(now, 2 * tuning_.askEvery) : !whole_;
  Tick const every = lacking ? tuning_.touchEvery : tuning_.touchAtRest;
  if (now - touchedAt_ < every) return;
  touchedAt_ = now;
  signal::Touch touch;
  touch.tick = now;
  touch.whole = whole_;
  touch.link = lookout_.self().link;
  touch.digest = digest_;
  touch.wantAges = lacking && tuning_.fenced;
  touch.hints = hints();
  bool const wantWhole = !whole_ && !imageSeen_ && now - started_ > 2000;
  std::vector<std::string> const to = chooseNeighbours(now, lacking ? tuning_.neighbours : tuning_.neighboursAtRest, every);
  std::size_t const asked = wantWhole && !to.empty() ? rng_.below(to.size()) : to.size();
  for (std::size_t i = 0; i < to.size(); ++i) {
    HeldLink& n = neighbours_[to[i]];
    if (n.unanswered < 0) n.unanswered = now;
    touch.wantWhole = i == asked;
    out.sends.push_back(signal::Send{to[i], touch});
  }
}

bool Plane::confirmedWithin(Tick now, Tick age) const {
  return std::any_of(confirmations_.begin(), confirmations_.end(),
                     [&](std::map<std::string, Confirmation>::value_type const& c) { return c.second.good >= 0 && now - c.second.good <= age; });
}

bool Plane::mostHeard(Tick now) const {
  if (rosterSize() < tuning_.leastRoster) return false;
  std::size_t fresh = vouched_ ? 1 : 0;
  for (std::string const& link : rosterOthers()) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(link);
    fresh += it != heard_.end() && now - it->second <= tuning_.confirmFor ? 1 : 0;
  }
  return fresh >= majorityOf(rosterSize());
}

bool Plane::standing(Tick now) const {
  if (!tuning_.fenced) return whole_ && !rows_.empty();
  if (!whole_ || !roster_.self || roster_.joining) return false;
  return confirmedWithin(now, tuning_.confirmFor) || mostHeard(now);
}

bool Plane::evacuated(std::string const& zone) const { return evacuated_.count(zone) > 0; }

bool Plane::ready(Tick now) const {
  bool const young = tuning_.fenced && now - started_ < tuning_.youngWait;
  return !draining_ && !young && standing(now) && !(tuning_.evacuationFailsReady && evacuated(lookout_.self().zone)) && !rows_.empty();
}

void Plane::apply(Commands& out, Tick now, std::vector<signal::Item> const& items) {
  bool any = false;
  for (signal::Item const& item : items) {
    std::uint64_t const before = stampOf(item.key);
    if (item.stamp <= before) continue;
    applyOne(out, now, item);
    digest_.replace(item.key, before, stampOf(item.key));
    any = true;
  }
  if (!any) return;
  had_.push_back(digest_);
  if (had_.size() > digestsKept) had_.pop_front();
  refreshStanding();
  certifiedAt_ = -1;
  for (PoolView& view : poolViews_) {
    view.changed = true;
    view.rebound = bound_;
  }
  refreshCandidates(out, now);
  watchRegimes(out, now);
}

Index Plane::poolIndex(std::string const& name) {
  Index const pool = pools_.index(name);
  if (pool >= poolViews_.size()) poolViews_.resize(pool + 1);
  return pool;
}

void Plane::forgetRoutes(std::string const& owner) {
  for (std::string const& route : ownedRoutes_[owner]) routes_.erase(route);
  ownedRoutes_[owner].clear();
  ++blueprintStamp_;
}

void Plane::addRow(std::string const& owner, std::string const& route, blueprint::Path const& path, std::string const& instance) {
  Row row{path, poolIndex(path.pool), instances_.index(instance), {}};
  for (blueprint::Share const& s : path.shares)
    if (s.weight > 0) row.shares.emplace_back(poolIndex(s.pool), s.weight);
  if (row.shares.empty()) row.shares.emplace_back(row.pool, 1);
  bound_ = bound_ || !path.regime.empty();
  if (bound_) instanceRegimes_[row.instance] = path.regime;
  routes_[route] = static_cast<Index>(rows_.size());
  ownedRoutes_[owner].push_back(route);
  rows_.push_back(std::move(row));
}

void Plane::applyWhole(QJsonObject const& value) {
  blueprint::Whole const whole = blueprint::readWhole(value.value("spec").toObject());
  forgetRoutes(blueprint::wholeKey);
  for (blueprint::Path const& p : whole.paths) addRow(blueprint::wholeKey, p.host + p.prefix, p, wholeInstance);
  for (PoolView& view : poolViews_) view.terms.reset();
  for (blueprint::PoolTerms const& t : whole.pools) poolViews_[poolIndex(t.name)].terms = t;
  doorTerms_ = whole.door;
}

void Plane::applyOne(Commands& out, Tick now, signal::Item const& item) {
  std::size_t const colon = item.key.find(':');
  std::string const kind = item.key.substr(0, colon);
  std::string const name = colon == std::string::npos ? "" : item.key.substr(colon + 1);
  try {
    if (kind == "family") {
      std::vector<blueprint::Path> const paths = blueprint::render(name, item.value);
      forgetRoutes(item.key);
      for (blueprint::Path const& p : paths) addRow(item.key, p.instance + "/" + p.path, p, p.instance);
    } else if (item.key == blueprint::regimesKey) {
      regimes_ = blueprint::keptRegimes(item.value);
    } else if (item.key == blueprint::wholeKey) {
      applyWhole(item.value);
    } else if (kind == "pool") {
      blueprint::Pool const list = blueprint::keptPool(item.value);
      Index const pool = poolIndex(name);
      PoolView& view = poolViews_[pool];
      for (Index const r : view.replicas) replicas_[r].listed = false;
      view.replicas.clear();
      view.generation = list.generation;
      view.coldRate = list.coldRate;
      for (blueprint::Replica const& r : list.replicas) {
        Index const ix = replicaNames_.index(name + "|" + blueprint::lifeName(r));
        if (ix >= replicas_.size()) replicas_.resize(ix + 1);
        Replica& mine = replicas_[ix];
        mine.pool = pool;
        mine.address = r.address;
        mine.id = r.id;
        mine.hash = core::stableHash(replicaNames_.name(ix));
        mine.zone = r.zone;
        mine.state = r.state;
        mine.listed = true;
        view.replicas.push_back(ix);
      }
      refreshHint(view);
    } else if (kind == "zone") {
      if (item.value.value("evacuated").toBool())
        evacuated_.insert(name);
      else
        evacuated_.erase(name);
    }
    if (item.key == rosterKey) foldRoster(now, item.stamp, item.value);
    if (item.key == cohortKey) {
      cohortIds_.clear();
      cohortLinks_.clear();
      for (QJsonValue const v : item.value.value("members").toArray()) {
        cohortIds_.push_back(core::str(v.toObject().value("id").toString()));
        cohortLinks_.push_back(core::str(v.toObject().value("link").toString()));
      }
    }
  } catch (core::Error const& e) {
    note(out, now, "news-not-applied", {{"key", item.key}, {"error", e.what()}});
    return;
  }
  keys_[item.key] = Key{item.stamp, item.value};
  note(out, now, "in-force", {{"key", item.key}, {"stamp", std::to_string(item.stamp)}});
  if (rows_.size() < 1024 || rows_.size() < 4 * routes_.size()) return;
  std::vector<bool> used(rows_.size(), false);
  for (std::unordered_map<std::string, Index>::value_type const& r : routes_) used[r.second] = true;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_) used[c.second.path] = true;
  std::vector<Index> moved(rows_.size(), 0);
  std::vector<Row> kept;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    if (!used[i]) continue;
    moved[i] = static_cast<Index>(kept.size());
    kept.push_back(std::move(rows_[i]));
  }
  rows_ = std::move(kept);
  for (std::unordered_map<std::string, Index>::value_type& r : routes_) r.second = moved[r.second];
  for (std::unordered_map<CallId, Call>::value_type& c : calls_) c.second.path = moved[c.second.path];
}

void Plane::refreshHint(PoolView& view) {
  if (view.hint.generation <= view.generation) view.hint = signal::Hint{};
  std::set<std::string> const serving(view.hint.serving.begin(), view.hint.serving.end());
  std::set<std::string> const cold(view.hint.cold.begin(), view.hint.cold.end());
  for (Index const r : view.replicas) {
    std::string const life = blueprint::lifeName(blueprint::Replica{replicas_[r].id, replicas_[r].address, {}, {}});
    bool const mayWarm = replicas_[r].state == blueprint::ReplicaState::cold && cold.count(life) > 0;
    replicas_[r].away = view.hint.generation > 0 && serving.count(life) == 0 && !mayWarm;
  }
}

bool Plane::takeHint(Commands& out, Tick now, signal::Hint const& hint) {
  if (keys_.count("pool:" + hint.pool) == 0) return false;
  PoolView& view = poolViews_[pools_.index(hint.pool)];
  if (hint.generation <= view.generation || hint.generation <= view.hint.generation) return false;
  view.hint = hint;
  refreshHint(view);
  view.changed = true;
  note(out, now, "leaving-hint", {{"pool", hint.pool}, {"generation", std::to_string(hint.generation)}});
  refreshCandidates(out, now);
  watchRegimes(out, now);
  return true;
}

std::vector<signal::Hint> Plane::hints() const {
  std::vector<signal::Hint> out;
  for (PoolView const& view : poolViews_)
    if (view.hint.generation > 0) out.push_back(view.hint);
  return out;
}

Commands Plane::platformList(Tick now, CallId call, std::string const& pool, std::string const& body) {
  Commands out;
  Answer answer;
  answer.call = call;
  try {
    QJsonValue const v = core::parseJson(body);
    if (!v.isObject()) throw core::JsonError("must be an object");
    blueprint::Pool const list = blueprint::readPool(v.toObject());
    std::map<std::string, Key>::const_iterator const key = keys_.find("pool:" + pool);
    std::uint64_t const have = key == keys_.end() ? 0 : poolViews_[pools_.index(pool)].generation;
    std::uint64_t const newest = key == keys_.end() ? 0 : std::max(have, poolViews_[pools_.index(pool)].hint.generation);
    if (list.generation < newest) {
      answer.status = 409;
      answer.body = {{"error", "older generation"}, {"reason", core::qstr("the list known here has generation " + std::to_string(newest))}};
    } else if (list.generation == have) {
      answer.body = {{"generation", static_cast<qint64>(have)}, {"inForce", true}};
    } else {
      signal::Hint hint{pool, list.generation, {}, {}};
      for (blueprint::Replica const& r : list.replicas) {
        if (r.state == blueprint::ReplicaState::serving) hint.serving.push_back(blueprint::lifeName(r));
        if (r.state == blueprint::ReplicaState::cold) hint.cold.push_back(blueprint::lifeName(r));
      }
      on(out, now, "", hint);
      answer.status = 504;
      answer.body = {{"error", "pending"}, {"pending", true}, {"inForce", false}, {"generation", static_cast<qint64>(list.generation)},
                     {"reason", "what the list takes away is out of use here; the rest waits for a majority of the disks"}};
    }
  } catch (core::JsonError const& e) {
    answer.status = 400;
    answer.body = {{"error", "malformed"}, {"reason", e.what()}, {"pointer", "/"}};
  } catch (blueprint::Error const& e) {
    answer.status = 422;
    answer.body = {{"error", "not a valid list"}, {"reason", core::qstr(e.reason())}, {"pointer", core::qstr(e.pointer())}};
  }
  count(now, "list_told_" + std::to_string(answer.status), pool);
  out.calls.push_back(std::move(answer));
  return out;
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::News const& m) {
  bool const fromNacelle = m.whole && m.number == 0;
  apply(out, now, m.items);
  if (m.whole && !whole_ && (tuning_.fenced || !m.items.empty())) {
    if (!fromNacelle || !tuning_.fenced) {
      whole_ = true;
      vouched_ = !fromNacelle;
      note(out, now, "whole-image", {{"from", from}});
    }
    imageSeen_ = true;
  }
  considerWhole(out, now, from);
  signal::NewsAck ack{m.number, lookout_.self().link, lookout_.self().inc, {}, digest_};
  if (!m.whole)
    for (signal::Item const& i : m.items) ack.stamps[i.key] = stampOf(i.key);
  std::set<std::string> to(held_.begin(), held_.end());
  if (m.number > 0) to.insert(from);
  for (std::string const& s : to) out.sends.push_back(signal::Send{s, ack});
}

void Plane::considerWhole(Commands& out, Tick now, std::string const& from) {
  if (whole_ || !imageSeen_ || !mostHeard(now)) return;
  whole_ = true;
  note(out, now, "whole-image", {{"from", "neighbours"}, {"last", from}});
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Confirm const& m) {
  for (signal::Hint const& h : m.hints) takeHint(out, now, h);
  std::map<std::string, HeldLink>::iterator const held = substations_.find(from);
  if (held != substations_.end()) {
    if (m.inTouch) {
      held->second.unanswered = -1;
      held->second.good = now;
    }
    held->second.wantStamps = m.wantStamps;
    if (m.wantStamps && now - held->second.namedAt >= tuning_.askEvery / 3) sendAsk(out, now, from);
  }
  if (m.roster > 0 && m.roster >= roster_.stamp) roster_.joining = false;
  if (!m.inTouch || m.age < 0 || m.tick > now) return;
  Confirmation& c = confirmations_[from];
  Tick const at = m.tick - m.age;
  if (at > c.at) {
    c.at = at;
    c.digest = m.digest;
    c.stamps = m.stamps;
  }
  refreshStanding();
}

void Plane::on(Commands& out, Tick now, std::string const&, signal::Hint const& m) {
  if (!takeHint(out, now, m)) return;
  std::vector<std::string> others = rosterOthers();
  for (std::size_t i = others.size(); i > 1; --i) std::swap(others[i - 1], others[rng_.below(i)]);
  std::set<std::string> to(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(std::min(others.size(), tuning_.neighbours)));
  to.insert(held_.begin(), held_.end());
  for (std::string const& link : to) out.sends.push_back(signal::Send{link, m});
}

void Plane::sendMissing(Commands& out, std::string const& to, signal::Stamps const& have) const {
  signal::News news;
  for (std::map<std::string, Key>::value_type const& k : keys_) {
    signal::Stamps::const_iterator const it = have.find(k.first);
    if (it == have.end() || it->second < k.second.stamp) news.items.push_back(signal::Item{k.first, k.second.stamp, k.second.value});
  }
  if (!news.items.empty()) out.sends.push_back(signal::Send{to, std::move(news)});
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Touch const& m) {
  if (m.link != from) return;
  for (signal::Hint const& h : m.hints) takeHint(out, now, h);
  if (!m.echo) {
    signal::Touch echo;
    echo.tick = m.tick;
    echo.echo = true;
    echo.whole = whole_;
    echo.link = lookout_.self().link;
    echo.digest = digest_;
    if (!(m.digest == digest_)) echo.stamps = stamps();
    if (m.wantAges && whole_) {
      echo.roster = roster_.stamp;
      echo.ages = ages(now);
    }
    echo.hints = hints();
    out.sends.push_back(signal::Send{from, std::move(echo)});
    if (m.wantWhole && whole_) {
      signal::News news;
      news.whole = true;
      for (std::map<std::string, Key>::value_type const& k : keys_)
        news.items.push_back(signal::Item{k.first, k.second.stamp, k.second.value});
      out.sends.push_back(signal::Send{from, std::move(news)});
    }
    return;
  }
  std::map<std::string, HeldLink>::iterator const n = neighbours_.find(from);
  if (n != neighbours_.end()) n->second.unanswered = -1;
  if (m.tick > now) return;
  if (knows(m.digest, m.stamps)) {
    countHeard(from, m);
  } else {
    echoes_[from] = m;
  }
  considerWhole(out, now, from);
  if (!(signal::digestOf(m.stamps) == m.digest)) return;
  for (signal::Stamps::value_type const& s : m.stamps) {
    if (stampOf(s.first) >= s.second) continue;
    Tick& at = fetchedAt_[s.first];
    if (at != 0 && now - at < tuning_.touchEvery) continue;
    at = now;
    out.sends.push_back(signal::Send{from, signal::Fetch{s.first, false, "", 0}});
  }
  if (whole_ && m.whole && m.digest.count > 0 && !(m.digest == digest_)) sendMissing(out, from, m.stamps);
}

void Plane::on(Commands& out, Tick, std::string const& from, signal::Fetch const& m) {
  std::map<std::string, Key>::const_iterator const it = keys_.find(m.key);
  if (it == keys_.end()) return;
  signal::News news;
  news.items.push_back(signal::Item{it->first, it->second.stamp, it->second.value});
  out.sends.push_back(signal::Send{from, std::move(news)});
}

}  // namespace corkward::rotor
