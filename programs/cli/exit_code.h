#pragma once

namespace corkward::programs {

/// Exit codes of `corkward`, as --help lists them.
enum class ExitCode : int {
  ok = 0,
  /// diff found differences, or audit records are not as they were written.
  differs = 1,
  invalidUsage = 2,
  rejected = 3,
  /// A stale revision, or a change id that was used for another change.
  conflict = 4,
  unavailable = 5,
  unknownOutcome = 6,
  noAnswer = 7,
  /// Committed, and not applied by all routers yet.
  rolloutPending = 8,
};

/// Exit code for a status of the operator interface.
ExitCode exitCodeOf(int status);

}  // namespace corkward::programs
