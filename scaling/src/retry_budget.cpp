#include <corkward/scaling/retry_budget.h>

#include <algorithm>
#include <iterator>

namespace corkward::scaling {

namespace {

/// Pools beyond which those that ask for nothing are forgotten.
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

bool RetryBudget::mayRetry(Milliseconds now, std::size_t nodes, double ofAll) {
  expire(now);
  return earned_ >= 1.0 ||
         static_cast<double>(retries_.size()) + 1.0 <= ofAll / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

bool RetryBudget::takeRetry(Milliseconds now, std::size_t nodes, double ofAll) {
  if (!mayRetry(now, nodes, ofAll)) return false;
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

RetryBudget& RetryBudgets::at(Milliseconds now, NameIndex pool) {
  if (pools_.size() > maxPools && pools_.count(pool) == 0)
    for (auto it = pools_.begin(); it != pools_.end();) it = it->second.isIdle(now) ? pools_.erase(it) : std::next(it);
  return pools_[pool];
}

void RetryBudgets::onFirstAttempt(Milliseconds now, NameIndex pool) {
  all_.onFirstAttempt(now);
  at(now, pool).onFirstAttempt(now);
}

bool RetryBudgets::takeRetry(Milliseconds now, NameIndex pool, std::size_t nodes, double ofAll) {
  return at(now, pool).mayRetry(now, nodes, ofAll) && all_.takeRetry(now, nodes, ofAll) &&
         pools_.at(pool).takeRetry(now, nodes, ofAll);
}

}  // namespace corkward::scaling
