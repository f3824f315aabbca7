#pragma once

/// How fast a pool's replicas read prompts, learned from the first words of own requests.

#include <cstddef>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::scaling {

using core::Tick;

/// Tokens that replicas of a pool read in a millisecond. Waiting behind other work only makes first words later, so the
/// rate is taken from the quicker ones among the newest samples.
class ReadRate {
 public:
  /// The rate that is taken until enough was seen, in tokens a millisecond.
  explicit ReadRate(double first) : first_(first) {}

  /// A prompt of which so many tokens had to be read got its first word after so long. Short ones tell little and are
  /// passed over.
  void sample(double tokens, Tick took);
  double perMs() const { return perMs_ > 0 ? perMs_ : first_; }

 private:
  double first_;
  double perMs_ = 0;
  std::vector<double> newest_;
  std::size_t next_ = 0;
};

}  // namespace corkward::scaling
