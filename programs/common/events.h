#pragma once

#include <corkward/core/log_event.h>

/// Log events of the daemons themselves; docs/operations.md lists them with their fields. The reducers' events are
/// declared in their own packages.
namespace corkward::programs::events {

/// The process listens and takes part: `link`, `http`, `zone`.
inline constexpr core::EventName started{"started"};
/// A graceful shutdown began: `pending` calls.
inline constexpr core::EventName draining{"draining"};
/// The event loop ends: `pending` requests that were given up.
inline constexpr core::EventName stopped{"stopped"};
/// The write-ahead log ended in an incomplete record, which was cut off.
inline constexpr core::EventName writeAheadLogTailTruncated{"write-ahead-log-tail-truncated"};
/// The write-ahead log is corrupt other than at its end: `position`.
inline constexpr core::EventName writeAheadLogCorrupt{"write-ahead-log-corrupt"};
/// The write-ahead log could not be read at the start: `error`.
inline constexpr core::EventName writeAheadLogReadFailed{"write-ahead-log-read-failed"};
/// A write or sync of the write-ahead log failed: `error`.
inline constexpr core::EventName writeAheadLogWriteFailed{"write-ahead-log-write-failed"};
/// The disk takes writes again after a failure; the controller starts over from its log.
inline constexpr core::EventName diskRecovered{"disk-recovered"};
/// Audit records can be written from here on.
inline constexpr core::EventName auditLogAvailable{"audit-log-available"};
/// Audit records cannot be written: `error`.
inline constexpr core::EventName auditLogUnavailable{"audit-log-unavailable"};
/// Newest record of the audit log, to be noted elsewhere: `number`, `hash`.
inline constexpr core::EventName auditCheckpoint{"audit-checkpoint"};
/// The address for the process's own metrics could not be had: `error`.
inline constexpr core::EventName metricsUnavailable{"metrics-unavailable"};

}  // namespace corkward::programs::events
