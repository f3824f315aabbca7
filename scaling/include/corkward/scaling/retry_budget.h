#pragma once

/// Bounds on own retries, so that a failure of many requests does not multiply the load.

#include <cstddef>
#include <deque>
#include <map>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Own retries: at most a fifth of own first attempts in any ten seconds, plus a share of a small allowance.
/// A first attempt earns its share only for a short while, so that retries cannot outlive a crowd that is gone.
class RetryBudget {
 public:
  static constexpr Milliseconds window = 10000;
  static constexpr Milliseconds earningWindow = 1000;
  static constexpr double retryFraction = 0.2;
  static constexpr double allowance = 10.0;
  void onFirstAttempt(Milliseconds now);
  /// True, and counted, when one more retry is within the budget.
  bool takeRetry(Milliseconds now, std::size_t nodes, double ofAll = allowance);
  /// The same, not counted.
  bool mayRetry(Milliseconds now, std::size_t nodes, double ofAll = allowance);
  /// True while nothing in it counts any more.
  bool isIdle(Milliseconds now);

 private:
  void expire(Milliseconds now);
  double earned_ = 0;
  std::deque<Milliseconds> firstAttempts_;
  /// Retries that were paid out of the allowance.
  std::deque<Milliseconds> retries_;
};

/// Own retries at each pool and over all: one more has to be within both, so that no pool's requests pay for repeats at
/// another.
class RetryBudgets {
 public:
  void onFirstAttempt(Milliseconds now, NameIndex pool);
  bool takeRetry(Milliseconds now, NameIndex pool, std::size_t nodes, double ofAll = RetryBudget::allowance);
  /// Pools that are remembered.
  std::size_t size() const { return pools_.size(); }

 private:
  RetryBudget& at(Milliseconds now, NameIndex pool);
  RetryBudget all_;
  std::map<NameIndex, RetryBudget> pools_;
};

}  // namespace corkward::scaling
