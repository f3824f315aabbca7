// What is in force here: news from control and neighbours, the platform's lists, and hints of what leaves them.
#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>

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

void RequestRouter::apply(RouterCommands& out, Tick now, std::vector<transport::CommittedEntry> const& items) {
  bool any = false;
  for (transport::CommittedEntry const& item : items) {
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

NameIndex RequestRouter::poolIndex(std::string const& name) {
  NameIndex const pool = pools_.intern(name);
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
  Row row{path, poolIndex(path.pool), instances_.intern(instance), {}};
  for (config::WeightedPool const& s : path.weightedPools)
    if (s.weight > 0) row.shares.emplace_back(poolIndex(s.pool), s.weight);
  if (row.shares.empty()) row.shares.emplace_back(row.pool, 1);
  bound_ = bound_ || !path.regime.empty();
  if (bound_) instanceRegimes_[row.instance] = path.regime;
  routes_[route] = static_cast<NameIndex>(rows_.size());
  ownedRoutes_[owner].push_back(route);
  rows_.push_back(std::move(row));
}

void RequestRouter::applyWhole(QJsonObject const& value) {
  config::FleetConfiguration const whole = config::readFleetConfiguration(value.value("spec").toObject());
  forgetRoutes(config::fleetConfigurationKey);
  for (config::Path const& p : whole.paths) addRow(config::fleetConfigurationKey, p.host + p.prefix, p, wholeInstance);
  for (PoolView& view : poolViews_) view.terms.reset();
  for (config::PoolSettings const& t : whole.pools) poolViews_[poolIndex(t.name)].terms = t;
  httpTerms_ = whole.http;
  tenants_.configure(whole.tenants);
}

void RequestRouter::applyOne(RouterCommands& out, Tick now, transport::CommittedEntry const& item) {
  std::size_t const colon = item.key.find(':');
  std::string const kind = item.key.substr(0, colon);
  std::string const name = colon == std::string::npos ? "" : item.key.substr(colon + 1);
  try {
    if (kind == "family") {
      std::vector<config::Path> const paths = config::render(name, item.value);
      forgetRoutes(item.key);
      for (config::Path const& p : paths) addRow(item.key, p.instance + "/" + p.path, p, p.instance);
    } else if (item.key == config::regimesKey) {
      regimes_ = config::storedRegimes(item.value);
    } else if (item.key == config::fleetConfigurationKey) {
      applyWhole(item.value);
    } else if (kind == "pool") {
      config::EndpointList const list = config::storedPool(item.value);
      NameIndex const pool = poolIndex(name);
      PoolView& view = poolViews_[pool];
      for (NameIndex const r : view.replicas) replicas_[r].listed = false;
      view.replicas.clear();
      view.generation = list.generation;
      view.coldRate = list.coldRate;
      for (config::Replica const& r : list.replicas) {
        NameIndex const ix = replicaNames_.intern(name + "|" + config::incarnationName(r));
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
        membershipIds_.push_back(core::toStdString(v.toObject().value("id").toString()));
        membershipLinks_.push_back(core::toStdString(v.toObject().value("link").toString()));
      }
    }
  } catch (core::Error const& e) {
    logEvent(out, now, "news-not-applied", {{"key", item.key}, {"error", e.what()}});
    return;
  }
  CORKWARD_GUARANTEE(core::Guarantee::revisionsRise, item.revision > revisionOf(item.key),
                     item.key + " falls to revision " + std::to_string(item.revision));
  keys_[item.key] = Key{item.revision, item.value};
  logEvent(out, now, "in-force", {{"key", item.key}, {"stamp", std::to_string(item.revision)}});
  if (rows_.size() < 1024 || rows_.size() < 4 * routes_.size()) return;
  std::vector<bool> used(rows_.size(), false);
  for (std::unordered_map<std::string, NameIndex>::value_type const& r : routes_) used[r.second] = true;
  for (std::unordered_map<CallId, Call>::value_type const& c : calls_) used[c.second.path] = true;
  std::vector<NameIndex> moved(rows_.size(), 0);
  std::vector<Row> kept;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    if (!used[i]) continue;
    moved[i] = static_cast<NameIndex>(kept.size());
    kept.push_back(std::move(rows_[i]));
  }
  rows_ = std::move(kept);
  for (std::unordered_map<std::string, NameIndex>::value_type& r : routes_) r.second = moved[r.second];
  for (std::unordered_map<CallId, Call>::value_type& c : calls_) c.second.path = moved[c.second.path];
}

void RequestRouter::refreshHint(PoolView& view) {
  if (view.hint.generation <= view.generation) view.hint = transport::EndpointRemovalHint{};
  std::set<std::string> const serving(view.hint.serving.begin(), view.hint.serving.end());
  std::set<std::string> const cold(view.hint.cold.begin(), view.hint.cold.end());
  for (NameIndex const r : view.replicas) {
    std::string const life = config::incarnationName(config::Replica{replicas_[r].id, replicas_[r].address, {}, {}});
    bool const mayWarm = replicas_[r].state == config::ReplicaState::cold && cold.count(life) > 0;
    replicas_[r].away = view.hint.generation > 0 && serving.count(life) == 0 && !mayWarm;
  }
}

bool RequestRouter::takeHint(RouterCommands& out, Tick now, transport::EndpointRemovalHint const& hint) {
  if (keys_.count("pool:" + hint.pool) == 0) return false;
  PoolView& view = poolViews_[pools_.intern(hint.pool)];
  if (hint.generation <= view.generation || hint.generation <= view.hint.generation) return false;
  view.hint = hint;
  refreshHint(view);
  view.changed = true;
  logEvent(out, now, "leaving-hint", {{"pool", hint.pool}, {"generation", std::to_string(hint.generation)}});
  refreshCandidates(out, now);
  watchRegimes(out, now);
  return true;
}

std::vector<transport::EndpointRemovalHint> RequestRouter::hints() const {
  std::vector<transport::EndpointRemovalHint> out;
  for (PoolView const& view : poolViews_)
    if (view.hint.generation > 0) out.push_back(view.hint);
  return out;
}

RouterCommands RequestRouter::onEndpointList(Tick now, CallId call, std::string const& pool, std::string const& body) {
  RouterCommands out;
  EndpointListResponse answer;
  answer.call = call;
  try {
    QJsonValue const v = core::parseJson(body);
    if (!v.isObject()) throw core::JsonError("must be an object");
    config::EndpointList const list = config::readPool(v.toObject());
    std::map<std::string, Key>::const_iterator const key = keys_.find("pool:" + pool);
    std::uint64_t const have = key == keys_.end() ? 0 : poolViews_[pools_.intern(pool)].generation;
    std::uint64_t const newest =
        key == keys_.end() ? 0 : std::max(have, poolViews_[pools_.intern(pool)].hint.generation);
    if (list.generation < newest) {
      answer.status = 409;
      answer.body = {{"error", "older generation"},
                     {"reason", core::toQString("the list known here has generation " + std::to_string(newest))}};
    } else if (list.generation == have) {
      answer.body = {{"generation", static_cast<qint64>(have)}, {"inForce", true}};
    } else {
      transport::EndpointRemovalHint hint{pool, list.generation, {}, {}};
      for (config::Replica const& r : list.replicas) {
        if (r.state == config::ReplicaState::serving) hint.serving.push_back(config::incarnationName(r));
        if (r.state == config::ReplicaState::cold) hint.cold.push_back(config::incarnationName(r));
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
  } catch (config::ConfigError const& e) {
    answer.status = 422;
    answer.body = {{"error", "not a valid list"},
                   {"reason", core::toQString(e.reason())},
                   {"pointer", core::toQString(e.pointer())}};
  }
  count(now, "list_told_" + std::to_string(answer.status), pool);
  out.calls.push_back(std::move(answer));
  return out;
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from,
                       transport::ConfigurationUpdate const& m) {
  bool const fromRouter = m.isSnapshot && m.number == 0;
  apply(out, now, m.entries);
  if (m.isSnapshot && !whole_ && (tuning_.fenced || !m.entries.empty())) {
    if (!fromRouter) {
      whole_ = true;
      vouched_ = true;
      logEvent(out, now, "whole-image", {{"from", from}});
    }
    snapshotSeen_ = true;
  }
  considerWhole(out, now, from);
  transport::ConfigurationAck ack{m.number, partialView_.self().link, partialView_.self().incarnation, {}, digest_};
  if (!m.isSnapshot)
    for (transport::CommittedEntry const& i : m.entries) ack.revisions[i.key] = revisionOf(i.key);
  std::set<std::string> to(held_.begin(), held_.end());
  if (m.number > 0) to.insert(from);
  for (std::string const& s : to) out.sends.push_back(transport::Send{s, ack});
}

void RequestRouter::considerWhole(RouterCommands& out, Tick now, std::string const& from) {
  if (whole_ || !snapshotSeen_ || !mostHeard(now)) return;
  whole_ = true;
  logEvent(out, now, "whole-image", {{"from", "neighbours"}, {"last", from}});
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const&, transport::EndpointRemovalHint const& m) {
  if (!takeHint(out, now, m)) return;
  std::vector<std::string> others = rosterOthers();
  for (std::size_t i = others.size(); i > 1; --i) std::swap(others[i - 1], others[rng_.below(i)]);
  std::set<std::string> to(others.begin(),
                           others.begin() + static_cast<std::ptrdiff_t>(std::min(others.size(), tuning_.neighbours)));
  to.insert(held_.begin(), held_.end());
  for (std::string const& link : to) out.sends.push_back(transport::Send{link, m});
}

void RequestRouter::sendMissing(RouterCommands& out, std::string const& to, transport::Revisions const& have) const {
  transport::ConfigurationUpdate news;
  for (std::map<std::string, Key>::value_type const& k : keys_) {
    transport::Revisions::const_iterator const it = have.find(k.first);
    if (it == have.end() || it->second < k.second.revision)
      news.entries.push_back(transport::CommittedEntry{k.first, k.second.revision, k.second.value});
  }
  if (!news.entries.empty()) out.sends.push_back(transport::Send{to, std::move(news)});
}

void RequestRouter::on(RouterCommands& out, Tick, std::string const& from, transport::ValueRequest const& m) {
  std::map<std::string, Key>::const_iterator const it = keys_.find(m.key);
  if (it == keys_.end()) return;
  transport::ConfigurationUpdate news;
  news.entries.push_back(transport::CommittedEntry{it->first, it->second.revision, it->second.value});
  out.sends.push_back(transport::Send{from, std::move(news)});
}

}  // namespace corkward::dataplane
