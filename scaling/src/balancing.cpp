#include <corkward/scaling/balancing.h>

#include <algorithm>
#include <limits>

namespace corkward::scaling {

std::int64_t chooseReplica(Scaler const& scaler, std::vector<Candidate> const& usable, std::uint64_t prefix,
                           std::int64_t last) {
  int fewest = std::numeric_limits<int>::max();
  for (Candidate const& c : usable) fewest = std::min(fewest, scaler.inFlightAt(c.replica));
  std::int64_t best = -1;
  std::uint64_t bestOrder = 0;
  for (Candidate const& c : usable) {
    int const n = scaler.inFlightAt(c.replica);
    if (static_cast<std::int64_t>(c.replica) == last && !scaler.isSlow(c.replica) &&
        n <= fewest + scaler.parameters().prefixSlack)
      return last;
    std::uint64_t const order = core::RandomGenerator(prefix ^ c.hash).next();
    if (n != fewest || (best >= 0 && order >= bestOrder)) continue;
    best = static_cast<std::int64_t>(c.replica);
    bestOrder = order;
  }
  return best;
}

}  // namespace corkward::scaling
