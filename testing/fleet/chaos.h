#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet.h"
#include "traffic.h"

namespace corkward::testing {

/// One seeded run of a whole deployment as real processes under failures.
struct ChaosPlan {
  std::string deployment = "harmattan";
  std::uint64_t seed = 1;
  int events = 12;
  /// Failures begun at one moment, at the most. Above 1 controllers are also cut off and split, and several are
  /// stopped.
  int overlap = 1;
  double scale = 1.0;
  /// Also check what depends on the machine's speed: 3 s, 5 s, 2 s, 12 s, cold bounds.
  bool timed = true;
  /// End with a kill of every process.
  bool outage = true;
  /// Say on standard error what is caused.
  bool loud = false;
};

/// What callers, replicas, operators and the platform recorded, checked against the never-rules.
struct ChaosResult {
  std::vector<std::string> violations;
  std::vector<std::string> timeline;
  Report report;
  std::size_t harmed = 0;
  std::size_t repeats = 0;
  std::size_t changes = 0;
  core::Milliseconds back = -1;
};

ChaosResult chaos(ChaosPlan const& plan);

}  // namespace corkward::testing
