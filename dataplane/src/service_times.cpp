#include <algorithm>

#include <corkward/dataplane/service_times.h>

namespace corkward::dataplane {

namespace {

/// The longest time loses this fraction (one part in so many) with each request that is served.
constexpr Milliseconds fadeDivisor = 32;
/// Served requests of a path after which their times are relied on.
constexpr unsigned minServed = 16;
/// Paths whose times are remembered.
constexpr std::size_t maxPaths = 4096;

}  // namespace

void ServiceTimes::record(config::Path const& path, Milliseconds took) {
  ServiceTime& time = times_[{path.instance, path.path}];
  ++time.served;
  time.longest = std::max(took, time.longest - time.longest / fadeDivisor);
  if (times_.size() > maxPaths) times_.clear();
}

Milliseconds ServiceTimes::expected(config::Path const& path) const {
  auto const time = times_.find({path.instance, path.path});
  if (time == times_.end() || time->second.served < minServed) return path.deadline;
  return std::min(path.deadline, time->second.longest * 5 / 4);
}

}  // namespace corkward::dataplane
