#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace corkward::programs {

/// Options of `corkward diff DIR` and `corkward apply DIR`.
struct ApplyOptions {
  /// Directory of the declarations.
  std::string directory;
  /// False: only compare.
  bool apply = false;
  bool dryRun = false;
  /// Also remove what is not declared.
  bool prune = false;
  /// Print one JSON object instead of lines.
  bool json = false;
  /// Seconds to wait for each answer.
  int timeoutSeconds = 15;
  /// Seconds to wait until each change is applied everywhere.
  int waitSeconds = 60;
};

/// Compares the declarations of a directory with the fleet, and applies them when that is wanted: one change after the
/// other, up to the first that is not accepted. Prints what was done. Throws UsageError when the declarations are not
/// valid; nothing was sent then.
ExitCode applyDeclarations(std::vector<std::string> const& controllers, ApplyOptions const& options);

}  // namespace corkward::programs
