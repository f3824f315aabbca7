#pragma once

/// The choice of a replica for one request.

#include <cstdint>
#include <vector>

#include <corkward/scaling/scaler.h>

namespace corkward::scaling {

/// Fewest own requests in flight; the prefix's replica wins within the slack. Returns -1 when none may be used.
std::int64_t chooseReplica(Scaler const& scaler, std::vector<Candidate> const& usable, std::uint64_t prefix,
                           std::int64_t last);

}  // namespace corkward::scaling
