#include <utility>

#include <corkward/dataplane/route_table.h>

namespace corkward::dataplane {

namespace {

/// Fewer routes are never compacted.
constexpr std::size_t minCompacted = 1024;
/// Routes are compacted once fewer than one in so many is in force.
constexpr std::size_t maxRoutesPerKey = 4;

}  // namespace

void RouteTable::remove(std::string const& owner) {
  std::vector<std::string>& keys = owned_[owner];
  for (std::string const& key : keys) index_.erase(key);
  keys.clear();
  ++revision_;
}

void RouteTable::add(std::string const& owner, std::string const& key, Route route) {
  index_[key] = static_cast<NameIndex>(routes_.size());
  owned_[owner].push_back(key);
  routes_.push_back(std::move(route));
}

NameIndex RouteTable::find(Request const& request) const {
  if (!request.instance.empty()) {
    auto const route = index_.find(request.instance + "/" + request.path);
    return route == index_.end() ? core::InternedNames::none : route->second;
  }
  std::string const key = request.host + request.target.substr(0, request.target.find_first_of("?#"));
  for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= request.host.size();
       slash = key.rfind('/', slash - 1)) {
    auto const route = index_.find(key.substr(0, slash + 1));
    if (route != index_.end()) return route->second;
    if (slash == 0) break;
  }
  return core::InternedNames::none;
}

std::set<NameIndex> RouteTable::instances() const {
  std::set<NameIndex> instances;
  for (auto const& [key, route] : index_) instances.insert(routes_[route].instance);
  return instances;
}

bool RouteTable::needsCompaction() const {
  return routes_.size() >= minCompacted && routes_.size() >= maxRoutesPerKey * index_.size();
}

std::vector<NameIndex> RouteTable::compact(std::set<NameIndex> const& inUse) {
  std::set<NameIndex> kept = inUse;
  for (auto const& [key, route] : index_) kept.insert(route);
  std::vector<NameIndex> moved(routes_.size(), 0);
  std::vector<Route> routes;
  for (NameIndex const route : kept) {
    moved[route] = static_cast<NameIndex>(routes.size());
    routes.push_back(std::move(routes_[route]));
  }
  routes_ = std::move(routes);
  for (auto& [key, route] : index_) route = moved[route];
  return moved;
}

}  // namespace corkward::dataplane
