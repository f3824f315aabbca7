#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet.h"
#include "traffic.h"

namespace corkward::testing {

/// One seeded run of a complete deployment as real processes with injected faults.
struct ChaosPlan {
  std::string deployment = "harmattan";
  std::uint64_t seed = 1;
  int events = 12;
  /// Maximum number of faults that start at the same time. Above 1, controllers are also isolated and partitioned, and
  /// a router and a controller are stopped together.
  int overlap = 1;
  double scale = 1.0;
  /// Also check the rules that depend on the machine's speed: 3 s for leaving replicas, 5 s for evacuations, 2 s for
  /// changes, 12 s for the recovery, and the rate limit of replicas that are warming up.
  bool checkTimeLimits = true;
  /// Kill every process at the end and check that the fleet recovers.
  bool killAllAtEnd = true;
  /// Print the faults to standard error.
  bool printFaults = false;
};

/// Result of a run: the records of callers, replicas, operators and the platform, checked against the rules that must
/// never be broken.
struct ChaosResult {
  std::vector<std::string> violations;
  std::vector<std::string> timeline;
  Report report;
  std::size_t faultyConnections = 0;
  std::size_t repeats = 0;
  std::size_t changes = 0;
  /// Time from the final kill until the fleet serves again. -1 if there was none.
  core::Milliseconds recoveryMs = -1;
};

ChaosResult chaos(ChaosPlan const& plan);

}  // namespace corkward::testing
