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
  /// How long a serving lease lasts, counted from when it was requested.
  Milliseconds servingLeaseDuration = 1500;
  Milliseconds leaseRequestInterval = 300;
  /// How often controllers are asked while no whole snapshot is applied yet.
  Milliseconds snapshotRequestInterval = 50;
  /// How often heartbeats are sent while a controller grants the lease, and while none does.
  Milliseconds idleHeartbeatInterval = 1000;
  Milliseconds heartbeatInterval = 200;
  /// How many neighbours are contacted in either state.
  std::size_t idleNeighbourCount = 2;
  std::size_t neighbourCount = 6;
  /// How long a neighbour is kept before another takes its place.
  Milliseconds neighbourRotationPeriod = 10000;
  /// How long an unresponsive peer is passed over while there are others.
  Milliseconds unresponsivePeerTimeout = 10000;
  /// Controllers that are asked for leases, and how many at the most when some do not answer.
  std::size_t controllerLinkCount = 2;
  std::size_t maxControllerLinks = 4;
  Milliseconds requestIdQueryTimeout = 500;
  /// How long ids are remembered.
  Milliseconds requestIdRetention = 600000;
  /// How far back a router must remember to vouch for an id whose age is not said.
  Milliseconds minimumMemoryAge = 60000;
  /// What is added to an age that is said: for the way, a slow head, and clocks whose rates differ.
  Milliseconds ageMargin = 15000;
  /// How long after its start a router sends no clients here, and rejects ids of unsaid age when too few remember far
  /// enough.
  Milliseconds startupGracePeriod = 3000;
  /// How far a majority must remember when others do not answer.
  Milliseconds quorumMemoryWait = 10000;
  /// How long a node that is new on the roster waits for the others to know of it, at the most.
  Milliseconds joinTimeout = 10000;
  std::size_t maxRequestIds = 100000;
  Milliseconds connectTimeout = 700;
  Milliseconds connectFailureBackoff = 1500;
  /// How long a replica that answered "not executed" is left alone.
  Milliseconds overloadBackoff = 300;
  Milliseconds warmupRequestInterval = 400;
  Milliseconds warmupLeaseDuration = 1400;
  double queuedPerCapacity = 4.0;
  std::size_t minQueueLength = 8;
  /// A request is queued for this many of its latency targets at the most.
  double maxQueueTargets = 2.0;
  double nodeLimitPerReplica = 8.0;
  /// Seconds after which a caller is asked to come back when nothing better is known.
  double defaultRetryAfter = 1.0;
  /// The same, when its tenant is beyond its limit.
  double quotaRetryAfter = 1.0;
  /// A router in an evacuated zone says that it is not ready, though it goes on serving.
  bool evacuationFailsReady = true;
  /// A draining node goes on taking requests for this long, until callers are sent elsewhere.
  Milliseconds drainAcceptPeriod = 0;
  /// When its work in hand is cut, counted from the begin of the drain: a request that would take longer than is left
  /// is turned away. 0: not told.
  Milliseconds drainTimeout = 0;
  /// At the replica short prompts go ahead of long ones, whatever the path's own rank.
  bool prioritizeByPromptSize = false;
  std::int64_t shortPromptTokens = 4000;
  std::int64_t longPromptTokens = 16000;
  /// Retries that all routers together may spend beyond their share, in ten seconds.
  double retryAllowance = scaling::RetryBudget::allowance;
  int maxResumes = 2;
  /// A stream in which nothing moves for this long is given up as broken.
  Milliseconds streamIdleTimeout = 10000;
  /// A router whose roster is smaller than this cannot stand on its neighbours alone.
  std::size_t minRosterSize = 3;
  /// False: whoever has a whole snapshot serves on, without confirmations, roster or joining wait; for callers whose
  /// own rules bound how old a configuration may be. The first snapshot of a life still comes from a controller that
  /// was in contact with a majority after it was asked, or from neighbours once a majority of the roster was heard.
  bool leaseRequired = true;
  /// Records of regimes' work can be kept here; without them nothing of a regime is handed on.
  bool auditRecordsAvailable = false;
  /// A stream of the whole configuration's paths is cut this long after its deadline, which the replica's own end may
  /// take to arrive.
  Milliseconds deadlineGracePeriod = 100;
  /// What tenants may send beyond their limits.
  quota::OverdraftAllowance overdraftAllowance;
  scaling::ScalerParameters scalerParameters = scaling::defaultScalerParameters;
};

}  // namespace corkward::dataplane
