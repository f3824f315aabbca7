#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <tuple>

#include <corkward/core/json.h>

#include <corkward/core/promises.h>

#include "internal.h"

namespace corkward::dataplane {

std::uint64_t RequestRouter::revisionOf(std::string const& key) const {
  std::map<std::string, Key>::const_iterator const it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.revision;
}

QJsonObject RequestRouter::valueOf(std::string const& key) const {
  std::map<std::string, Key>::const_iterator const it = keys_.find(key);
  return it == keys_.end() ? QJsonObject() : it->second.value;
}

transport::Revisions RequestRouter::revisions() const {
  transport::Revisions out;
  for (std::map<std::string, Key>::value_type const& k : keys_) out[k.first] = k.second.revision;
  return out;
}

bool RequestRouter::knowsAll(transport::Revisions const& revisions) const {
  return std::all_of(revisions.begin(), revisions.end(),
                     [&](transport::Revisions::value_type const& s) { return revisionOf(s.first) >= s.second; });
}

bool RequestRouter::knows(transport::Digest const& digest, transport::Revisions const& revisions) const {
  if (std::find(had_.begin(), had_.end(), digest) != had_.end()) return true;
  return transport::digestOf(revisions) == digest && knowsAll(revisions);
}

void RequestRouter::refreshServingLease() {
  for (std::map<std::string, Confirmation>::value_type& c : confirmations_)
    if (c.second.at > c.second.good && knows(c.second.digest, c.second.revisions)) {
      c.second.good = c.second.at;
      vouched_ = vouched_ || c.second.at >= started_;
    }
  for (std::map<std::string, transport::Touch>::iterator e = echoes_.begin(); e != echoes_.end();) {
    bool const known = knows(e->second.digest, e->second.revisions);
    if (known) countHeard(e->first, e->second);
    e = known ? echoes_.erase(e) : std::next(e);
  }
}

void RequestRouter::countHeard(std::string const& from, transport::Touch const& echo) {
  if (!echo.whole) return;
  std::function<void(std::string const&, Tick)> const heard = [this](std::string const& link, Tick at) {
    Tick& newest = heard_.try_emplace(link, at).first->second;
    newest = std::max(newest, at);
  };
  heard(from, echo.tick);
  if (echo.roster != roster_.revision || echo.ages.size() != roster_.zones.size()) return;
  std::size_t place = 0;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    int const age = static_cast<unsigned char>(echo.ages[place++]);
    if (age < unknownAge && z.first != partialView_.self().link) heard(z.first, echo.tick - age * transport::ageUnit);
  }
}

std::string RequestRouter::ages(Tick now) const {
  std::string out;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(z.first);
    Tick const age = z.first == partialView_.self().link ? 0
                     : it == heard_.end()                ? tuning_.confirmFor + 1
                                                         : now - it->second;
    Tick const units = (age + transport::ageUnit - 1) / transport::ageUnit;
    out += static_cast<char>(age > tuning_.confirmFor || units >= unknownAge ? unknownAge : units);
  }
  return out;
}

void RequestRouter::foldRoster(Tick now, std::uint64_t revision, QJsonObject const& value) {
  RosterView view;
  view.revision = revision;
  std::vector<transport::Contact> const contacts = gossip::rosterContacts(value);
  for (transport::Contact const& c : contacts) {
    std::string const& link = c.link;
    ++view.size;
    view.zones[link] = c.zone;
    if (link == partialView_.self().link)
      view.self = true;
    else
      view.others.push_back(link);
  }
  bool before = roster_.self && !roster_.joining;
  for (QJsonValue const v : value.value("previous").toArray())
    before = before || core::str(v.toObject().value("link").toString()) == partialView_.self().link;
  view.joining = !before;
  view.joinedAt = now;
  partialView_.setRoster(revision, contacts);
  roster_ = std::move(view);
}

void RequestRouter::watchJoining(Tick now) {
  if (roster_.joining && roster_.self && now - roster_.joinedAt >= tuning_.joinLimit) roster_.joining = false;
}

std::vector<std::string> RequestRouter::controllers(Tick now) const {
  std::set<std::string> out;
  out.insert(membershipLinks_.begin(), membershipLinks_.end());
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) out.insert(c.link);
  return std::vector<std::string>(out.begin(), out.end());
}

void RequestRouter::chooseControllers(Tick now) {
  Tick const patience = 2 * tuning_.askEvery + tuning_.askEvery / 2;
  for (std::string const& link : held_) {
    HeldLink& l = controllers_[link];
    if (l.unanswered < 0 || now - l.unanswered <= patience) continue;
    l.silentAt = now;
    l.unanswered = -1;
  }
  std::map<std::string, std::string> zones;
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) zones[c.link] = c.zone;
  std::map<std::tuple<Tick, bool, std::uint64_t>, std::string> ranked;
  std::vector<std::string> known = controllers(now);
  if (known.empty()) known = partialView_.seeds();
  for (std::string const& link : known) {
    HeldLink& l = controllers_[link];
    bool const silent = l.silentAt >= 0 && now - l.silentAt < tuning_.passOver;
    ranked[{silent ? l.silentAt : 0, zones[link] != partialView_.self().zone,
            core::stableHash(link + partialView_.self().link)}] = link;
  }
  held_.clear();
  std::size_t live = 0;
  for (std::map<std::tuple<Tick, bool, std::uint64_t>, std::string>::value_type const& r : ranked) {
    if (live >= tuning_.heldLinks || held_.size() >= tuning_.heldLinksMost) break;
    HeldLink const& l = controllers_.at(r.second);
    live += l.good >= 0 && now - l.good <= patience ? 1 : 0;
    held_.push_back(r.second);
  }
}

void RequestRouter::sendAsk(Commands& out, Tick now, std::string const& to) {
  HeldLink& l = controllers_[to];
  l.since = now;
  if (l.unanswered < 0) l.unanswered = now;
  transport::Ask ask{now, partialView_.self(), !whole_, false, digest_, {}};
  if (l.wantRevisions) {
    ask.revisions = revisions();
    l.wantRevisions = false;
    l.namedAt = now;
  }
  out.sends.push_back(transport::Send{to, std::move(ask)});
}

std::vector<std::string> RequestRouter::chooseNeighbours(Tick now, std::size_t wanted, Tick every) {
  std::vector<std::string> known = rosterOthers();
  if (known.empty() || !whole_)
    for (transport::Contact const& c : partialView_.ofRole(transport::routerRole, now)) known.push_back(c.link);
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  std::erase_if(neighbours_, [&](std::map<std::string, HeldLink>::value_type const& n) {
    bool const silent = n.second.unanswered >= 0 && now - n.second.unanswered > every + every / 2;
    if (silent) silent_[n.first] = now;
    return silent || now - n.second.since > tuning_.neighbourFor ||
           !std::binary_search(known.begin(), known.end(), n.first);
  });
  std::function<bool(std::string const&)> const near = [&](std::string const& link) {
    std::map<std::string, std::string>::const_iterator const it = roster_.zones.find(link);
    return it != roster_.zones.end() && it->second == partialView_.self().zone;
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
  while (neighbours_.size() > wanted)
    neighbours_.erase(std::next(neighbours_.begin(), static_cast<std::ptrdiff_t>(rng_.below(neighbours_.size()))));
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

void RequestRouter::touchNeighbours(Commands& out, Tick now) {
  bool const lacking = tuning_.fenced ? !confirmedWithin(now, 2 * tuning_.askEvery) : !whole_;
  Tick const every = lacking ? tuning_.touchEvery : tuning_.touchAtRest;
  if (now - touchedAt_ < every) return;
  touchedAt_ = now;
  transport::Touch touch;
  touch.tick = now;
  touch.whole = whole_;
  touch.link = partialView_.self().link;
  touch.digest = digest_;
  touch.wantAges = lacking;
  touch.hints = hints();
  bool const wantWhole = !whole_ && !snapshotSeen_ && now - started_ > 2000;
  std::vector<std::string> const to =
      chooseNeighbours(now, lacking ? tuning_.neighbours : tuning_.neighboursAtRest, every);
  std::size_t const asked = wantWhole && !to.empty() ? rng_.below(to.size()) : to.size();
  for (std::size_t i = 0; i < to.size(); ++i) {
    HeldLink& n = neighbours_[to[i]];
    if (n.unanswered < 0) n.unanswered = now;
    touch.wantWhole = i == asked;
    out.sends.push_back(transport::Send{to[i], touch});
  }
}

bool RequestRouter::confirmedWithin(Tick now, Tick age) const {
  return std::any_of(confirmations_.begin(), confirmations_.end(),
                     [&](std::map<std::string, Confirmation>::value_type const& c) {
                       return c.second.good >= 0 && now - c.second.good <= age;
                     });
}

bool RequestRouter::mostHeard(Tick now) const {
  if (rosterSize() < tuning_.leastRoster) return false;
  std::size_t fresh = vouched_ ? 1 : 0;
  for (std::string const& link : rosterOthers()) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(link);
    fresh += it != heard_.end() && now - it->second <= tuning_.confirmFor ? 1 : 0;
  }
  return fresh >= majorityOf(rosterSize());
}

bool RequestRouter::servingLease(Tick now) const {
  if (!tuning_.fenced) return whole_ && !rows_.empty();
  if (!whole_ || !roster_.self || roster_.joining) return false;
  return confirmedWithin(now, tuning_.confirmFor) || mostHeard(now);
}

bool RequestRouter::evacuated(std::string const& zone) const {
  return evacuated_.count(zone) > 0;
}

bool RequestRouter::ready(Tick now) const {
  bool const young = tuning_.fenced && now - started_ < tuning_.youngWait;
  return !draining_ && !young && servingLease(now) &&
         !(tuning_.evacuationFailsReady && evacuated(partialView_.self().zone)) && !rows_.empty();
}

void RequestRouter::apply(Commands& out, Tick now, std::vector<transport::Item> const& items) {
  bool any = false;
  for (transport::Item const& item : items) {
    std::uint64_t const before = revisionOf(item.key);
    if (item.revision <= before) continue;
    applyOne(out, now, item);
    digest_.replace(item.key, before, revisionOf(item.key));
    any = true;
  }
  if (!any) return;
  had_.push_back(digest_);
  if (had_.size() > digestsKept) had_.pop_front();
  refreshServingLease();
  certifiedAt_ = -1;
  for (PoolView& view : poolViews_) {
    view.changed = true;
    view.rebound = bound_;
  }
  refreshCandidates(out, now);
  watchRegimes(out, now);
}

Index RequestRouter::poolIndex(std::string const& name) {
  Index const pool = pools_.index(name);
  if (pool >= poolViews_.size()) poolViews_.resize(pool + 1);
  return pool;
}

void RequestRouter::forgetRoutes(std::string const& owner) {
  for (std::string const& route : ownedRoutes_[owner]) routes_.erase(route);
  ownedRoutes_[owner].clear();
  ++configurationRevision_;
}

void RequestRouter::addRow(std::string const& owner, std::string const& route, config::Path const& path,
                           std::string const& instance) {
  Row row{path, poolIndex(path.pool), instances_.index(instance), {}};
  for (config::Share const& s : path.shares)
    if (s.weight > 0) row.shares.emplace_back(poolIndex(s.pool), s.weight);
  if (row.shares.empty()) row.shares.emplace_back(row.pool, 1);
  bound_ = bound_ || !path.regime.empty();
  if (bound_) instanceRegimes_[row.instance] = path.regime;
  routes_[route] = static_cast<Index>(rows_.size());
  ownedRoutes_[owner].push_back(route);
  rows_.push_back(std::move(row));
}

void RequestRouter::applyWhole(QJsonObject const& value) {
  config::Whole const whole = config::readWhole(value.value("spec").toObject());
  forgetRoutes(config::wholeKey);
  for (config::Path const& p : whole.paths) addRow(config::wholeKey, p.host + p.prefix, p, wholeInstance);
  for (PoolView& view : poolViews_) view.terms.reset();
  for (config::PoolTerms const& t : whole.pools) poolViews_[poolIndex(t.name)].terms = t;
  httpTerms_ = whole.http;
  tenants_.configure(whole.tenants);
}

void RequestRouter::applyOne(Commands& out, Tick now, transport::Item const& item) {
  std::size_t const colon = item.key.find(':');
  std::string const kind = item.key.substr(0, colon);
  std::string const name = colon == std::string::npos ? "" : item.key.substr(colon + 1);
  try {
    if (kind == "family") {
      std::vector<config::Path> const paths = config::render(name, item.value);
      forgetRoutes(item.key);
      for (config::Path const& p : paths) addRow(item.key, p.instance + "/" + p.path, p, p.instance);
    } else if (item.key == config::regimesKey) {
      regimes_ = config::keptRegimes(item.value);
    } else if (item.key == config::wholeKey) {
      applyWhole(item.value);
    } else if (kind == "pool") {
      config::Pool const list = config::keptPool(item.value);
      Index const pool = poolIndex(name);
      PoolView& view = poolViews_[pool];
      for (Index const r : view.replicas) replicas_[r].listed = false;
      view.replicas.clear();
      view.generation = list.generation;
      view.coldRate = list.coldRate;
      for (config::Replica const& r : list.replicas) {
        Index const ix = replicaNames_.index(name + "|" + config::lifeName(r));
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
    if (item.key == rosterKey) foldRoster(now, item.revision, item.value);
    if (item.key == membershipKey) {
      membershipIds_.clear();
      membershipLinks_.clear();
      for (QJsonValue const v : item.value.value("members").toArray()) {
        membershipIds_.push_back(core::str(v.toObject().value("id").toString()));
        membershipLinks_.push_back(core::str(v.toObject().value("link").toString()));
      }
    }
  } catch (core::Error const& e) {
    logEvent(out, now, "news-not-applied", {{"key", item.key}, {"error", e.what()}});
    return;
  }
  CORKWARD_PROMISE(core::Promise::revisionsRise, item.revision > revisionOf(item.key),
                   item.key + " falls to revision " + std::to_string(item.revision));
  keys_[item.key] = Key{item.revision, item.value};
  logEvent(out, now, "in-force", {{"key", item.key}, {"stamp", std::to_string(item.revision)}});
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

void RequestRouter::refreshHint(PoolView& view) {
  if (view.hint.generation <= view.generation) view.hint = transport::Hint{};
  std::set<std::string> const serving(view.hint.serving.begin(), view.hint.serving.end());
  std::set<std::string> const cold(view.hint.cold.begin(), view.hint.cold.end());
  for (Index const r : view.replicas) {
    std::string const life = config::lifeName(config::Replica{replicas_[r].id, replicas_[r].address, {}, {}});
    bool const mayWarm = replicas_[r].state == config::ReplicaState::cold && cold.count(life) > 0;
    replicas_[r].away = view.hint.generation > 0 && serving.count(life) == 0 && !mayWarm;
  }
}

bool RequestRouter::takeHint(Commands& out, Tick now, transport::Hint const& hint) {
  if (keys_.count("pool:" + hint.pool) == 0) return false;
  PoolView& view = poolViews_[pools_.index(hint.pool)];
  if (hint.generation <= view.generation || hint.generation <= view.hint.generation) return false;
  view.hint = hint;
  refreshHint(view);
  view.changed = true;
  logEvent(out, now, "leaving-hint", {{"pool", hint.pool}, {"generation", std::to_string(hint.generation)}});
  refreshCandidates(out, now);
  watchRegimes(out, now);
  return true;
}

std::vector<transport::Hint> RequestRouter::hints() const {
  std::vector<transport::Hint> out;
  for (PoolView const& view : poolViews_)
    if (view.hint.generation > 0) out.push_back(view.hint);
  return out;
}

Commands RequestRouter::platformList(Tick now, CallId call, std::string const& pool, std::string const& body) {
  Commands out;
  Answer answer;
  answer.call = call;
  try {
    QJsonValue const v = core::parseJson(body);
    if (!v.isObject()) throw core::JsonError("must be an object");
    config::Pool const list = config::readPool(v.toObject());
    std::map<std::string, Key>::const_iterator const key = keys_.find("pool:" + pool);
    std::uint64_t const have = key == keys_.end() ? 0 : poolViews_[pools_.index(pool)].generation;
    std::uint64_t const newest =
        key == keys_.end() ? 0 : std::max(have, poolViews_[pools_.index(pool)].hint.generation);
    if (list.generation < newest) {
      answer.status = 409;
      answer.body = {{"error", "older generation"},
                     {"reason", core::qstr("the list known here has generation " + std::to_string(newest))}};
    } else if (list.generation == have) {
      answer.body = {{"generation", static_cast<qint64>(have)}, {"inForce", true}};
    } else {
      transport::Hint hint{pool, list.generation, {}, {}};
      for (config::Replica const& r : list.replicas) {
        if (r.state == config::ReplicaState::serving) hint.serving.push_back(config::lifeName(r));
        if (r.state == config::ReplicaState::cold) hint.cold.push_back(config::lifeName(r));
      }
      on(out, now, "", hint);
      answer.status = 504;
      answer.body = {
          {"error", "pending"},
          {"pending", true},
          {"inForce", false},
          {"generation", static_cast<qint64>(list.generation)},
          {"reason", "what the list takes away is out of use here; the rest waits for a majority of the disks"}};
    }
  } catch (core::JsonError const& e) {
    answer.status = 400;
    answer.body = {{"error", "malformed"}, {"reason", e.what()}, {"pointer", "/"}};
  } catch (config::Error const& e) {
    answer.status = 422;
    answer.body = {
        {"error", "not a valid list"}, {"reason", core::qstr(e.reason())}, {"pointer", core::qstr(e.pointer())}};
  }
  count(now, "list_told_" + std::to_string(answer.status), pool);
  out.calls.push_back(std::move(answer));
  return out;
}

void RequestRouter::on(Commands& out, Tick now, std::string const& from, transport::News const& m) {
  bool const fromRouter = m.whole && m.number == 0;
  apply(out, now, m.items);
  if (m.whole && !whole_ && (tuning_.fenced || !m.items.empty())) {
    if (!fromRouter) {
      whole_ = true;
      vouched_ = true;
      logEvent(out, now, "whole-image", {{"from", from}});
    }
    snapshotSeen_ = true;
  }
  considerWhole(out, now, from);
  transport::NewsAck ack{m.number, partialView_.self().link, partialView_.self().inc, {}, digest_};
  if (!m.whole)
    for (transport::Item const& i : m.items) ack.revisions[i.key] = revisionOf(i.key);
  std::set<std::string> to(held_.begin(), held_.end());
  if (m.number > 0) to.insert(from);
  for (std::string const& s : to) out.sends.push_back(transport::Send{s, ack});
}

void RequestRouter::considerWhole(Commands& out, Tick now, std::string const& from) {
  if (whole_ || !snapshotSeen_ || !mostHeard(now)) return;
  whole_ = true;
  logEvent(out, now, "whole-image", {{"from", "neighbours"}, {"last", from}});
}

void RequestRouter::on(Commands& out, Tick now, std::string const& from, transport::Confirm const& m) {
  for (transport::Hint const& h : m.hints) takeHint(out, now, h);
  std::map<std::string, HeldLink>::iterator const held = controllers_.find(from);
  if (held != controllers_.end()) {
    if (m.inTouch) {
      held->second.unanswered = -1;
      held->second.good = now;
    }
    held->second.wantRevisions = m.wantRevisions;
    if (m.wantRevisions && now - held->second.namedAt >= tuning_.askEvery / 3) sendAsk(out, now, from);
  }
  if (m.roster > 0 && m.roster >= roster_.revision) roster_.joining = false;
  if (!m.inTouch || m.age < 0 || m.tick > now) return;
  Confirmation& c = confirmations_[from];
  Tick const at = m.tick - m.age;
  if (at > c.at) {
    c.at = at;
    c.digest = m.digest;
    c.revisions = m.revisions;
  }
  refreshServingLease();
}

void RequestRouter::on(Commands& out, Tick now, std::string const&, transport::Hint const& m) {
  if (!takeHint(out, now, m)) return;
  std::vector<std::string> others = rosterOthers();
  for (std::size_t i = others.size(); i > 1; --i) std::swap(others[i - 1], others[rng_.below(i)]);
  std::set<std::string> to(others.begin(),
                           others.begin() + static_cast<std::ptrdiff_t>(std::min(others.size(), tuning_.neighbours)));
  to.insert(held_.begin(), held_.end());
  for (std::string const& link : to) out.sends.push_back(transport::Send{link, m});
}

void RequestRouter::sendMissing(Commands& out, std::string const& to, transport::Revisions const& have) const {
  transport::News news;
  for (std::map<std::string, Key>::value_type const& k : keys_) {
    transport::Revisions::const_iterator const it = have.find(k.first);
    if (it == have.end() || it->second < k.second.revision)
      news.items.push_back(transport::Item{k.first, k.second.revision, k.second.value});
  }
  if (!news.items.empty()) out.sends.push_back(transport::Send{to, std::move(news)});
}

void RequestRouter::on(Commands& out, Tick now, std::string const& from, transport::Touch const& m) {
  if (m.link != from) return;
  for (transport::Hint const& h : m.hints) takeHint(out, now, h);
  if (!m.echo) {
    transport::Touch echo;
    echo.tick = m.tick;
    echo.echo = true;
    echo.whole = whole_;
    echo.link = partialView_.self().link;
    echo.digest = digest_;
    if (!(m.digest == digest_)) echo.revisions = revisions();
    if (m.wantAges && whole_) {
      echo.roster = roster_.revision;
      echo.ages = ages(now);
    }
    echo.hints = hints();
    out.sends.push_back(transport::Send{from, std::move(echo)});
    if (m.wantWhole && whole_) {
      transport::News news;
      news.whole = true;
      for (std::map<std::string, Key>::value_type const& k : keys_)
        news.items.push_back(transport::Item{k.first, k.second.revision, k.second.value});
      out.sends.push_back(transport::Send{from, std::move(news)});
    }
    return;
  }
  std::map<std::string, HeldLink>::iterator const n = neighbours_.find(from);
  if (n != neighbours_.end()) n->second.unanswered = -1;
  if (m.tick > now) return;
  if (knows(m.digest, m.revisions)) {
    countHeard(from, m);
  } else {
    echoes_[from] = m;
  }
  considerWhole(out, now, from);
  if (!(transport::digestOf(m.revisions) == m.digest)) return;
  for (transport::Revisions::value_type const& s : m.revisions) {
    if (revisionOf(s.first) >= s.second) continue;
    Tick& at = fetchedAt_[s.first];
    if (at != 0 && now - at < tuning_.touchEvery) continue;
    at = now;
    out.sends.push_back(transport::Send{from, transport::Fetch{s.first, false, "", 0}});
  }
  if (whole_ && m.whole && m.digest.count > 0 && !(m.digest == digest_)) sendMissing(out, from, m.revisions);
}

void RequestRouter::on(Commands& out, Tick, std::string const& from, transport::Fetch const& m) {
  std::map<std::string, Key>::const_iterator const it = keys_.find(m.key);
  if (it == keys_.end()) return;
  transport::News news;
  news.items.push_back(transport::Item{it->first, it->second.revision, it->second.value});
  out.sends.push_back(transport::Send{from, std::move(news)});
}

}  // namespace corkward::dataplane
