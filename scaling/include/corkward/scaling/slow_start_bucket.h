#pragma once

/// Limits the rate of requests to a replica that is still warming up.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Token bucket of a replica in slow start. It starts empty and holds at most one token, so that no burst exceeds the
/// rate.
class SlowStartBucket {
 public:
  explicit SlowStartBucket(Milliseconds now = 0) : updatedAt_(now) {}
  /// Takes the token and returns true if there is one.
  /// @param rate tokens per second since the last call of takeToken
  bool takeToken(Milliseconds now, double rate);
  /// Returns true if takeToken would succeed.
  bool hasToken(Milliseconds now, double rate) const;

 private:
  /// Fill level as of `updatedAt_`, from 0 to 1.
  double tokens_ = 0;
  Milliseconds updatedAt_;
};

}  // namespace corkward::scaling
