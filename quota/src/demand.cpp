#include <corkward/quota/demand.h>

#include <cmath>

namespace corkward::quota {

double Demand::left(Tick now) const {
  return sum_ * std::exp(-static_cast<double>(now - at_) / static_cast<double>(memory_));
}

void Demand::add(Tick now, double amount) {
  sum_ = left(now) + amount;
  at_ = now;
}

double Demand::perSecond(Tick now) const {
  return 1000.0 * left(now) / static_cast<double>(memory_);
}

}  // namespace corkward::quota
