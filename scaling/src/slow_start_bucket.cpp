#include <corkward/scaling/slow_start_bucket.h>

#include <algorithm>

namespace corkward::scaling {

bool SlowStartBucket::hasToken(Milliseconds now, double rate) const {
  return std::min(1.0, tokens_ + rate * static_cast<double>(now - updatedAt_) / 1000.0) >= 1.0;
}

bool SlowStartBucket::takeToken(Milliseconds now, double rate) {
  tokens_ = std::min(1.0, tokens_ + rate * static_cast<double>(now - updatedAt_) / 1000.0);
  updatedAt_ = now;
  if (tokens_ < 1.0) return false;
  tokens_ = 0;
  return true;
}

}  // namespace corkward::scaling
