#pragma once

#include <map>
#include <string>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// How long the requests of each path take on this router, so that a draining router can turn away those that would
/// outlast it.
class ServiceTimes {
 public:
  /// Counts a served request that took this long, in milliseconds.
  void record(config::Path const& path, Milliseconds took);
  /// Longest time that a request of the path is expected to take: its deadline until enough requests were served, since
  /// the first to be served are the quickest.
  Milliseconds expected(config::Path const& path) const;

 private:
  struct ServiceTime {
    /// Longest time of late; fades with each request that is served.
    Milliseconds longest = 0;
    unsigned served = 0;
  };

  /// By instance and path; bounded, and cleared when it is full.
  std::map<std::pair<std::string, std::string>, ServiceTime> times_;
};

}  // namespace corkward::dataplane
