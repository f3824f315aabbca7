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
    /// Relative number of the requests that the pool gets. Greater than 0.
    std::uint32_t weight = 0;
  };

  config::Path path;
  NameIndex pool = 0;
  NameIndex instance = 0;
  /// Pools among which the requests are distributed. At least one.
  std::vector<Backend> backends;
};

/// What requests select a route by: an instance and a path, or a host and a path prefix.
struct RouteKey {
  enum class Kind { instance, host };

  static RouteKey ofInstance(std::string const& instance, std::string const& path) {
    return {Kind::instance, instance, path};
  }
  static RouteKey ofHost(core::HostName const& host, std::string const& prefix) {
    return {Kind::host, host.text(), prefix};
  }
  bool operator==(RouteKey const&) const = default;

  Kind kind = Kind::instance;
  /// Name of the instance, or normal form of the host's name.
  std::string name;
  /// Path below the instance, or path prefix.
  std::string path;
};

struct RouteKeyHash {
  std::size_t operator()(RouteKey const& key) const;
};

/// The active routes, found by instance and path or by host and path prefix. A removed route keeps its index for as
/// long as a call uses it.
class RouteTable {
 public:
  /// Deactivates the routes of a configuration key.
  /// @param owner the configuration key.
  void remove(std::string const& owner);
  /// Adds a route of a configuration key.
  /// @param owner the configuration key.
  void add(std::string const& owner, RouteKey const& key, Route route);

  /// Returns the route of the request's instance and path or, if the request names no instance, the route of its host
  /// with the longest matching prefix of its target. Returns InternedNames::none if there is no such route.
  NameIndex find(Request const& request) const;
  Route const& operator[](NameIndex route) const { return routes_[route]; }
  std::size_t size() const { return routes_.size(); }
  bool empty() const { return routes_.empty(); }
  /// Revision of the routes, which rises when the routes of a configuration key are removed or replaced. Never 0.
  std::uint64_t revision() const { return revision_; }
  /// Instances of the active routes.
  std::set<NameIndex> instances() const;

  /// Whether the table is large and most of its routes are inactive.
  bool needsCompaction() const;
  /// Removes the routes that are neither active nor used by a call. Returns a vector that maps the old index of each
  /// remaining route to its new one.
  std::vector<NameIndex> compact(std::set<NameIndex> const& inUse);

 private:
  NameIndex find(RouteKey const& key) const;

  std::vector<Route> routes_;
  /// Active routes by key.
  std::unordered_map<RouteKey, NameIndex, RouteKeyHash> index_;
  /// Keys of the routes of each configuration key (owner).
  std::map<std::string, std::vector<RouteKey>> owned_;
  std::uint64_t revision_ = 1;
};

}  // namespace corkward::dataplane
