#include <corkward/scaling/retry_budget.h>

#include <algorithm>
#include <iterator>

namespace corkward::scaling {

namespace {

/// Pools beyond which those that ask for nothing are forgotten.
constexpr std::size_t poolsKept = 32;

}  // namespace

void RetryBudget::expire(Tick now) {
  while (!firsts_.empty() && firsts_.front() <= now - earnsFor) firsts_.pop_front();
  while (!allowed_.empty() && allowed_.front() <= now - window) allowed_.pop_front();
  earned_ = std::min(earned_, share * static_cast<double>(firsts_.size()));
}

void RetryBudget::first(Tick now) {
  firsts_.push_back(now);
  earned_ += share;
  expire(now);
}

bool RetryBudget::mayRetry(Tick now, std::size_t nodes, double ofAll) {
  expire(now);
  return earned_ >= 1.0 ||
         static_cast<double>(allowed_.size()) + 1.0 <= ofAll / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

bool RetryBudget::retry(Tick now, std::size_t nodes, double ofAll) {
  if (!mayRetry(now, nodes, ofAll)) return false;
  if (earned_ >= 1.0)
    earned_ -= 1.0;
  else
    allowed_.push_back(now);
  return true;
}

bool RetryBudget::idle(Tick now) {
  expire(now);
  return firsts_.empty() && allowed_.empty();
}

RetryBudget& RetryBudgets::at(Tick now, NameIndex pool) {
  if (pools_.size() > poolsKept && pools_.count(pool) == 0)
    for (std::map<NameIndex, RetryBudget>::iterator it = pools_.begin(); it != pools_.end();)
      it = it->second.idle(now) ? pools_.erase(it) : std::next(it);
  return pools_[pool];
}

void RetryBudgets::first(Tick now, NameIndex pool) {
  all_.first(now);
  at(now, pool).first(now);
}

bool RetryBudgets::retry(Tick now, NameIndex pool, std::size_t nodes, double ofAll) {
  return at(now, pool).mayRetry(now, nodes, ofAll) && all_.retry(now, nodes, ofAll) &&
         pools_.at(pool).retry(now, nodes, ofAll);
}

}  // namespace corkward::scaling
