#pragma once

namespace corkward::programs {

/// Lets the event loop run for so many milliseconds.
void pause(int ms);

}  // namespace corkward::programs
