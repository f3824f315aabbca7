#include <algorithm>

#include <corkward/dataplane/wall_clock.h>

namespace corkward::dataplane {

namespace {

/// The wall clock has jumped if it is more than this ahead of the expected time.
constexpr std::int64_t jumpThresholdMs = 1000;

}  // namespace

bool WallClock::set(Milliseconds now, std::int64_t wall) {
  std::int64_t const offset = wall - now;
  bool const jumped = !offset_ || offset > *offset_ + jumpThresholdMs;
  offset_ = std::max(offset_.value_or(offset), offset);
  return jumped;
}

config::WallTime WallClock::at(Milliseconds now) const {
  return offset_ ? config::WallTime(now + *offset_) : std::nullopt;
}

}  // namespace corkward::dataplane
