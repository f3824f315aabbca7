#pragma once

/// Bounds the retries that this router starts, so that the failure of many requests does not multiply the load.

#include <cstddef>
#include <deque>
#include <map>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Retry budget of one router: in any ten seconds, retries are at most a fifth of the first attempts plus this router's
/// equal fraction of a small allowance of the fleet. The credit that a first attempt earns expires after earningWindow,
/// so that retries do not go on after a burst of requests has ended.
class RetryBudget {
 public:
  /// Retries paid from the allowance are bounded over any interval of this length.
  static constexpr Milliseconds window = 10000;
  /// Time after a first attempt until its credit expires.
  static constexpr Milliseconds earningWindow = 1000;
  /// Retries that each first attempt earns.
  static constexpr double retryFraction = 0.2;
  /// Retries per window that all routers together may start beyond the earned ones.
  static constexpr double allowance = 10.0;
  void onFirstAttempt(Milliseconds now);
  /// Counts one more retry and returns true if it is within the budget; otherwise returns false and counts nothing.
  /// @param routers number of routers among which the fleet's allowance is split
  /// @param fleetAllowance retries per window that all routers together may start beyond the earned ones
  bool takeRetry(Milliseconds now, std::size_t routers, double fleetAllowance = allowance);
  /// Returns true if one more retry is within the budget, and counts nothing.
  bool mayRetry(Milliseconds now, std::size_t routers, double fleetAllowance = allowance);
  /// Returns true if all first attempts and retries have expired, so that the budget equals a new one.
  bool isIdle(Milliseconds now);

 private:
  void expire(Milliseconds now);
  /// Retries that first attempts have earned and that have not been taken or expired.
  double earned_ = 0;
  std::deque<Milliseconds> firstAttempts_;
  /// Times of the retries that were paid from the allowance.
  std::deque<Milliseconds> retries_;
};

/// Retry budgets of one router, one per pool and one over all pools. A retry has to be within both, so that requests to
/// one pool do not earn retries for another.
class RetryBudgets {
 public:
  void onFirstAttempt(Milliseconds now, NameIndex pool);
  /// The same as RetryBudget::takeRetry, for both budgets of a request to this pool.
  bool takeRetry(Milliseconds now, NameIndex pool, std::size_t routers, double fleetAllowance = RetryBudget::allowance);
  /// Number of pools that have a budget.
  std::size_t size() const { return byPool_.size(); }

 private:
  /// Returns the budget of a pool and creates it on first use. Removes idle budgets when there are many.
  RetryBudget& budgetOf(Milliseconds now, NameIndex pool);
  RetryBudget allPools_;
  std::map<NameIndex, RetryBudget> byPool_;
};

}  // namespace corkward::scaling
