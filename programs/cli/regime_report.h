#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace corkward::programs {

/// Options of `corkward regime report DIRECTORY...`.
struct ReportOptions {
  /// Directories with copies of the routers' audit logs.
  std::vector<std::string> directories;
  /// The only regime to report. Empty to report all regimes.
  std::string regime;
  /// Start and end of the report as times in UTC, such as 2027-01-31T00:00:00Z. Empty if there is no bound.
  std::string from;
  std::string until;
  /// Length in minutes of the periods that are summed up.
  int spanMinutes = 60;
  /// Checkpoints of the form NODE=NUMBER:HASH that were stored outside the nodes. Each must be in its node's log.
  std::vector<std::string> checkpoints;
  /// Print one JSON object instead of text lines.
  bool json = false;
};

/// Prints the report. Throws UsageError if an option is invalid or a log cannot be read.
/// @return ExitCode::differs if records were changed or are missing
ExitCode reportRegimes(ReportOptions const& options);

}  // namespace corkward::programs
