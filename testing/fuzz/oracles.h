#pragma once

#include <functional>
#include <string>
#include <vector>

#include "record.h"

/// What must hold of every scenario, checked from outside alone.
namespace corkward::fuzz {

struct Violation {
  /// own-answer, as-sent, once, promise, tries, gone, time-left, held, status.
  std::string oracle;
  std::string what;
};

/// What the scenario's routes allow.
struct Terms {
  int maxAttempts = 2;
  core::Milliseconds deadlineMs = 1500;
};

/// @param lag how long the event loop stood still between two times, which is forgiven
std::vector<Violation> checkRecord(
    Record const& record, Terms const& terms,
    std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag);

}  // namespace corkward::fuzz
