#pragma once

/// Circuit breaker per replica, driven by the outcomes that this router has seen there.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Circuit breaker of one replica at one router. While the failure rate is low the replica is trusted (circuit closed).
/// Once the rate is too high the replica is not trusted (circuit open): it is suspended, which means that it gets no
/// request for a while, and then has to serve probes successfully to be trusted again.
class CircuitBreaker {
 public:
  /// Records one outcome. Returns true if the replica is suspended from now on because of it.
  bool recordOutcome(Milliseconds now, bool failed, ScalerParameters const& f = defaultScalerParameters);
  bool trusted() const { return trusted_; }
  /// Returns true while the replica is not trusted and must not be probed yet.
  bool isSuspended(Milliseconds now) const { return !trusted_ && now < suspendedUntil_; }
  /// End of the latest suspension, or 0 if there was none.
  Milliseconds suspendedUntil() const { return suspendedUntil_; }
  /// Fraction of outcomes that were failures. Newer outcomes weigh more, and the rate decays while there are none.
  double failureRate(Milliseconds now, ScalerParameters const& f = defaultScalerParameters) const;

 private:
  double failureRate_ = 0;
  /// Number of failures, each with a weight that decays over time.
  double recentFailures_ = 0;
  /// Time of the last recorded outcome, as of which `failureRate_` and `recentFailures_` are stored.
  Milliseconds updatedAt_ = 0;
  bool trusted_ = true;
  Milliseconds suspendedUntil_ = 0;
  /// Length of the latest suspension; the next one is twice as long, within the bounds of ScalerParameters.
  Milliseconds suspensionDuration_ = 0;
  int consecutiveSuccesses_ = 0;
};

}  // namespace corkward::scaling
