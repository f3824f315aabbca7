#include <corkward/quota/demand_estimator.h>

#include <cmath>

namespace corkward::quota {

double DemandEstimator::decayedSum(Milliseconds now) const {
  return sum_ * std::exp(-static_cast<double>(now - updatedAt_) / static_cast<double>(timeConstant_));
}

void DemandEstimator::add(Milliseconds now, double amount) {
  sum_ = decayedSum(now) + amount;
  updatedAt_ = now;
}

double DemandEstimator::perSecond(Milliseconds now) const {
  return 1000.0 * decayedSum(now) / static_cast<double>(timeConstant_);
}

}  // namespace corkward::quota
