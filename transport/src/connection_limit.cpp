#include "connection_limit.h"

#include <algorithm>

#include <corkward/core/descriptor_limit.h>

namespace corkward::transport {

namespace {

/// Part of the descriptors that the connections of each direction may take: clients and replicas have two thirds.
constexpr std::size_t descriptorParts = 8;
/// Connections of a process with few descriptors.
constexpr std::size_t minConnections = 16;

}  // namespace

std::size_t connectionsWithinDescriptors() {
  return std::clamp<std::size_t>(core::descriptorLimits().inForce / descriptorParts, minConnections, mostConnections);
}

}  // namespace corkward::transport
