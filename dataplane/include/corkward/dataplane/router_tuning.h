#pragma once

#include <cstddef>
#include <cstdint>

#include <corkward/core/types.h>
#include <corkward/quota/limit.h>
#include <corkward/scaling/scaling.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// Settings of the data plane; times are in milliseconds.
struct RouterTuning {
  /// How long a serving lease lasts, counted from the granting controller's last quorum contact before the request.
  Milliseconds servingLeaseDuration = 1500;
  /// Interval of lease requests to controllers.
  Milliseconds leaseRequestInterval = 300;
  /// Interval of requests to controllers until a complete snapshot is applied.
  Milliseconds snapshotRequestInterval = 50;
  /// Interval of heartbeats to neighbours while a controller grants the lease (idle), and while none does.
  Milliseconds idleHeartbeatInterval = 1000;
  Milliseconds heartbeatInterval = 200;
  /// Number of neighbours while a controller grants the lease (idle), and while none does.
  std::size_t idleNeighbourCount = 2;
  std::size_t neighbourCount = 6;
  /// How long a router stays a neighbour before another one replaces it.
  Milliseconds neighbourRotationPeriod = 10000;
  /// How long an unresponsive controller or router is avoided while there are others.
  Milliseconds unresponsivePeerTimeout = 10000;
  /// Number of responsive controllers that leases are requested from, and the most controllers that are contacted when
  /// some do not respond.
  std::size_t controllerLinkCount = 2;
  std::size_t maxControllerLinks = 4;
  Milliseconds requestIdQueryTimeout = 500;
  /// How long request ids are remembered.
  Milliseconds requestIdRetention = 600000;
  /// How far back a majority of the routers must remember request ids, to accept an id of unknown age as not executed
  /// when no router knows it.
  Milliseconds minimumMemoryAge = 60000;
  /// Added to the age that a request states for its id. Covers network transit, slow arrival of the request's head, and
  /// clocks that run at different rates.
  Milliseconds ageMargin = 15000;
  /// How long after its start a router is not ready, if leaseRequired. Also how far back a majority must remember
  /// request ids to accept an id of unknown age, once all routers have replied.
  Milliseconds startupGracePeriod = 3000;
  /// How far back a majority must remember request ids to accept an id of unknown age, if some routers did not reply.
  Milliseconds quorumMemoryWait = 10000;
  /// Longest time that a router that is new on the roster waits until the others have that roster.
  Milliseconds joinTimeout = 10000;
  std::size_t maxRequestIds = 100000;
  Milliseconds connectTimeout = 700;
  Milliseconds connectFailureBackoff = 1500;
  /// How long a replica that answered "not executed" gets no further requests.
  Milliseconds overloadBackoff = 300;
  Milliseconds warmupRequestInterval = 400;
  Milliseconds warmupLeaseDuration = 1400;
  double queuedPerCapacity = 4.0;
  std::size_t minQueueLength = 8;
  /// Longest time that a request is queued, in multiples of its latency target.
  double maxQueueTargets = 2.0;
  double nodeLimitPerReplica = 8.0;
  /// Retry-After in seconds if there is no better estimate.
  double defaultRetryAfter = 1.0;
  /// Retry-After in seconds if the request's tenant is over its limit.
  double quotaRetryAfter = 1.0;
  /// A router in an evacuated zone reports that it is not ready, but continues to serve requests.
  bool evacuationFailsReady = true;
  /// How long a draining router still accepts requests, so that callers have time to switch to other routers.
  Milliseconds drainAcceptPeriod = 0;
  /// Time from the start of the drain until running requests are aborted. A draining router rejects a request that is
  /// expected to take longer than what is left. 0 if the limit is not known.
  Milliseconds drainTimeout = 0;
  /// Replicas process short prompts before long ones, whatever the urgency of the path.
  bool prioritizeByPromptSize = false;
  std::int64_t shortPromptTokens = 4000;
  std::int64_t longPromptTokens = 16000;
  /// Retries in any ten seconds that all routers together may send beyond the fraction of first attempts that
  /// scaling::RetryBudget allows.
  double retryAllowance = scaling::RetryBudget::allowance;
  int maxResumes = 2;
  /// A stream without any progress for this long is treated as broken.
  Milliseconds streamIdleTimeout = 10000;
  /// With a roster smaller than this, quorum contact among routers does not replace a controller's grant.
  std::size_t minRosterSize = 3;
  /// If false, a router with a complete snapshot serves without lease, roster and joining. For deployments whose own
  /// rules bound how old a configuration may be. The first snapshot of an incarnation still comes from a controller
  /// that had quorum contact after the request, or from neighbours once this router has had recent quorum contact
  /// itself.
  bool leaseRequired = true;
  /// Audit records can be written here. Without them this router dispatches no request of a regime.
  bool auditRecordsAvailable = false;
  /// A stream on a path of the fleet configuration is aborted this long after its deadline. The time allows the end of
  /// the stream, which the replica sends at the deadline, to arrive.
  Milliseconds deadlineGracePeriod = 100;
  /// Amount that tenants may send beyond their limits.
  quota::OverdraftAllowance overdraftAllowance;
  scaling::ScalerParameters scalerParameters = scaling::defaultScalerParameters;
};

}  // namespace corkward::dataplane
