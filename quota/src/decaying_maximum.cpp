#include <corkward/quota/decaying_maximum.h>

#include <algorithm>
#include <cmath>

namespace corkward::quota {

void DecayingMaximum::record(Milliseconds now, double amount) {
  maximum_ = std::max(value(now), amount);
  recordedAt_ = now;
}

double DecayingMaximum::value(Milliseconds now) const {
  return maximum_ * std::exp2(-static_cast<double>(now - recordedAt_) / static_cast<double>(halfLife_));
}

}  // namespace corkward::quota
