#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace corkward::http {

/// What a connection holds while memory is short, and how much it moves.
struct Holding {
  std::uint64_t heldBytes = 0;
  /// Bytes read and written lately: those of the last interval, half of those of the one before, and so on.
  std::uint64_t recentBytes = 0;
  /// Intervals for which the connection has been watched since memory became short.
  int intervals = 0;
};

/// Connections that hold less than this do not give way.
inline constexpr std::uint64_t minShedBytes = 24U << 10;

/// Returns the indices of the connections that give way to others that wait for memory: those that move too little of
/// what they hold, the costliest first, until the needed bytes are released. One that makes progress is spared.
std::vector<std::size_t> stalledHoldings(std::vector<Holding> const& holdings, std::uint64_t neededBytes);

/// Returns the indices of the connections that give way because the account is exceeded: those that hold much and move
/// little, the costliest first, until the excess is released.
std::vector<std::size_t> costliestHoldings(std::vector<Holding> const& holdings, std::uint64_t excessBytes);

}  // namespace corkward::http
