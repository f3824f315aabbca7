#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace corkward::programs {

/// Options of `corkward regime report DIRECTORY...`.
struct ReportOptions {
  /// Directories with copies of the routers' audit logs.
  std::vector<std::string> directories;
  /// Only this regime; empty: all.
  std::string regime;
  /// Times in UTC as 2027-01-31T00:00:00Z; empty: no bound.
  std::string from;
  std::string until;
  /// Minutes that are summed up.
  int spanMinutes = 60;
  /// Checkpoints that were noted elsewhere, NODE=NUMBER:HASH: each must be in its node's log.
  std::vector<std::string> checkpoints;
  /// Print one JSON object instead of lines.
  bool json = false;
};

/// Prints the report. Throws UsageError.
/// @return ExitCode::differs when records are not as they were written, or are missing
ExitCode reportRegimes(ReportOptions const& options);

}  // namespace corkward::programs
