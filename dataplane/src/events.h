#pragma once

/// Log events of the router, and the labels under which its metrics page counts them. Labels are bytes of the page and
/// keep the names of earlier releases.

#include <corkward/core/log_event.h>

namespace corkward::dataplane::events {

/// The router takes part in the fleet from here on.
inline constexpr core::EventName started{"started"};
/// A graceful shutdown begins.
inline constexpr core::EventName draining{"draining"};
/// A committed value of a key is applied.
inline constexpr core::EventName entryApplied{"in-force"};
/// A committed value cannot be applied; the one before it stays.
inline constexpr core::EventName entryRejected{"configuration-entry-rejected", "news-not-applied"};
/// A complete snapshot of the configuration is applied for the first time in this incarnation.
inline constexpr core::EventName snapshotApplied{"snapshot-applied", "whole-image"};
/// Replicas that the platform takes away are out of use before control has committed the list.
inline constexpr core::EventName endpointRemovalHint{"endpoint-removal-hint", "leaving-hint"};
/// This router may warm a replica up, under a lease.
inline constexpr core::EventName warmupLeaseGranted{"warmup-lease-granted", "warming-duty"};
/// A replica whose connection was refused is left alone for a while.
inline constexpr core::EventName replicaBackoff{"replica-backoff", "replica-cooled"};
/// Too many of a replica's requests fail: it is ejected, and probed with single requests.
inline constexpr core::EventName replicaDistrusted{"replica-distrusted"};
/// A replica's probes succeeded: it is used as any other.
inline constexpr core::EventName replicaTrusted{"replica-trusted"};
/// The subset of replicas of a pool that an instance uses has grown, or shrunk.
inline constexpr core::EventName subsetGrown{"widened"};
inline constexpr core::EventName subsetShrunk{"gave-back"};
/// A request failed; see FailureLog.
inline constexpr core::EventName requestFailed{"request-failed"};

}  // namespace corkward::dataplane::events
