#pragma once

/// Rate of demand as an exponentially decaying average.

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Milliseconds;

/// Sums up amounts whose weights decay exponentially over time, and returns the sum as a rate.
class DemandEstimator {
 public:
  /// @param timeConstant milliseconds after which an amount's weight has decayed to 1/e
  explicit DemandEstimator(Milliseconds timeConstant) : timeConstant_(timeConstant) {}
  void add(Milliseconds now, double amount);
  /// Estimated demand, as an amount per second.
  double perSecond(Milliseconds now) const;

 private:
  /// The sum with its decay until `now`.
  double decayedSum(Milliseconds now) const;

  Milliseconds timeConstant_;
  /// When `sum_` was last brought up to date.
  Milliseconds updatedAt_ = 0;
  /// Decayed sum as of `updatedAt_`.
  double sum_ = 0;
};

}  // namespace corkward::quota
