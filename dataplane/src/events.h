#pragma once

/// Log events of the router, and the labels under which its metrics count them. The labels keep the names of earlier
/// releases, because monitoring queries use them.

#include <corkward/core/log_event.h>

namespace corkward::dataplane::events {

/// The router has started.
inline constexpr core::EventName started{"started"};
/// A graceful shutdown begins.
inline constexpr core::EventName draining{"draining"};
/// A committed value of a key is applied.
inline constexpr core::EventName entryApplied{"in-force"};
/// A committed value cannot be applied. The previous value stays in effect.
inline constexpr core::EventName entryRejected{"configuration-entry-rejected", "news-not-applied"};
/// Paths of a committed configuration are left out, each because another one has the same host and prefix or because
/// its host has no name. Earlier releases accepted such configurations.
inline constexpr core::EventName pathsIgnored{"paths-ignored"};
/// The first complete snapshot of the configuration in this incarnation is applied.
inline constexpr core::EventName snapshotApplied{"snapshot-applied", "whole-image"};
/// Replicas that the platform removes are out of use before the controllers have committed the endpoint list.
inline constexpr core::EventName endpointRemovalHint{"endpoint-removal-hint", "leaving-hint"};
/// A removal hint has ended because its source did not renew it.
inline constexpr core::EventName endpointRemovalHintEnded{"endpoint-removal-hint-ended"};
/// This router has the lease to warm up a replica.
inline constexpr core::EventName warmupLeaseGranted{"warmup-lease-granted", "warming-duty"};
/// A replica that refused a connection gets no requests for a backoff time.
inline constexpr core::EventName replicaBackoff{"replica-backoff", "replica-cooled"};
/// Too many of a replica's requests fail. The replica is not trusted any more and is probed with single requests.
inline constexpr core::EventName replicaDistrusted{"replica-distrusted"};
/// A replica's probes succeeded. It is used like any other replica again.
inline constexpr core::EventName replicaTrusted{"replica-trusted"};
/// The subset of a pool's replicas that an instance uses has grown or shrunk.
inline constexpr core::EventName subsetGrown{"widened"};
inline constexpr core::EventName subsetShrunk{"gave-back"};
/// Requests to a pool are rejected for lack of capacity although nothing is in flight and a replica could be used.
inline constexpr core::EventName requestsStalled{"requests-stalled"};
/// A request failed; see FailureLog.
inline constexpr core::EventName requestFailed{"request-failed"};

}  // namespace corkward::dataplane::events
