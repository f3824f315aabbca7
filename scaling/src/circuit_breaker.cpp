#include <corkward/scaling/circuit_breaker.h>

#include <algorithm>
#include <cmath>

namespace corkward::scaling {

double CircuitBreaker::failureRate(Milliseconds now, ScalerParameters const& parameters) const {
  return failureRate_ *
         std::exp2(-static_cast<double>(now - updatedAt_) / static_cast<double>(parameters.failureHalfLife));
}

bool CircuitBreaker::recordOutcome(Milliseconds now, bool failed, ScalerParameters const& parameters) {
  double const aged =
      std::exp2(-static_cast<double>(now - updatedAt_) / static_cast<double>(parameters.failureHalfLife));
  failureRate_ = failureRate_ * aged + parameters.failureMeanWeight * ((failed ? 1.0 : 0.0) - failureRate_ * aged);
  recentFailures_ = recentFailures_ * aged + (failed ? 1.0 : 0.0);
  updatedAt_ = now;
  if (isSuspended(now)) return false;
  consecutiveSuccesses_ = failed ? 0 : consecutiveSuccesses_ + 1;
  if (!failed) {
    if (consecutiveSuccesses_ % parameters.probesToTrust != 0) return false;
    trusted_ = true;
    if (consecutiveSuccesses_ > parameters.probesToTrust) suspensionDuration_ /= 2;
    return false;
  }
  if (trusted_ && (failureRate_ < parameters.maxFailureRate || recentFailures_ < parameters.minFailures)) return false;
  trusted_ = false;
  suspensionDuration_ = std::clamp(2 * suspensionDuration_, parameters.initialSuspension, parameters.maxSuspension);
  suspendedUntil_ = now + suspensionDuration_;
  return true;
}

}  // namespace corkward::scaling
