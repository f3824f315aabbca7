#pragma once

/// Controls how many replicas of a pool one router uses, and how many requests it has in flight at each. It reads no
/// clock: the time is a parameter of each call.

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include <corkward/scaling/candidates.h>

namespace corkward::scaling {

/// Decides which subset of a pool's replicas one router sends an instance's requests to, and how many may be in flight.
/// The subset grows by one replica when demand exceeds the cap, and shrinks by one after demand has been low for a
/// while. The concurrency limit per replica follows the latency target.
class Scaler {
 public:
  /// @param seed determines the order in which this router adds replicas; routers differ in it, so that their subsets
  ///   spread over the pool
  explicit Scaler(std::uint64_t seed, ScalerParameters const& parameters = defaultScalerParameters);

  /// Sets the candidates. Members of the subset that are no longer candidates are removed at once and replaced one for
  /// one; this is independent of the growth and shrinking by evaluate.
  void setCandidates(Candidates all);
  /// Replaces the only member of the subset by this replica, if it is a candidate and no request is in flight.
  void beginWith(NameIndex preferred);
  /// Evaluates the demand and grows or shrinks the subset by at most one replica.
  /// @param queued requests that wait in the queue, without hedged ones
  /// @param preferred index of the candidate to add if it is not in the subset, or -1 to add the next in this router's
  ///   order
  /// @return +1 if the subset grew, -1 if it shrank, else 0
  int evaluate(Milliseconds now, std::size_t queued, std::int64_t preferred = -1);
  /// Returns true if evaluating with an empty queue changes nothing until a request is sent or the candidates change.
  bool isIdle() const;

  /// Greatest number of requests in flight: the concurrency limit times the members of the subset that are not warming
  /// up.
  double cap() const;
  /// Returns true if the cap leaves capacity for one more request.
  /// @param bulk true for a bulk request; bulk requests may fill only a fraction of the cap
  bool hasCapacity(bool bulk) const;
  /// The same as hasCapacity, but raises the limit to make capacity while responses are well within the latency target.
  bool raiseLimitFor(bool bulk);
  /// Returns true if one request may be sent beyond the cap, to find out whether the replicas have recovered. While the
  /// limit is below one request per replica, such probes are sent one after the other as long as their responses are
  /// within the latency target, and otherwise at most once per probeInterval.
  bool isProbeDue(Milliseconds now) const;
  std::vector<Candidate> const& subset() const { return subset_; }
  /// Number of replicas that the subset may have.
  std::size_t candidateCount() const { return candidates_.size(); }
  bool has(NameIndex replica) const;
  int inFlight() const { return inFlight_; }
  int inFlightAt(NameIndex replica) const;
  double limit() const { return limit_; }
  /// Returns true if the replica's mean time to the first byte exceeds the latency target of its last response.
  bool isSlow(NameIndex replica) const;
  ScalerParameters const& parameters() const { return parameters_; }
  /// Returns true if all members of the subset are slow and its last growth did not help.
  bool areAllSlow() const { return allSlow_; }
  /// Running mean of the time to the first byte over all replicas, in milliseconds; 0 before the first response.
  double firstByteMean() const { return meanFirstByte_; }

  /// Removes the measurements of a replica that has been removed from the pool and has no request in flight.
  void forget(NameIndex replica) { firstByteTimes_.erase(replica); }
  /// Records that a request was dispatched to the replica.
  void onSent(Milliseconds now, NameIndex replica, bool bulk);
  /// Records that the first byte of a response arrived.
  /// @param took milliseconds since the request was dispatched
  /// @param latencyTarget latency target of the request's class, in milliseconds
  void onFirstByte(Milliseconds now, NameIndex replica, Milliseconds took, Milliseconds latencyTarget);
  /// Records that a request that was dispatched to the replica has ended, whatever its outcome.
  void onEnded(NameIndex replica, bool bulk);

 private:
  /// Number of requests beyond low demand: in-flight requests above lowDemandFraction of the cap, and queued ones.
  double excessDemand(std::size_t queued) const;
  /// Number of the subset's members that are not warming up.
  std::ptrdiff_t readyCount() const;
  /// Adds the next candidates in this router's order until the subset has `size` members or there are no more
  /// candidates.
  void growSubset(std::size_t size);
  /// Sort key of a candidate in this router's order.
  std::uint64_t subsetOrder(Candidate const& c) const;

  struct FirstByteTimes {
    double meanFirstByte = 0;
    /// Latency target of the last response.
    Milliseconds latencyTarget = 0;
    int responses = 0;
  };
  std::uint64_t seed_;
  ScalerParameters parameters_;
  Candidates candidates_;
  std::vector<Candidate> subset_;
  std::unordered_map<NameIndex, int> inFlightAt_;
  std::unordered_map<NameIndex, FirstByteTimes> firstByteTimes_;
  int inFlight_ = 0;
  int bulkInFlight_ = 0;
  /// Concurrency limit per replica.
  double limit_;
  Milliseconds limitCutAt_ = 0;
  /// Time of the newest dispatch, or long ago if there was none.
  Milliseconds sentAt_ = std::numeric_limits<Milliseconds>::min() / 2;
  /// A response came since the newest dispatch, and the newest one was within its latency target.
  bool respondedInTime_ = false;
  /// Since when demand has been low without a change of the subset, or -1 if it is not low.
  Milliseconds lowDemandSince_ = -1;
  double meanFirstByte_ = 0;
  /// Running mean of the ratio of the time to the first byte to the latency target.
  double latencyRatio_ = 0;
  /// Value of `meanFirstByte_` when the subset last grew.
  double meanFirstByteAtGrowth_ = 0;
  /// Number of responses since the subset last grew.
  int responsesSinceGrowth_ = 0;
  bool allSlow_ = false;
};

}  // namespace corkward::scaling
