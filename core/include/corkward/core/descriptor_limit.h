#pragma once

#include <cstdint>

namespace corkward::core {

/// The limits of the process's open file descriptors, as the operating system enforces them (getrlimit(2)).
struct DescriptorLimits {
  /// The limit in force: the soft limit.
  std::uint64_t inForce = 0;
  /// The most to which this process may raise the limit in force: the hard limit.
  std::uint64_t highest = 0;
};

/// Asks the operating system for the limits.
DescriptorLimits descriptorLimits();

/// Returns the number of descriptors that listeners leave to the rest of the process: to its disk, its settings, its
/// connections to replicas and peers, and to operators.
/// @param limit the limit in force
std::uint64_t descriptorReserve(std::uint64_t limit);

/// Returns whether the number of a newly opened descriptor is one of the reserve. The operating system gives out the
/// lowest free number, so that all numbers below it are in use.
bool isInDescriptorReserve(std::int64_t descriptor);

/// Sets the limit in force to what the process may use: what is stated, or else the highest that the system allows. It
/// is never set below what a process needs at rest, or above the hard limit. Returns the limits that are in force
/// afterwards.
/// @param stated number of descriptors that the settings state; 0 if they state none
DescriptorLimits applyDescriptorLimit(std::uint64_t stated);

/// Returns how many descriptors with numbers below the given one are open.
std::uint64_t openDescriptorsBelow(std::uint64_t number);

/// Raises the limit in force above the number of open descriptors, as far as the hard limit allows, if another process
/// lowered it below that number. poll(2) fails with EINVAL for more descriptors than the limit, so that an event loop
/// would spin and see no event. Returns the limits that are in force afterwards.
/// @param former limit that was in force before it was lowered: all open descriptors have lower numbers
DescriptorLimits raiseDescriptorLimitAboveUse(std::uint64_t former);

}  // namespace corkward::core
