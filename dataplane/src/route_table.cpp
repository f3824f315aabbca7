#include <boost/container_hash/hash.hpp>
#include <utility>

#include <corkward/dataplane/route_table.h>

namespace corkward::dataplane {

namespace {

/// A table with fewer routes is never compacted.
constexpr std::size_t minRoutesToCompact = 1024;
/// The table is compacted when it has at least this many routes for each active route.
constexpr std::size_t routesPerActiveRoute = 4;

}  // namespace

std::size_t RouteKeyHash::operator()(RouteKey const& key) const {
  std::size_t seed = 0;
  boost::hash_combine(seed, key.kind);
  boost::hash_combine(seed, key.name);
  boost::hash_combine(seed, key.path);
  return seed;
}

void RouteTable::remove(std::string const& owner) {
  std::vector<RouteKey>& keys = owned_[owner];
  for (RouteKey const& key : keys) index_.erase(key);
  keys.clear();
  ++revision_;
}

void RouteTable::add(std::string const& owner, RouteKey const& key, Route route) {
  index_[key] = static_cast<NameIndex>(routes_.size());
  owned_[owner].push_back(key);
  routes_.push_back(std::move(route));
}

NameIndex RouteTable::find(Request const& request) const {
  if (!request.instance.empty()) return find(RouteKey::ofInstance(request.instance, request.path));
  RouteKey key = RouteKey::ofHost(request.host, request.target.substr(0, request.target.find_first_of("?#")));
  std::string& prefix = key.path;
  while (!prefix.empty()) {
    prefix.resize(prefix.rfind('/') + 1);
    NameIndex const route = find(key);
    if (route != core::InternedNames::none) return route;
    if (!prefix.empty()) prefix.pop_back();
  }
  return core::InternedNames::none;
}

NameIndex RouteTable::find(RouteKey const& key) const {
  auto const route = index_.find(key);
  return route == index_.end() ? core::InternedNames::none : route->second;
}

std::set<NameIndex> RouteTable::instances() const {
  std::set<NameIndex> instances;
  for (auto const& [key, route] : index_) instances.insert(routes_[route].instance);
  return instances;
}

bool RouteTable::needsCompaction() const {
  return routes_.size() >= minRoutesToCompact && routes_.size() >= routesPerActiveRoute * index_.size();
}

std::vector<NameIndex> RouteTable::compact(std::set<NameIndex> const& inUse) {
  std::set<NameIndex> remaining = inUse;
  for (auto const& [key, route] : index_) remaining.insert(route);
  std::vector<NameIndex> newIndices(routes_.size(), 0);
  std::vector<Route> routes;
  for (NameIndex const route : remaining) {
    newIndices[route] = static_cast<NameIndex>(routes.size());
    routes.push_back(std::move(routes_[route]));
  }
  routes_ = std::move(routes);
  for (auto& [key, route] : index_) route = newIndices[route];
  return newIndices;
}

}  // namespace corkward::dataplane
