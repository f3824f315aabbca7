#pragma once

/// Trust in one replica by this node's own outcomes there.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// One node's own outcomes at one replica: its error rate, and whether it is trusted.
class Reliability {
 public:
  /// Takes one outcome in. True when the replica has to rest from now on.
  bool recordOutcome(Tick now, bool failed, ScalerParameters const& f = defaultScalerParameters);
  bool trusted() const { return trusted_; }
  /// Not trusted, and not to be probed yet.
  bool isResting(Tick now) const { return !trusted_ && now < restUntil_; }
  Tick restUntil() const { return restUntil_; }
  /// Share of failures of late, newer outcomes weighing more.
  double failureRate(Tick now, ScalerParameters const& f = defaultScalerParameters) const;

 private:
  double failureRate_ = 0;
  double failures_ = 0;
  Tick at_ = 0;
  bool trusted_ = true;
  Tick restUntil_ = 0;
  Tick restDuration_ = 0;
  int successes_ = 0;
};

}  // namespace corkward::scaling
