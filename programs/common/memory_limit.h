#pragma once

#include <cstdint>

namespace corkward::programs {

/// Value of a limit that is not set.
inline constexpr std::uint64_t unlimitedMemory = UINT64_MAX;

/// The limits that the operating system enforces on the memory of a process, in bytes.
struct MemoryLimits {
  /// Address space and data segment (getrlimit(2)).
  std::uint64_t addressSpace = unlimitedMemory;
  std::uint64_t data = unlimitedMemory;
  /// Resident memory of the control group that the process is in, with all its processes (cgroups(7), version 2).
  std::uint64_t group = unlimitedMemory;
};

/// What a process has mapped, and how much of that is resident, in bytes (proc(5), statm).
struct MemoryUse {
  std::uint64_t mapped = 0;
  std::uint64_t data = 0;
  std::uint64_t resident = 0;
};

/// Asks the operating system for the limits of this process, and for what it has mapped.
MemoryLimits memoryLimits();
MemoryUse memoryUse();

/// Returns the resident memory that a process may take: what is stated, or less if a limit is reached before. Libraries
/// and reservations that are mapped without being resident count towards the limits of address space and data.
/// @param stated bytes
std::uint64_t memoryWithin(std::uint64_t stated, MemoryLimits const& limits, MemoryUse const& use);

}  // namespace corkward::programs
