#pragma once

/// What is asked for in a second, as a mean that fades.

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Tick;

/// A sum of amounts that fades exponentially, read as a rate.
class DemandEstimator {
 public:
  /// Milliseconds after which an amount weighs 1/e.
  explicit DemandEstimator(Tick memory) : memory_(memory) {}
  void add(Tick now, double amount);
  double perSecond(Tick now) const;

 private:
  double left(Tick now) const;

  Tick memory_;
  Tick at_ = 0;
  double sum_ = 0;
};

}  // namespace corkward::quota
