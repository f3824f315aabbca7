#pragma once

/// The rate at which requests complete.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Completed requests per second: a running mean over windows of one second. A window ends with the first call of
/// closeWindow or catchUp after its second.
class CompletionRate {
 public:
  static constexpr Milliseconds window = 1000;
  void onCompleted() { ++completed_; }
  /// Ends the current window if it has lasted a second, and adds its rate to the mean.
  void closeWindow(Milliseconds now);
  /// Adds all windows that ended before `now`, with the same result as if closeWindow had been called at the end of
  /// each.
  void catchUp(Milliseconds now);
  double perSecond() const { return perSecond_; }

 private:
  double perSecond_ = 0;
  Milliseconds windowStart_ = 0;
  int completed_ = 0;
};

}  // namespace corkward::scaling
