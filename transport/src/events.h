#pragma once

#include <corkward/core/log_event.h>

/// Log events of the transport; docs/operations.md lists them with their fields.
namespace corkward::transport::events {

/// Connections cannot be accepted, for lack of descriptors or memory. Fields: `port`, `error`, `failed`, the number of
/// attempts that have failed since the line before, and `limit`, that of open descriptors.
inline constexpr core::EventName acceptFailed{"accept-failed"};

}  // namespace corkward::transport::events
