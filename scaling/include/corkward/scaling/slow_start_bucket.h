#pragma once

/// The rate at which requests may go to a replica that is still cold.

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Token bucket of a cold replica: holds at most one token and starts empty, so no burst passes the rate.
class SlowStartBucket {
 public:
  explicit SlowStartBucket(Milliseconds now = 0) : at_(now) {}
  bool takeToken(Milliseconds now, double rate);
  bool hasToken(Milliseconds now, double rate) const;

 private:
  double tokens_ = 0;
  Milliseconds at_;
};

}  // namespace corkward::scaling
