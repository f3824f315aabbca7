#pragma once

/// The choice of a replica for one request.

#include <cstdint>
#include <vector>

#include <corkward/scaling/scaler.h>

namespace corkward::scaling {

/// Chooses the usable replica with the fewest of this router's requests in flight. The replica that served the prefix
/// last is preferred while it is not slow and has at most ScalerParameters::prefixSlack more in flight than the fewest.
/// @param last index of the replica that served the prefix last, or -1 if none is known
/// @return index of the replica, or -1 if none is usable
std::int64_t chooseReplica(Scaler const& scaler, std::vector<Candidate> const& usable, std::uint64_t prefix,
                           std::int64_t last);

}  // namespace corkward::scaling
