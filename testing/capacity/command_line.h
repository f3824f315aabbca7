#pragma once

#include <iosfwd>

namespace corkward::testing::capacity {

/// Runs the program corkward-capacity: parses the arguments, runs an experiment at the given sizes and writes CSV.
/// Returns the exit code: 2 for a bad argument, with its name and the reason on `errors`.
int runCommand(int argc, char const* const* argv, std::ostream& out, std::ostream& errors);

}  // namespace corkward::testing::capacity
