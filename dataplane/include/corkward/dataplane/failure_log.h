#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/core/types.h>

namespace corkward::dataplane {

/// A request that ended without a complete response.
struct Failure {
  /// The caller's name for the attempt. Empty if the caller gave none.
  std::string trace;
  /// Instance of the request's configured path. Empty if no path was found.
  std::string path;
  /// Replica that the request was last dispatched to or connected to. Empty if there was none.
  std::string replica;
  /// Status of the response. 0 if the response was aborted.
  int status = 0;
  std::string reason;
  /// Phase that the call was in: asking, counting, held, connecting, handed or streaming.
  std::string phase;
  /// Milliseconds since the complete request was read.
  core::Milliseconds duration = 0;
  /// Number of dispatches, including those that the replica rejected as not executed.
  std::size_t dispatches = 0;
  /// Revision of the fleet configuration at the time of the failure.
  std::uint64_t configuration = 0;
};

/// Counts failed requests by reason. Only the first few failures of each reason in each second are logged, because
/// under overload thousands of requests fail for the same reason.
class FailureLog {
 public:
  /// Counts the failure. Returns its log event, or std::nullopt if enough failures of this reason were logged in this
  /// second.
  std::optional<core::LogEvent> record(core::Milliseconds now, Failure const& failure);
  /// Metrics text with the number of failed requests by status and reason since the start.
  std::string metrics() const;

 private:
  struct Reason {
    std::uint64_t count = 0;
    /// Second of the newest failure, counted on the boot clock. Negative if there was none.
    core::Milliseconds second = -1;
    /// Failures that were logged in that second.
    std::uint64_t logged = 0;
    /// Failures that were not logged since the last logged failure of this reason.
    std::uint64_t unlogged = 0;
  };
  std::map<std::pair<int, std::string>, Reason> reasons_;
};

}  // namespace corkward::dataplane
