#pragma once

/// Parameters of subset size, concurrency limit, choice of a replica and circuit breakers, in one table.

#include <cstddef>

#include <corkward/core/types.h>

namespace corkward::scaling {

using core::Milliseconds;
using core::NameIndex;

/// Parameters of scaling. A router process replaces some of the defaults.
struct ScalerParameters {
  /// The subset grows by one replica when the excess demand (Scaler::evaluate) is at least this many requests for each
  /// replica that the subset has.
  double excessPerReplica = 2.0;
  /// In-flight requests above this fraction of the cap count as excess demand. Demand is low while in-flight requests
  /// are below this fraction of what the cap would be with one replica fewer.
  double lowDemandFraction = 0.7;
  /// How long demand must be low before one replica is removed from the subset, in milliseconds; at least 5000.
  Milliseconds cooldown = 5000;
  /// Number of replicas that a subset has at the start.
  std::size_t initialSubset = 1;
  /// Concurrency limit at the start, as in-flight requests of this router per replica.
  double initialLimit = 4.0;
  /// Bounds of the concurrency limit.
  double minLimit = 1.0;
  double maxLimit = 24.0;
  /// The limit is multiplied by this factor when a first byte takes longer than the latency target, at most once per
  /// limitCutInterval.
  double limitCutFactor = 0.8;
  Milliseconds limitCutInterval = 500;
  /// While the mean ratio of the time to the first byte to the latency target is below this, the limit is raised for a
  /// request that finds no capacity. 0 turns such raises off.
  double limitRaiseLatencyRatio = 0.0;
  /// The limit is multiplied by this factor at each evaluation at which less than decayBelowUtilization of the cap is
  /// in use. If it is below 1, a growing subset keeps its cap: the limit shrinks in proportion, since it is raised on
  /// demand.
  double limitDecay = 1.0;
  double decayBelowUtilization = 0.85;
  /// With a limit below one request per replica, one request may be sent beyond the cap when none was sent for this
  /// long. Only a response can show that the replicas have recovered.
  Milliseconds probeInterval = 1000;
  /// Cost of one request in flight when a replica is chosen, in tokens that the replica has to read.
  double inFlightTokens = 300.0;
  /// Cost of a token of a shared segment that the replica would have to read because it does not have it cached.
  double uncachedTokenWeight = 4.0;
  /// Tokens that a replica is assumed to read per millisecond.
  double prefillTokensPerMs = 100.0;
  /// Milliseconds that a first byte may take in addition to the time for reading the request's tokens. A request that
  /// has waited longer shows that its replica is busy: the additional time counts as cost.
  Milliseconds firstByteSlack = 60;
  /// A prompt whose last segment has more tokens than this per millisecond of the latency target cannot be read within
  /// the target. Such long prompts go to isolated replicas, so that they delay no other requests.
  double targetTokensPerMs = 50.0;
  /// Fraction of a pool's replicas that are isolated. Their number is rounded down, and they are the same on all
  /// routers.
  double isolatedFraction = 0.09;
  /// Cost, in tokens, of sending a long prompt to a replica that is not isolated, or a prompt that is not long to an
  /// isolated replica.
  double wrongGroupPenalty = 40000.0;
  /// Number of prompt segments that a router remembers to have sent.
  std::size_t maxCachedSegments = 40000;
  /// Fraction of the cap that bulk requests may fill.
  double bulkFraction = 0.4;
  /// A prefix stays on its replica while that replica has at most this many more requests in flight than the replica
  /// with the fewest.
  int prefixSlack = 1;
  /// Number of prefixes whose last replica a router remembers.
  std::size_t maxPrefixes = 20000;
  /// Weight of one response in the running mean of the time to the first byte.
  double meanWeight = 0.2;
  /// Responses after a growth of the subset that are needed to judge whether the growth helped.
  int minResponses = 4;
  /// Weight of one outcome in a replica's failure rate.
  double failureMeanWeight = 0.2;
  /// Milliseconds after which the failure rate and the recent failures count half.
  Milliseconds failureHalfLife = 30000;
  /// A replica is no longer trusted at this failure rate, if it has at least `minFailures` recent failures.
  double maxFailureRate = 0.4;
  double minFailures = 2.5;
  /// First and longest suspension of a replica that is not trusted, in milliseconds.
  Milliseconds initialSuspension = 1000;
  Milliseconds maxSuspension = 8000;
  /// Number of consecutive successes after which a replica is trusted again.
  int probesToTrust = 5;
  /// A request is overdue, which counts as a failure, when its first byte takes longer than this factor times the
  /// latency target and longer than this factor times the mean time to the first byte.
  double overdueFactor = 3.0;
};

inline constexpr ScalerParameters defaultScalerParameters{};

/// Parameters for many routers before few replicas: a router's limit may fall below one request per replica, and is
/// raised on demand while responses are well within their latency target.
inline constexpr ScalerParameters sharedReplicasParameters{.excessPerReplica = 0.005,
                                                           .initialLimit = 1.0,
                                                           .minLimit = 0.05,
                                                           .maxLimit = 1000,
                                                           .limitRaiseLatencyRatio = 0.7,
                                                           .limitDecay = 0.9,
                                                           .bulkFraction = 0.9};

}  // namespace corkward::scaling
