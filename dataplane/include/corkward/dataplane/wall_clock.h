#pragma once

#include <cstdint>
#include <optional>

#include <corkward/config/regimes.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// Converts times on the boot clock to wall time (milliseconds since 1970). The resulting wall time never goes back.
class WallClock {
 public:
  /// Sets the wall time at `now` on the boot clock. Returns true if it is the first one, or if it is more than a second
  /// ahead of the wall time expected by earlier calls.
  bool set(Milliseconds now, std::int64_t wall);
  /// Returns std::nullopt before the first call of set().
  config::WallTime at(Milliseconds now) const;

 private:
  /// Largest difference seen between wall time and boot clock. Never decreases.
  std::optional<std::int64_t> offset_;
};

}  // namespace corkward::dataplane
