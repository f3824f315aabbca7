#pragma once

/// The largest of recent amounts.

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Tick;

/// A maximum that halves with time until a larger amount is recorded.
class DecayingMaximum {
 public:
  /// @param halfLife milliseconds
  explicit DecayingMaximum(Tick halfLife) : halfLife_(halfLife) {}
  void record(Tick now, double amount);
  double value(Tick now) const;

 private:
  Tick halfLife_;
  /// The maximum as of `recordedAt_`.
  double maximum_ = 0;
  Tick recordedAt_ = 0;
};

}  // namespace corkward::quota
