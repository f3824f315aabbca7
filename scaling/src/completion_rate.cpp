#include <corkward/scaling/completion_rate.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace corkward::scaling {

void CompletionRate::closeWindow(Tick now) {
  if (now - from_ < window) return;
  double const rate = 1000.0 * ended_ / static_cast<double>(now - from_);
  perSecond_ = perSecond_ == 0 ? rate : 0.5 * perSecond_ + 0.5 * rate;
  ended_ = 0;
  from_ = now;
}

void CompletionRate::catchUp(Tick now) {
  Tick const windows = (now - from_ - 1) / window;
  if (windows < 1) return;
  closeWindow(from_ + window);
  perSecond_ = std::ldexp(perSecond_, -static_cast<int>(std::min<Tick>(windows - 1, std::numeric_limits<int>::max())));
  from_ += (windows - 1) * window;
}

}  // namespace corkward::scaling
