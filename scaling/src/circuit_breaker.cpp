#include <corkward/scaling/circuit_breaker.h>

#include <algorithm>
#include <cmath>

namespace corkward::scaling {

double CircuitBreaker::failureRate(Milliseconds now, ScalerParameters const& f) const {
  return failureRate_ * std::exp2(-static_cast<double>(now - updatedAt_) / static_cast<double>(f.failureHalfLife));
}

bool CircuitBreaker::recordOutcome(Milliseconds now, bool failed, ScalerParameters const& f) {
  double const aged = std::exp2(-static_cast<double>(now - updatedAt_) / static_cast<double>(f.failureHalfLife));
  failureRate_ = failureRate_ * aged + f.failureMeanWeight * ((failed ? 1.0 : 0.0) - failureRate_ * aged);
  recentFailures_ = recentFailures_ * aged + (failed ? 1.0 : 0.0);
  updatedAt_ = now;
  if (isSuspended(now)) return false;
  consecutiveSuccesses_ = failed ? 0 : consecutiveSuccesses_ + 1;
  if (!failed) {
    if (consecutiveSuccesses_ % f.probesToTrust != 0) return false;
    trusted_ = true;
    if (consecutiveSuccesses_ > f.probesToTrust) suspensionDuration_ /= 2;
    return false;
  }
  if (trusted_ && (failureRate_ < f.maxFailureRate || recentFailures_ < f.minFailures)) return false;
  trusted_ = false;
  suspensionDuration_ = std::clamp(2 * suspensionDuration_, f.initialSuspension, f.maxSuspension);
  suspendedUntil_ = now + suspensionDuration_;
  return true;
}

}  // namespace corkward::scaling
