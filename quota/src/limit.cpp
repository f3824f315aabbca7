#include <corkward/quota/limit.h>

#include <algorithm>

namespace corkward::quota {

namespace {

double seconds(Tick milliseconds) {
  return static_cast<double>(milliseconds) / 1000.0;
}

/// Least capacity, as parts of the burst and of a second's flow, and as an amount.
constexpr double leastOfBurst = 0.5;
constexpr double leastOfSecond = 0.25;
constexpr double leastAmount = 1.0;

}  // namespace

double allowed(Limit const& limit, OverdraftAllowance const& slack) {
  return (limit.perSecond * seconds(slack.window) + limit.burst) * (1.0 + slack.overrun) + slack.fixed;
}

double capacity(Limit const& limit, OverdraftAllowance const& slack) {
  double const room = allowed(limit, slack) - limit.perSecond * seconds(slack.window + handOverWithin);
  return std::max({room, leastOfBurst * limit.burst, leastOfSecond * limit.perSecond, leastAmount});
}

double greatestSum(Limit const& limit, OverdraftAllowance const& slack) {
  return capacity(limit, slack) + limit.perSecond * seconds(slack.window + handOverWithin);
}

}  // namespace corkward::quota
