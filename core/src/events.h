#pragma once

/// Log events of the core package.

#include <corkward/core/log_event.h>

namespace corkward::core::events {

/// A guarantee was violated. The process goes on.
inline constexpr EventName guaranteeViolated{"guarantee-violated"};

}  // namespace corkward::core::events
