#pragma once

#include <cstdint>
#include <optional>

#include <corkward/config/regimes.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Tick;

/// Wall time (milliseconds since 1970) at each tick, which never goes back.
class WallClock {
 public:
  /// Tells the wall time at a tick. True when it is the first one, or more than a second ahead of what was expected.
  bool set(Tick now, std::int64_t wall);
  /// Nothing before it was told.
  config::WallTime at(Tick now) const;

 private:
  /// Most that wall time was ahead of the tick; never falls.
  std::optional<std::int64_t> offset_;
};

}  // namespace corkward::dataplane
