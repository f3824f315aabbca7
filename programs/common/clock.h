#pragma once

#include <cstdint>
#include <string>

#include <corkward/core/types.h>

namespace corkward::programs {

/// Returns the boot clock's time in milliseconds. The clock is monotonic and also counts while the machine is
/// suspended.
core::Milliseconds now();

/// Returns the milliseconds since 1970-01-01 UTC by the machine's wall clock.
std::int64_t wallClock();

/// Returns a seed for random generators from the system's source of randomness.
std::uint64_t randomSeed();

/// Returns a random identifier of 32 hexadecimal digits (a UUID, RFC 9562, version 4).
std::string randomId();

}  // namespace corkward::programs
