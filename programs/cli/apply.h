#pragma once

#include <string>
#include <vector>

#include "exit_code.h"

namespace corkward::programs {

/// Options of `corkward diff DIR` and `corkward apply DIR`.
struct ApplyOptions {
  /// Directory of the declarations.
  std::string directory;
  /// Whether to apply the changes. If false, declarations and fleet are only compared.
  bool apply = false;
  bool dryRun = false;
  /// Also remove templates and instances that are not declared.
  bool prune = false;
  /// Print one JSON object instead of text lines.
  bool json = false;
  /// Seconds to wait for each response.
  int timeoutSeconds = 15;
  /// Seconds to wait until all routers have applied a change.
  int waitSeconds = 60;
};

/// Compares the declarations of a directory with the fleet and prints the differences. If ApplyOptions::apply is set,
/// sends the changes one after the other until one is not accepted, and prints their outcomes. Throws UsageError if the
/// declarations are invalid; no change was sent then.
ExitCode applyDeclarations(std::vector<std::string> const& controllers, ApplyOptions const& options);

}  // namespace corkward::programs
