#pragma once

#include <iosfwd>

namespace corkward::testing::capacity {

/// The rig's command: reads the arguments, runs a part at its sizes, writes CSV. Returns the exit code; 2: a bad
/// argument, with its name and the reason on `errors`.
int rig(int argc, char const* const* argv, std::ostream& out, std::ostream& errors);

}  // namespace corkward::testing::capacity
