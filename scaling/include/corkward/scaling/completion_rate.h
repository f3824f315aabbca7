#pragma once

/// How fast requests of a kind end.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// How many requests end in a second: a running mean over windows of a second, closed by looks.
class CompletionRate {
 public:
  static constexpr Milliseconds window = 1000;
  void onCompleted() { ++completed_; }
  void closeWindow(Milliseconds now);
  /// Makes up for the looks that were left out, as if there had been one at the end of each window before now.
  void catchUp(Milliseconds now);
  double perSecond() const { return perSecond_; }

 private:
  double perSecond_ = 0;
  Milliseconds windowStart_ = 0;
  int completed_ = 0;
};

}  // namespace corkward::scaling
