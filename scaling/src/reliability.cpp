#include <corkward/scaling/reliability.h>

#include <algorithm>
#include <cmath>

namespace corkward::scaling {

double Reliability::failureRate(Milliseconds now, ScalerParameters const& f) const {
  return failureRate_ * std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.failureHalfLife));
}

bool Reliability::recordOutcome(Milliseconds now, bool failed, ScalerParameters const& f) {
  double const aged = std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.failureHalfLife));
  failureRate_ = failureRate_ * aged + f.failureMeanWeight * ((failed ? 1.0 : 0.0) - failureRate_ * aged);
  failures_ = failures_ * aged + (failed ? 1.0 : 0.0);
  at_ = now;
  if (isResting(now)) return false;
  successes_ = failed ? 0 : successes_ + 1;
  if (!failed) {
    if (successes_ % f.probesToTrust != 0) return false;
    trusted_ = true;
    if (successes_ > f.probesToTrust) restDuration_ /= 2;
    return false;
  }
  if (trusted_ && (failureRate_ < f.maxFailureRate || failures_ < f.minFailures)) return false;
  trusted_ = false;
  restDuration_ = std::clamp(2 * restDuration_, f.initialRest, f.maxRest);
  restUntil_ = now + restDuration_;
  return true;
}

}  // namespace corkward::scaling
