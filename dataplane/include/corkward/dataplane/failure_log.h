#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/core/types.h>

namespace corkward::dataplane {

/// A request that ended without its whole answer.
struct Failure {
  /// The attempt's name as the caller gave it; empty: none.
  std::string trace;
  /// Path of the configuration; empty: none was found.
  std::string path;
  /// Replica that it was last handed to or connected to; empty: none.
  std::string replica;
  /// Status that was answered; 0: the answer was cut.
  int status = 0;
  std::string reason;
  /// What it was doing: asking, held, connecting, handed, streaming.
  std::string phase;
  /// Milliseconds since it was read.
  core::Milliseconds took = 0;
  /// Hand-overs, those that were answered "not run" included.
  std::size_t handOvers = 0;
  /// Revision of the configuration that it was served under.
  std::uint64_t configuration = 0;
};

/// Counts failed requests by reason, and lets through to the log the first few of each reason in each second: under
/// overload thousands fail alike, and what explains one explains them.
class FailureLog {
 public:
  /// Line for the log, or nothing when this second has had its share of the reason.
  std::optional<core::LogEvent> note(core::Milliseconds now, Failure const& failure);
  /// Failed requests by status and reason since the start.
  std::string metrics() const;

 private:
  struct Reason {
    std::uint64_t count = 0;
    core::Milliseconds second = -1;
    std::uint64_t logged = 0;
    /// Failures that the log did not show since its last line of this reason.
    std::uint64_t unlogged = 0;
  };
  std::map<std::pair<int, std::string>, Reason> reasons_;
};

}  // namespace corkward::dataplane
