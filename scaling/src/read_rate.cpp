#include <corkward/scaling/read_rate.h>

#include <algorithm>

namespace corkward::scaling {

namespace {

/// Samples that are kept, and how many are needed before they count.
constexpr std::size_t kept = 32;
constexpr std::size_t needed = 4;
/// Fewer tokens are read in a time that the way there and back hides.
constexpr double leastTokens = 2000;
/// Milliseconds of a first word that are not reading: the way, and the first token itself.
constexpr Tick notReading = 20;
/// Place of the sample that is taken for the rate, from the slowest up.
constexpr double quantile = 0.75;

}  // namespace

void ReadRate::sample(double tokens, Tick took) {
  if (tokens < leastTokens) return;
  double const rate = tokens / static_cast<double>(std::max<Tick>(took - notReading, 1));
  if (newest_.size() < kept)
    newest_.push_back(rate);
  else
    newest_[next_++ % kept] = rate;
  if (newest_.size() < needed) return;
  std::vector<double> sorted = newest_;
  std::size_t const place = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(place), sorted.end());
  perMs_ = sorted[place];
}

}  // namespace corkward::scaling
