#pragma once

#include <corkward/core/log_event.h>

/// Log events of the daemons themselves; docs/operations.md lists them with their fields. The reducers' events are
/// declared in their own packages.
namespace corkward::programs::events {

/// The process has opened its listening sockets and started its reducer. Fields: `link`, `http`, `zone`.
inline constexpr core::EventName started{"started"};
/// A graceful shutdown began. Field: `pending`, the number of calls in progress.
inline constexpr core::EventName draining{"draining"};
/// The event loop ends. Field: `pending`, the number of requests that were abandoned.
inline constexpr core::EventName stopped{"stopped"};
/// The write-ahead log ended in an incomplete record, which was cut off.
inline constexpr core::EventName writeAheadLogTailTruncated{"write-ahead-log-tail-truncated"};
/// The write-ahead log is corrupt at a position before its end. Field: `position`.
inline constexpr core::EventName writeAheadLogCorrupt{"write-ahead-log-corrupt"};
/// The write-ahead log could not be read when the process started. Field: `error`.
inline constexpr core::EventName writeAheadLogReadFailed{"write-ahead-log-read-failed"};
/// A write or sync of the write-ahead log failed. Field: `error`.
inline constexpr core::EventName writeAheadLogWriteFailed{"write-ahead-log-write-failed"};
/// The disk accepts writes again after a failure, and the controller restarts its reducer from the log.
inline constexpr core::EventName diskRecovered{"disk-recovered"};
/// Audit records can be written from now on.
inline constexpr core::EventName auditLogAvailable{"audit-log-available"};
/// Audit records cannot be written. Field: `error`.
inline constexpr core::EventName auditLogUnavailable{"audit-log-unavailable"};
/// The newest record of the audit log, for operators to store outside this machine, so that later tampering can be
/// detected. Fields: `number`, `hash`.
inline constexpr core::EventName auditCheckpoint{"audit-checkpoint"};
/// The address for the process's own metrics could not be bound. Field: `error`.
inline constexpr core::EventName metricsUnavailable{"metrics-unavailable"};

/// The limit of open descriptors was set. Fields: `stated` by the settings, 0 if they state none; `before`; `in-force`;
/// `highest`, the hard limit. A warning if less is in force than stated.
inline constexpr core::EventName descriptorLimit{"descriptor-limit"};
inline constexpr core::EventName descriptorLimitLowered{"descriptor-limit-lowered"};

/// The memory of the process was determined. Fields, in bytes: `stated` by the settings or by default; `in-force`, less
/// where the system allows less; `account`. A warning if less is in force than the settings state.
inline constexpr core::EventName memoryLimit{"memory-limit"};

/// More than half of the memory for clients, operators and peers is in use. Fields: `used`, `limit`, in bytes.
inline constexpr core::EventName memoryBusy{"memory-busy"};

/// The start waits for a resource that another process holds: an address or the lock of the data directory. Field:
/// `error`.
inline constexpr core::EventName startWaiting{"start-waiting"};
/// An event handler threw an exception that nothing handled, and the node is started anew in the same process. Field:
/// `error`.
inline constexpr core::EventName restartedAfterFault{"restarted-after-fault"};

}  // namespace corkward::programs::events
