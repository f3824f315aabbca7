#include "shedding.h"

#include <algorithm>

namespace corkward::http {

namespace {

/// Intervals for which a connection is watched before it counts as stalled.
constexpr int minIntervals = 5;
/// A connection is stalled if what it moved lately is less than this part of what it holds.
constexpr std::uint64_t stalledPart = 32;

/// Held bytes for each byte that was moved.
double costOf(Holding const& holding) {
  return static_cast<double>(holding.heldBytes) / static_cast<double>(holding.recentBytes + 1);
}

std::vector<std::size_t> selectCostliest(std::vector<Holding> const& holdings, std::vector<std::size_t> candidates,
                                         std::uint64_t wantedBytes) {
  std::sort(candidates.begin(), candidates.end(),
            [&](std::size_t a, std::size_t b) { return costOf(holdings[a]) > costOf(holdings[b]); });
  std::uint64_t released = 0;
  std::size_t count = 0;
  while (count < candidates.size() && released < wantedBytes) released += holdings[candidates[count++]].heldBytes;
  candidates.resize(count);
  return candidates;
}

}  // namespace

std::vector<std::size_t> stalledHoldings(std::vector<Holding> const& holdings, std::uint64_t neededBytes) {
  std::vector<std::size_t> stalled;
  for (std::size_t i = 0; i < holdings.size(); ++i) {
    Holding const& holding = holdings[i];
    bool const isStalled = holding.recentBytes < holding.heldBytes / stalledPart;
    if (holding.heldBytes >= minShedBytes && holding.intervals >= minIntervals && isStalled) stalled.push_back(i);
  }
  return selectCostliest(holdings, std::move(stalled), neededBytes);
}

std::vector<std::size_t> costliestHoldings(std::vector<Holding> const& holdings, std::uint64_t excessBytes) {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < holdings.size(); ++i)
    if (holdings[i].heldBytes >= minShedBytes) candidates.push_back(i);
  return selectCostliest(holdings, std::move(candidates), excessBytes);
}

}  // namespace corkward::http
