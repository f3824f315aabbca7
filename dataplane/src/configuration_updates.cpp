// Keeps the configuration in effect up to date: updates from controllers and neighbours, endpoint lists that the
// platform sends, and hints about replicas that newer endpoint lists remove.
#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

void RequestRouter::applyEntries(RouterCommands& out, Milliseconds now,
                                 std::vector<transport::CommittedEntry> const& entries) {
  bool anyApplied = false;
  for (transport::CommittedEntry const& entry : entries) {
    if (entry.revision <= revisionOf(entry.key)) continue;
    applyEntry(out, now, entry);
    anyApplied = true;
  }
  if (!anyApplied) return;
  configuration_.recordDigest();
  servingLease_.refresh(configuration_, roster_);
  regimePolicy_.invalidate();
  for (PoolView& view : pools_) {
    view.changed = true;
    view.bindingsChanged = regimePolicy_.anyBound();
  }
  refreshCandidates(out, now);
  enforceRegimes(out, now);
}

NameIndex RequestRouter::poolIndex(std::string const& name) {
  NameIndex const pool = poolNames_.intern(name);
  if (pool >= pools_.size()) pools_.resize(pool + 1);
  return pool;
}

void RequestRouter::addRoute(std::string const& owner, RouteKey const& key, config::Path const& path,
                             std::string const& instance) {
  Route route{path, poolIndex(path.pool), instanceNames_.intern(instance), {}};
  for (config::WeightedPool const& weighted : path.weightedPools)
    if (weighted.weight > 0) route.backends.push_back({poolIndex(weighted.pool), weighted.weight});
  if (route.backends.empty()) route.backends.push_back({route.pool, 1});
  regimePolicy_.bind(route.instance, path.regime);
  routes_.add(owner, key, std::move(route));
}

void RequestRouter::applyFleetConfiguration(RouterCommands& out, Milliseconds now, QJsonObject const& value) {
  config::FleetConfiguration const fleet = config::readCommittedFleetConfiguration(value.value("spec").toObject());
  if (!fleet.ignoredPaths.empty())
    logEvent(out, now, events::pathsIgnored,
             {{"first", fleet.ignoredPaths.front()}, {"count", std::to_string(fleet.ignoredPaths.size())}});
  routes_.remove(config::fleetConfigurationKey);
  for (config::Path const& path : fleet.paths)
    addRoute(config::fleetConfigurationKey, RouteKey::ofHost(path.host, path.prefix), path, fleetInstance);
  for (PoolView& view : pools_) view.settings.reset();
  for (config::PoolSettings const& settings : fleet.pools) pools_[poolIndex(settings.name)].settings = settings;
  httpLimits_ = fleet.http;
  tenants_.configure(fleet.tenants);
}

void RequestRouter::applyEntry(RouterCommands& out, Milliseconds now, transport::CommittedEntry const& entry) {
  try {
    applyValue(out, now, entry);
  } catch (core::Error const& error) {
    logEvent(out, now, events::entryRejected, {{"key", entry.key}, {"error", error.what()}});
    return;
  }
  configuration_.set(entry);
  logEvent(out, now, events::entryApplied, {{"key", entry.key}, {"revision", std::to_string(entry.revision)}});
  compactRoutes();
}

void RequestRouter::applyValue(RouterCommands& out, Milliseconds now, transport::CommittedEntry const& entry) {
  std::size_t const colon = entry.key.find(':');
  std::string const kind = entry.key.substr(0, colon);
  std::string const name = colon == std::string::npos ? "" : entry.key.substr(colon + 1);
  if (kind == "family") {
    std::vector<config::Path> const paths = config::renderPaths(name, entry.value);
    routes_.remove(entry.key);
    for (config::Path const& path : paths)
      addRoute(entry.key, RouteKey::ofInstance(path.instance, path.path), path, path.instance);
  } else if (entry.key == config::regimesKey) {
    regimePolicy_.declare(config::readStoredRegimes(entry.value));
  } else if (entry.key == config::fleetConfigurationKey) {
    applyFleetConfiguration(out, now, entry.value);
  } else if (kind == "pool") {
    applyEndpointList(name, entry.revision, config::readStoredEndpointList(entry.value));
  } else if (kind == "zone") {
    if (entry.value.value("evacuated").toBool())
      evacuated_.insert(name);
    else
      evacuated_.erase(name);
  } else if (entry.key == rosterKey) {
    loadRoster(now, entry.revision, entry.value);
  } else if (entry.key == membershipKey) {
    applyMembership(entry.value);
  }
}

void RequestRouter::applyEndpointList(std::string const& poolName, std::uint64_t revision,
                                      config::EndpointList const& list) {
  NameIndex const pool = poolIndex(poolName);
  PoolView& view = pools_[pool];
  for (NameIndex const replica : view.replicas) replicas_[replica].listed = false;
  view.replicas.clear();
  view.listGeneration = list.generation;
  view.slowStartRate = list.slowStartRate;
  for (config::Replica const& listed : list.replicas) {
    NameIndex const index = replicaNames_.intern(poolName + "|" + config::incarnationName(listed));
    if (index >= replicas_.size()) replicas_.resize(index + 1);
    Replica& replica = replicas_[index];
    replica.pool = pool;
    replica.address = listed.address;
    replica.id = listed.id;
    replica.hash = core::stableHash(replicaNames_.name(index));
    replica.zone = listed.zone;
    replica.state = listed.state;
    replica.listed = true;
    view.replicas.push_back(index);
  }
  removalHints_.onListCommitted(poolName, {revision, list.generation});
  refreshUnreachable(pool);
}

void RequestRouter::applyMembership(QJsonObject const& value) {
  membershipIds_.clear();
  membershipLinks_.clear();
  for (QJsonValue const member : value.value("members").toArray()) {
    membershipIds_.push_back(core::toStdString(member.toObject().value("id").toString()));
    membershipLinks_.push_back(core::toStdString(member.toObject().value("link").toString()));
  }
}

void RequestRouter::compactRoutes() {
  if (!routes_.needsCompaction()) return;
  std::set<NameIndex> inUse;
  for (auto const& [id, call] : calls_) inUse.insert(call.path);
  std::vector<NameIndex> const moved = routes_.compact(inUse);
  for (auto& [id, call] : calls_) call.path = moved[call.path];
}

namespace {

/// The replicas that a removal hint leaves in use.
struct RemainingReplicas {
  std::set<std::string> serving;
  std::set<std::string> warmingUp;

  explicit RemainingReplicas(transport::EndpointRemovalHint const& hint)
      : serving(hint.serving.begin(), hint.serving.end()), warmingUp(hint.cold.begin(), hint.cold.end()) {}

  bool contains(std::string const& incarnation, config::ReplicaState state) const {
    bool const staysWarmingUp = state == config::ReplicaState::warmingUp && warmingUp.count(incarnation) > 0;
    return staysWarmingUp || serving.count(incarnation) > 0;
  }
};

}  // namespace

void RequestRouter::refreshUnreachable(NameIndex pool) {
  std::vector<RemainingReplicas> remaining;
  for (transport::EndpointRemovalHint const* const hint : removalHints_.ofPool(poolNames_.name(pool)))
    remaining.emplace_back(*hint);
  for (NameIndex const index : pools_[pool].replicas) {
    Replica& replica = replicas_[index];
    std::string const incarnation = config::incarnationName(config::Replica{replica.id, replica.address, {}, {}});
    replica.unreachable = std::any_of(remaining.begin(), remaining.end(), [&](RemainingReplicas const& replicas) {
      return !replicas.contains(incarnation, replica.state);
    });
  }
}

gossip::CommittedListVersion RequestRouter::committedList(std::string const& poolName) const {
  std::uint64_t const revision = revisionOf("pool:" + poolName);
  if (revision == 0) return {};
  return {revision, pools_[poolNames_.find(poolName)].listGeneration};
}

bool RequestRouter::applyRemovalHint(RouterCommands& out, Milliseconds now,
                                     transport::EndpointRemovalHint const& hint) {
  bool const isNew = removalHints_.add(now, hint, committedList(hint.pool)) == gossip::RemovalHints::Change::added;
  if (!isNew) return false;
  NameIndex const pool = poolIndex(hint.pool);
  refreshUnreachable(pool);
  pools_[pool].changed = true;
  logEvent(out, now, events::endpointRemovalHint,
           {{"pool", hint.pool},
            {"generation", std::to_string(hint.generation)},
            {"source", hint.source},
            {"base", std::to_string(hint.baseRevision)}});
  refreshCandidates(out, now);
  enforceRegimes(out, now);
  return true;
}

void RequestRouter::expireRemovalHints(RouterCommands& out, Milliseconds now) {
  std::vector<std::string> const pools = removalHints_.expire(now);
  for (std::string const& name : pools) {
    NameIndex const pool = poolIndex(name);
    refreshUnreachable(pool);
    pools_[pool].changed = true;
    logEvent(out, now, events::endpointRemovalHintEnded, {{"pool", name}});
  }
  if (!pools.empty()) refreshCandidates(out, now);
}

RouterCommands RequestRouter::onEndpointList(Milliseconds now, CallId call, std::string const& pool,
                                             std::string const& body) {
  RouterCommands out;
  EndpointListResponse response;
  response.call = call;
  try {
    QJsonValue const json = core::parseJson(body);
    if (!json.isObject()) throw core::JsonError("must be an object");
    config::EndpointList const list = config::readEndpointList(json.toObject());
    std::uint64_t const active = committedList(pool).generation;
    std::uint64_t const newest = std::max(active, removalHints_.newestGeneration(pool));
    if (list.generation < newest) {
      response.status = 409;
      response.body = {{"error", "older generation"},
                       {"reason", core::toQString("the list known here has generation " + std::to_string(newest))}};
    } else if (list.generation == active) {
      response.body = {{"generation", static_cast<qint64>(active)}, {"inForce", true}};
    } else {
      transport::EndpointRemovalHint hint{pool, list.generation, {}, {}};
      for (config::Replica const& replica : list.replicas) {
        if (replica.state == config::ReplicaState::serving) hint.serving.push_back(config::incarnationName(replica));
        if (replica.state == config::ReplicaState::warmingUp) hint.cold.push_back(config::incarnationName(replica));
      }
      on(out, now, "", hint);
      response.status = 504;
      response.body = {
          {"error", "pending"},
          {"pending", true},
          {"inForce", false},
          {"generation", static_cast<qint64>(list.generation)},
          {"reason", "what the list takes away is out of use here; the rest waits for a majority of the disks"}};
    }
  } catch (core::JsonError const& error) {
    response.status = 400;
    response.body = {{"error", "malformed"}, {"reason", error.what()}, {"pointer", "/"}};
  } catch (config::ConfigError const& error) {
    response.status = 422;
    response.body = {{"error", "not a valid list"},
                     {"reason", core::toQString(error.reason())},
                     {"pointer", core::toQString(error.pointer())}};
  }
  countMetric(now, "list_told_" + std::to_string(response.status), pool);
  out.calls.push_back(std::move(response));
  return out;
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::ConfigurationUpdate const& update) {
  bool const fromRouter = update.isSnapshot && update.number == 0;
  applyEntries(out, now, update.entries);
  if (update.isSnapshot && !snapshotApplied_ && (tuning_.leaseRequired || !update.entries.empty())) {
    if (!fromRouter) {
      snapshotApplied_ = true;
      servingLease_.onControllerSnapshot();
      logEvent(out, now, events::snapshotApplied, {{"from", from}});
    }
    snapshotSeen_ = true;
  }
  adoptSnapshot(out, now, from);
  transport::ConfigurationAck ack{
      update.number, partialView_.self().link, partialView_.self().incarnation, {}, configuration_.digest()};
  if (!update.isSnapshot)
    for (transport::CommittedEntry const& entry : update.entries) ack.revisions[entry.key] = revisionOf(entry.key);
  std::set<std::string> recipients(controllerLinks_.chosen().begin(), controllerLinks_.chosen().end());
  if (update.number > 0) recipients.insert(from);
  for (std::string const& link : recipients) out.sends.push_back(transport::Send{link, ack});
}

void RequestRouter::adoptSnapshot(RouterCommands& out, Milliseconds now, std::string const& from) {
  if (snapshotApplied_ || !snapshotSeen_ || !hasRecentQuorumContact(now)) return;
  snapshotApplied_ = true;
  logEvent(out, now, events::snapshotApplied, {{"from", "neighbours"}, {"last", from}});
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const&,
                       transport::EndpointRemovalHint const& hint) {
  if (!applyRemovalHint(out, now, hint)) return;
  std::vector<std::string> others = otherRouters();
  for (std::size_t i = others.size(); i > 1; --i) std::swap(others[i - 1], others[rng_.below(i)]);
  std::set<std::string> recipients(
      others.begin(), others.begin() + static_cast<std::ptrdiff_t>(std::min(others.size(), tuning_.neighbourCount)));
  recipients.insert(controllerLinks_.chosen().begin(), controllerLinks_.chosen().end());
  transport::EndpointRemovalHint const sent = gossip::forwarded(hint);
  for (std::string const& link : recipients) out.sends.push_back(transport::Send{link, sent});
}

void RequestRouter::sendMissing(RouterCommands& out, std::string const& to, transport::Revisions const& have) const {
  transport::ConfigurationUpdate update;
  update.entries = configuration_.missingFrom(have);
  if (!update.entries.empty()) out.sends.push_back(transport::Send{to, std::move(update)});
}

void RequestRouter::on(RouterCommands& out, Milliseconds, std::string const& from,
                       transport::ValueRequest const& request) {
  std::optional<transport::CommittedEntry> const entry = configuration_.entry(request.key);
  if (!entry) return;
  transport::ConfigurationUpdate update;
  update.entries.push_back(*entry);
  out.sends.push_back(transport::Send{from, std::move(update)});
}

}  // namespace corkward::dataplane
