#include <QJsonArray>
#include <algorithm>

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

void Plane::refreshStanding() {
  for (std::map<std::string, Confirmation>* const group : {&confirmations_, &touches_})
    for (std::map<std::string, Confirmation>::value_type& c : *group)
      if (c.second.at > c.second.good && knowsAll(c.second.stamps)) c.second.good = c.second.at;
}

void Plane::foldRoster(Tick now, std::uint64_t stamp, QJsonObject const& value) {
  RosterView view;
  view.stamp = stamp;
  for (QJsonValue const v : value.value("nodes").toArray()) {
    std::string const link = core::str(v.toObject().value("link").toString());
    ++view.size;
    if (link == lookout_.self().link)
      view.self = true;
    else
      view.others.push_back(link);
  }
  bool before = roster_.self && !roster_.joining;
  for (QJsonValue const v : value.value("previous").toArray()) {
    std::string const link = core::str(v.toObject().value("link").toString());
    if (link == lookout_.self().link)
      before = true;
    else
      view.previous.push_back(link);
  }
  view.joining = !before;
  view.joinedAt = now;
  roster_ = std::move(view);
}

void Plane::watchJoining(Tick now) {
  if (!roster_.joining || !roster_.self) return;
  if (roster_.knownAt < 0) {
    std::size_t n = 0;
    for (std::string const& link : roster_.previous) {
      std::map<std::string, Confirmation>::const_iterator const it = touches_.find(link);
      if (it == touches_.end()) continue;
      signal::Stamps::const_iterator const stamp = it->second.stamps.find(rosterKey);
      n += stamp != it->second.stamps.end() && stamp->second >= roster_.stamp ? 1 : 0;
    }
    if (roster_.previous.empty() || n >= majorityOf(roster_.previous.size())) roster_.knownAt = now;
  }
  bool const known = roster_.knownAt >= 0 && now - roster_.knownAt >= tuning_.joinFence;
  if (known || now - roster_.joinedAt >= tuning_.joinLimit) roster_.joining = false;
}

std::vector<std::string> Plane::substations(Tick now) const {
  std::set<std::string> out;
  out.insert(cohortLinks_.begin(), cohortLinks_.end());
  for (signal::Contact const& c : lookout_.ofRole("substation", now)) out.insert(c.link);
  return std::vector<std::string>(out.begin(), out.end());
}

bool Plane::standing(Tick now) const {
  if (!tuning_.fenced) return whole_ && !rows_.empty();
  std::vector<std::string> const& others = rosterOthers();
  std::size_t const size = rosterSize();
  if (!whole_ || !roster_.self || roster_.joining) return false;
  for (std::map<std::string, Confirmation>::value_type const& c : confirmations_)
    if (c.second.good >= 0 && now - c.second.good <= tuning_.confirmFor) return true;
  if (size < tuning_.leastRoster) return false;
  std::size_t fresh = 1;
  for (std::string const& link : others) {
    std::map<std::string, Confirmation>::const_iterator const it = touches_.find(link);
    fresh += it != touches_.end() && it->second.good >= 0 && now - it->second.good <= tuning_.confirmFor ? 1 : 0;
  }
  return fresh >= majorityOf(size);
}

bool Plane::evacuated(std::string const& zone) const { return evacuated_.count(zone) > 0; }

bool Plane::ready(Tick now) const {
  bool const young = tuning_.fenced && now - started_ < tuning_.youngWait;
  return !draining_ && !young && standing(now) && !evacuated(lookout_.self().zone) && !rows_.empty();
}

void Plane::apply(Commands& out, Tick now, std::vector<signal::Item> const& items) {
  bool any = false;
  for (signal::Item const& item : items) {
    if (item.stamp <= stampOf(item.key)) continue;
    applyOne(out, now, item);
    any = true;
  }
  if (!any) return;
  refreshStanding();
  refreshCandidates(out, now);
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
  note(out, now, "leaving-hint", {{"pool", hint.pool}, {"generation", std::to_string(hint.generation)}});
  refreshCandidates(out, now);
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
      note(out, now, "whole-image", {{"from", from}});
    } else {
      wholeFrom_.insert(from);
      std::size_t n = 0;
      for (std::string const& link : rosterOthers()) n += wholeFrom_.count(link);
      if (rosterSize() >= tuning_.leastRoster && n >= majorityOf(rosterSize())) {
        whole_ = true;
        note(out, now, "whole-image", {{"from", "neighbours"}});
      }
    }
  }
  signal::NewsAck ack{m.number, lookout_.self().link, lookout_.self().inc, false, stamps()};
  std::set<std::string> to;
  for (std::string const& s : substations(now)) to.insert(s);
  if (!fromNacelle) to.insert(from);
  for (std::string const& s : to) out.sends.push_back(signal::Send{s, ack});
}

void Plane::on(Commands& out, Tick now, std::string const& from, signal::Confirm const& m) {
  for (signal::Hint const& h : m.hints) takeHint(out, now, h);
  if (!m.inTouch || m.age < 0 || m.tick > now) return;
  Confirmation& c = confirmations_[from];
  Tick const at = m.tick - m.age;
  if (at > c.at) {
    c.at = at;
    c.stamps = m.stamps;
  }
  refreshStanding();
}

void Plane::on(Commands& out, Tick now, std::string const&, signal::Hint const& m) {
  if (!takeHint(out, now, m)) return;
  std::set<std::string> to;
  for (std::string const& link : rosterOthers()) to.insert(link);
  for (std::string const& link : substations(now)) to.insert(link);
  for (std::string const& link : to) out.sends.push_back(signal::Send{link, m});
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
    echo.inc = lookout_.self().inc;
    echo.stamps = stamps();
    echo.hints = hints();
    out.sends.push_back(signal::Send{from, echo});
    if (m.wantWhole && whole_) {
      signal::News news;
      news.whole = true;
      for (std::map<std::string, Key>::value_type const& k : keys_)
        news.items.push_back(signal::Item{k.first, k.second.stamp, k.second.value});
      out.sends.push_back(signal::Send{from, std::move(news)});
    }
  } else if (m.whole && m.tick <= now) {
    Confirmation& c = touches_[from];
    if (m.tick > c.at) {
      c.at = m.tick;
      c.stamps = m.stamps;
    }
    refreshStanding();
  }
  for (signal::Stamps::value_type const& s : m.stamps) {
    if (stampOf(s.first) >= s.second) continue;
    Tick& at = fetchedAt_[s.first];
    if (at != 0 && now - at < tuning_.touchEvery) continue;
    at = now;
    out.sends.push_back(signal::Send{from, signal::Fetch{s.first, false, "", 0}});
  }
}

void Plane::on(Commands& out, Tick, std::string const& from, signal::Fetch const& m) {
  std::map<std::string, Key>::const_iterator const it = keys_.find(m.key);
  if (it == keys_.end()) return;
  signal::News news;
  news.items.push_back(signal::Item{it->first, it->second.stamp, it->second.value});
  out.sends.push_back(signal::Send{from, std::move(news)});
}

}  // namespace corkward::rotor
