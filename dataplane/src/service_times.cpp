#include <algorithm>

#include <corkward/dataplane/service_times.h>

namespace corkward::dataplane {

namespace {

/// With each served request the longest duration loses 1/32 of its value.
constexpr Milliseconds decayDivisor = 32;
/// Number of served requests of a path from which on the measured durations are used.
constexpr unsigned minServed = 16;
/// Maximum number of paths whose durations are stored.
constexpr std::size_t maxPaths = 4096;

}  // namespace

void ServiceTimes::record(config::Path const& path, Milliseconds duration) {
  ServiceTime& time = times_[{path.instance, path.path}];
  ++time.served;
  time.longest = std::max(duration, time.longest - time.longest / decayDivisor);
  if (times_.size() > maxPaths) times_.clear();
}

Milliseconds ServiceTimes::expected(config::Path const& path) const {
  auto const time = times_.find({path.instance, path.path});
  if (time == times_.end() || time->second.served < minServed) return path.deadline;
  return std::min(path.deadline, time->second.longest * 5 / 4);
}

}  // namespace corkward::dataplane
