#pragma once

#include <functional>
#include <string>
#include <vector>

#include "record.h"

/// Rules that hold for every scenario, checked only from outside of the router.
namespace corkward::fuzz {

struct Violation {
  /// Name of the oracle: own-answer, as-sent, once, promise, tries, gone, time-left, held, framing or status.
  std::string oracle;
  std::string what;
};

/// Limits of the scenario's routes.
struct RouteLimits {
  int maxAttempts = 2;
  core::Milliseconds deadlineMs = 1500;
};

/// Checks the record of a scenario.
/// @param lag returns how long the event loop was blocked between two times; the time limits are extended by it
std::vector<Violation> checkRecord(
    Record const& record, RouteLimits const& limits,
    std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag);

}  // namespace corkward::fuzz
