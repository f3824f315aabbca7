#pragma once

namespace corkward::programs {

/// Exit codes of `corkward`, as --help lists them.
enum class ExitCode : int {
  ok = 0,
  /// diff found differences, or audit records were changed or are missing.
  differs = 1,
  invalidUsage = 2,
  rejected = 3,
  /// The revision is stale, or the change id was used for another change.
  conflict = 4,
  unavailable = 5,
  unknownOutcome = 6,
  noAnswer = 7,
  /// The change is committed but not yet applied by all routers.
  rolloutPending = 8,
};

/// Returns the exit code for an HTTP status of the operator interface.
ExitCode exitCodeOf(int status);

}  // namespace corkward::programs
