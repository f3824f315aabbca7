#pragma once

#include <cstdint>
#include <string>

#include <corkward/core/types.h>

namespace corkward::programs {

/// Milliseconds of the boot clock: monotonic, and it goes on while the machine is suspended.
core::Milliseconds now();

/// Milliseconds since 1970-01-01 UTC, by the machine's wall clock.
std::int64_t wallClock();

/// A seed for random generators, from the system's source of randomness.
std::uint64_t randomSeed();

/// A random identifier of 32 hexadecimal digits (a UUID, RFC 9562, version 4).
std::string randomId();

}  // namespace corkward::programs
