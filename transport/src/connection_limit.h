#pragma once

#include <cstddef>

namespace corkward::transport {

/// Most connections with peers in each direction.
inline constexpr std::size_t mostConnections = 4096;

/// Returns the number of connections with peers in each direction that leaves descriptors for the rest of the process,
/// by the limit that is in force now.
std::size_t connectionsWithinDescriptors();

}  // namespace corkward::transport
