#pragma once

/// The largest recent amount.

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Milliseconds;

/// A maximum that decays over time until a larger amount is recorded.
class DecayingMaximum {
 public:
  /// @param halfLife milliseconds after which the maximum has decayed to half
  explicit DecayingMaximum(Milliseconds halfLife) : halfLife_(halfLife) {}
  void record(Milliseconds now, double amount);
  double value(Milliseconds now) const;

 private:
  Milliseconds halfLife_;
  /// The maximum as of `recordedAt_`.
  double maximum_ = 0;
  Milliseconds recordedAt_ = 0;
};

}  // namespace corkward::quota
