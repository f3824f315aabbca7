#include <corkward/scaling/completion_rate.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace corkward::scaling {

void CompletionRate::closeWindow(Milliseconds now) {
  if (now - windowStart_ < window) return;
  double const rate = 1000.0 * completed_ / static_cast<double>(now - windowStart_);
  perSecond_ = perSecond_ == 0 ? rate : 0.5 * perSecond_ + 0.5 * rate;
  completed_ = 0;
  windowStart_ = now;
}

void CompletionRate::catchUp(Milliseconds now) {
  Milliseconds const windows = (now - windowStart_ - 1) / window;
  if (windows < 1) return;
  closeWindow(windowStart_ + window);
  perSecond_ =
      std::ldexp(perSecond_, -static_cast<int>(std::min<Milliseconds>(windows - 1, std::numeric_limits<int>::max())));
  windowStart_ += (windows - 1) * window;
}

}  // namespace corkward::scaling
