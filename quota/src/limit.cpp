#include <corkward/quota/limit.h>

#include <algorithm>

namespace corkward::quota {

namespace {

double seconds(Milliseconds milliseconds) {
  return static_cast<double>(milliseconds) / 1000.0;
}

/// Lower bounds of the total capacity: as a fraction of the burst, in seconds of refill, and as an amount.
constexpr double minBurstFraction = 0.5;
constexpr double minRefillSeconds = 0.25;
constexpr double minAmount = 1.0;

}  // namespace

double allowedAmount(Limit const& limit, OverdraftAllowance const& allowance) {
  return (limit.perSecond * seconds(allowance.window) + limit.burst) * (1.0 + allowance.overrunFraction) +
         allowance.fixedAmount;
}

double totalCapacity(Limit const& limit, OverdraftAllowance const& allowance) {
  double const withinAllowance =
      allowedAmount(limit, allowance) - limit.perSecond * seconds(allowance.window + maxDispatchDelay);
  return std::max({withinAllowance, minBurstFraction * limit.burst, minRefillSeconds * limit.perSecond, minAmount});
}

double maxDispatchedAmount(Limit const& limit, OverdraftAllowance const& allowance) {
  return totalCapacity(limit, allowance) + limit.perSecond * seconds(allowance.window + maxDispatchDelay);
}

}  // namespace corkward::quota
