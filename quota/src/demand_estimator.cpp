#include <corkward/quota/demand_estimator.h>

#include <cmath>

namespace corkward::quota {

double DemandEstimator::left(Tick now) const {
  return sum_ * std::exp(-static_cast<double>(now - at_) / static_cast<double>(memory_));
}

void DemandEstimator::add(Tick now, double amount) {
  sum_ = left(now) + amount;
  at_ = now;
}

double DemandEstimator::perSecond(Tick now) const {
  return 1000.0 * left(now) / static_cast<double>(memory_);
}

}  // namespace corkward::quota
