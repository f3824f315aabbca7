#pragma once

#include <map>
#include <string>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// How long the requests of each path take on this router. A draining router rejects requests that would probably not
/// end before it stops.
class ServiceTimes {
 public:
  /// Records the duration of a served request, in milliseconds.
  void record(config::Path const& path, Milliseconds duration);
  /// Longest time that a request of the path is expected to take. Returns the path's deadline until enough requests
  /// were served, because the first requests to end are the fastest ones.
  Milliseconds expected(config::Path const& path) const;

 private:
  struct ServiceTime {
    /// Longest recent duration. It decays with each served request.
    Milliseconds longest = 0;
    unsigned served = 0;
  };

  /// By instance and path. All entries are removed when the number of paths exceeds its limit.
  std::map<std::pair<std::string, std::string>, ServiceTime> times_;
};

}  // namespace corkward::dataplane
