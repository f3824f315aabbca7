#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/core/types.h>
#include <corkward/dataplane/request.h>

namespace corkward::dataplane {

using core::NameIndex;

/// A path of the configuration with the pools that serve it.
struct Route {
  struct Backend {
    NameIndex pool = 0;
    /// Above 0.
    std::uint32_t weight = 0;
  };

  config::Path path;
  NameIndex pool = 0;
  NameIndex instance = 0;
  /// Pools that share the requests; at least one.
  std::vector<Backend> backends;
};

/// The routes in force, found by instance and path or by host and path prefix. A route that was removed keeps its index
/// for as long as a call uses it.
class RouteTable {
 public:
  /// Removes the routes of a configuration key.
  void remove(std::string const& owner);
  /// Adds a route of a configuration key: by "instance/path", or by host and prefix.
  void add(std::string const& owner, std::string const& key, Route route);

  /// The route of a request: that of its instance and path, or the one with the longest prefix of its host and target;
  /// InternedNames::none when there is none.
  NameIndex find(Request const& request) const;
  Route const& operator[](NameIndex route) const { return routes_[route]; }
  std::size_t size() const { return routes_.size(); }
  bool empty() const { return routes_.empty(); }
  /// Rises whenever routes change; never 0.
  std::uint64_t revision() const { return revision_; }
  /// Instances of the routes in force.
  std::set<NameIndex> instances() const;

  /// Most routes are not in force any more.
  bool needsCompaction() const;
  /// Drops the routes that are neither in force nor in use. The new index of each route that is kept, by the old one.
  std::vector<NameIndex> compact(std::set<NameIndex> const& inUse);

 private:
  std::vector<Route> routes_;
  /// Routes in force by key.
  std::unordered_map<std::string, NameIndex> index_;
  /// Keys of each owner's routes.
  std::map<std::string, std::vector<std::string>> owned_;
  std::uint64_t revision_ = 1;
};

}  // namespace corkward::dataplane
