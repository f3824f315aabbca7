#pragma once

#include <cstdint>
#include <optional>

#include <corkward/config/regimes.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// Wall time (milliseconds since 1970) at each time on the boot clock, which never goes back.
class WallClock {
 public:
  /// Tells the wall time at a time on the boot clock. True when it is the first one, or more than a second ahead of
  /// what was expected.
  bool set(Milliseconds now, std::int64_t wall);
  /// Nothing before it was told.
  config::WallTime at(Milliseconds now) const;

 private:
  /// Most that wall time was ahead of the boot clock; never falls.
  std::optional<std::int64_t> offset_;
};

}  // namespace corkward::dataplane
