#pragma once

/// The figures of scaling, picking and trust in one table; starting values of the design.

#include <cstddef>

#include <corkward/core/types.h>

namespace corkward::scaling {

using core::Milliseconds;
using core::NameIndex;

/// The design's figures; starting values, all in one table.
struct ScalerParameters {
  /// Each width: this many more buffered requests add one more replica.
  double width = 2.0;
  /// Own in-flight requests past this share of the cap count as buffered; under it, for one replica fewer, is calm.
  double calmFraction = 0.7;
  /// How long the calm must last before one replica is given back (never under 5 s).
  Milliseconds cooldown = 5000;
  /// Replicas that a part begins with.
  std::size_t initialSubset = 1;
  double initialLimit = 4.0;
  double minLimit = 1.0;
  double maxLimit = 24.0;
  /// The limit falls to this share when answer times pass the aim, at most once per cutEvery.
  double limitCutFactor = 0.8;
  Milliseconds limitCutInterval = 500;
  /// While answers take less than this share of their aims, the limit is raised for a request that finds no room.
  double steady = 0.0;
  /// The limit falls to this share with each look at which less than `used` of the cap is in use; below 1 a widening
  /// also leaves the cap as it is, since the limit is raised on demand.
  double limitDecay = 1.0;
  double usedFraction = 0.85;
  /// What one request in flight weighs in the pick, in tokens to be read anew.
  double inFlightTokens = 300.0;
  /// What a token of a shared part weighs that would be read anew.
  double uncachedTokenWeight = 4.0;
  /// Tokens that a replica is taken to read in a millisecond, and how long a first word may take beyond that. What an
  /// own request has waited longer counts as work that its replica is held up by.
  double prefillTokensPerMs = 100.0;
  Milliseconds firstByteSlack = 60;
  /// A prompt of more own tokens for each millisecond of its aim cannot be read within it. This share of a pool's
  /// replicas, rounded down and the same on all nodes, reads those, so that they hold up nothing else.
  double targetTokensPerMs = 50.0;
  double isolatedFraction = 0.09;
  /// What it weighs, in tokens, to send a prompt to a replica of the other kind.
  double wrongGroupPenalty = 40000.0;
  /// Parts of prompts that a node remembers to have sent.
  std::size_t maxCachedSegments = 40000;
  /// Share of the cap that long requests may fill.
  double bulkFraction = 0.4;
  /// A prefix stays on its replica while that has at most this many more in flight than the fewest.
  int prefixSlack = 1;
  std::size_t maxPrefixes = 20000;
  /// A replica's answer times weigh this much in the running mean.
  double meanWeight = 0.2;
  /// Answers needed after a widening before it is judged.
  int minAnswers = 4;
  /// Weight of one outcome in a replica's error rate, and the time after which rate and failures of late count half.
  double failureMeanWeight = 0.2;
  Milliseconds failureHalfLife = 30000;
  /// A replica loses its trust at this error rate, with at least so many failures of late.
  double maxFailureRate = 0.4;
  double minFailures = 2.5;
  /// First and longest rest of a replica that is not trusted, and the successes in a row that give trust back.
  Milliseconds initialRest = 1000;
  Milliseconds maxRest = 8000;
  int probesToTrust = 5;
  /// A first word, or a silence, over this many aims and this many of the usual first words is a failure.
  double lateTargets = 3.0;
};

inline constexpr ScalerParameters defaultScalerParameters{};

}  // namespace corkward::scaling
