#include <corkward/scaling/retry_budget.h>

#include <algorithm>
#include <iterator>

namespace corkward::scaling {

namespace {

/// Number of pools above which idle budgets are removed.
constexpr std::size_t maxPools = 32;

}  // namespace

void RetryBudget::expire(Milliseconds now) {
  while (!firstAttempts_.empty() && firstAttempts_.front() <= now - earningWindow) firstAttempts_.pop_front();
  while (!retries_.empty() && retries_.front() <= now - window) retries_.pop_front();
  earned_ = std::min(earned_, retryFraction * static_cast<double>(firstAttempts_.size()));
}

void RetryBudget::onFirstAttempt(Milliseconds now) {
  firstAttempts_.push_back(now);
  earned_ += retryFraction;
  expire(now);
}

bool RetryBudget::mayRetry(Milliseconds now, std::size_t routers, double fleetAllowance) {
  expire(now);
  return earned_ >= 1.0 || static_cast<double>(retries_.size()) + 1.0 <=
                               fleetAllowance / static_cast<double>(std::max<std::size_t>(routers, 1));
}

bool RetryBudget::takeRetry(Milliseconds now, std::size_t routers, double fleetAllowance) {
  if (!mayRetry(now, routers, fleetAllowance)) return false;
  if (earned_ >= 1.0)
    earned_ -= 1.0;
  else
    retries_.push_back(now);
  return true;
}

bool RetryBudget::isIdle(Milliseconds now) {
  expire(now);
  return firstAttempts_.empty() && retries_.empty();
}

RetryBudget& RetryBudgets::budgetOf(Milliseconds now, NameIndex pool) {
  if (byPool_.size() > maxPools && byPool_.count(pool) == 0)
    for (auto it = byPool_.begin(); it != byPool_.end();)
      it = it->second.isIdle(now) ? byPool_.erase(it) : std::next(it);
  return byPool_[pool];
}

void RetryBudgets::onFirstAttempt(Milliseconds now, NameIndex pool) {
  allPools_.onFirstAttempt(now);
  budgetOf(now, pool).onFirstAttempt(now);
}

bool RetryBudgets::takeRetry(Milliseconds now, NameIndex pool, std::size_t routers, double fleetAllowance) {
  return budgetOf(now, pool).mayRetry(now, routers, fleetAllowance) &&
         allPools_.takeRetry(now, routers, fleetAllowance) && byPool_.at(pool).takeRetry(now, routers, fleetAllowance);
}

}  // namespace corkward::scaling
