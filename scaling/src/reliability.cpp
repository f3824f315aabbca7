#include <corkward/scaling/reliability.h>

#include <algorithm>
#include <cmath>

namespace corkward::scaling {

double Reliability::rate(Tick now, ScalerParameters const& f) const {
  return rate_ * std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.errorHalf));
}

bool Reliability::outcome(Tick now, bool failed, ScalerParameters const& f) {
  double const aged = std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.errorHalf));
  rate_ = rate_ * aged + f.errorMean * ((failed ? 1.0 : 0.0) - rate_ * aged);
  failures_ = failures_ * aged + (failed ? 1.0 : 0.0);
  at_ = now;
  if (resting(now)) return false;
  successes_ = failed ? 0 : successes_ + 1;
  if (!failed) {
    if (successes_ % f.probes != 0) return false;
    trusted_ = true;
    if (successes_ > f.probes) rest_ /= 2;
    return false;
  }
  if (trusted_ && (rate_ < f.errorMost || failures_ < f.errorLeast)) return false;
  trusted_ = false;
  rest_ = std::clamp(2 * rest_, f.restFirst, f.restMost);
  restUntil_ = now + rest_;
  return true;
}

}  // namespace corkward::scaling
