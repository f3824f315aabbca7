#pragma once

/// Log events of the core package.

#include <corkward/core/log_event.h>

namespace corkward::core::events {

/// A guarantee was violated. The process goes on.
inline constexpr EventName guaranteeViolated{"guarantee-violated"};

/// Lines of the log could not be written before this one. Field: `count`.
inline constexpr EventName logLinesDropped{"log-lines-dropped"};

}  // namespace corkward::core::events
