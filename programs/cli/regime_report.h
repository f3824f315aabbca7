#pragma once

#include <string>
#include <vector>

namespace corkward::programs {

/// `corkward regime report FOLDER...`
struct ReportConnections {
  std::vector<std::string> folders;
  std::string regime;
  std::string from;
  std::string until;
  int spanMinutes = 60;
  std::vector<std::string> heads;
  bool json = false;
};

/// Prints the report; returns 0, or 1 when the records are not all as they were written. Throws UsageError.
int reportRegimes(ReportConnections const& ways);

}  // namespace corkward::programs
