#pragma once

/// Trust in one replica by this node's own outcomes there.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// One node's own outcomes at one replica: its error rate, and whether it is trusted.
class Reliability {
 public:
  /// Takes one outcome in. True when the replica has to rest from now on.
  bool recordOutcome(Milliseconds now, bool failed, ScalerParameters const& f = defaultScalerParameters);
  bool trusted() const { return trusted_; }
  /// Not trusted, and not to be probed yet.
  bool isResting(Milliseconds now) const { return !trusted_ && now < restUntil_; }
  Milliseconds restUntil() const { return restUntil_; }
  /// Share of failures of late, newer outcomes weighing more.
  double failureRate(Milliseconds now, ScalerParameters const& f = defaultScalerParameters) const;

 private:
  double failureRate_ = 0;
  double failures_ = 0;
  Milliseconds at_ = 0;
  bool trusted_ = true;
  Milliseconds restUntil_ = 0;
  Milliseconds restDuration_ = 0;
  int successes_ = 0;
};

}  // namespace corkward::scaling
