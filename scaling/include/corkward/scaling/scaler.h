#pragma once

/// How many replicas one node draws from, and how much it has in flight at each: pure, with the time in each call.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <corkward/scaling/candidates.h>

namespace corkward::scaling {

/// Decides which replicas one (node, pool, instance) sends to: width trigger, one-replica steps, calm give-back.
class Scaler {
 public:
  /// The seed orders this node's preference among replicas; nodes choose apart.
  explicit Scaler(std::uint64_t seed, ScalerParameters const& f = defaultScalerParameters);

  /// New candidates. Members of the subset that are no longer candidates leave at once and are replaced one for one;
  /// neither counts as a step.
  void setCandidates(Candidates all);
  /// Before anything was sent: the subset begins with this replica, if it is a candidate.
  void beginWith(NameIndex wanted);
  /// Evaluates the demand; `queued` counts no hedged requests. Takes at most one step and returns +1, -1 or 0. Growing
  /// takes the wanted candidate, if that is outside the subset, else the next in this node's order.
  int evaluate(Milliseconds now, std::size_t queued, std::int64_t wanted = -1);
  /// True when evaluating with an empty queue changes nothing until a request is sent or candidates change.
  bool isAtRest() const;

  double cap() const;
  /// Capacity under the cap for one more request of the kind.
  bool hasCapacity(bool bulk) const;
  /// The same; while responses are steady the limit is raised so that there is capacity.
  bool raiseLimitFor(bool bulk);
  std::vector<Candidate> const& subset() const { return subset_; }
  /// How many it may draw from.
  std::size_t candidateCount() const { return all_.size(); }
  bool has(NameIndex replica) const;
  int inFlight() const { return inFlight_; }
  int inFlightAt(NameIndex replica) const;
  double limit() const { return limit_; }
  /// True when the replica's mean time to the first byte exceeds the latency target it was last measured against.
  bool isSlow(NameIndex replica) const;
  ScalerParameters const& parameters() const { return parameters_; }
  /// True when the whole subset is slow and growing it last did not help.
  bool areAllSlow() const { return allSlow_; }
  double firstByteMean() const { return meanFirstByte_; }

  /// Forgets a replica that is gone for good and has nothing in flight.
  void forget(NameIndex replica) { times_.erase(replica); }
  void onSent(NameIndex replica, bool bulk);
  /// The first byte came after `took` milliseconds, against the class's latency target in milliseconds.
  void onFirstByte(Milliseconds now, NameIndex replica, Milliseconds took, Milliseconds latencyTarget);
  void onEnded(NameIndex replica, bool bulk);

 private:
  double excessDemand(std::size_t queued) const;
  /// Takes the first candidates of this node's order until the subset has so many.
  void growSubset(std::size_t size);
  std::uint64_t subsetOrder(Candidate const& c) const;

  struct Times {
    double meanFirstByte = 0;
    Milliseconds latencyTarget = 0;
    int answers = 0;
  };
  std::uint64_t seed_;
  ScalerParameters parameters_;
  Candidates all_;
  std::vector<Candidate> subset_;
  std::unordered_map<NameIndex, int> inFlightAt_;
  std::unordered_map<NameIndex, Times> times_;
  int inFlight_ = 0;
  int bulkInFlight_ = 0;
  double limit_;
  Milliseconds limitCutAt_ = 0;
  Milliseconds calmSince_ = -1;
  double meanFirstByte_ = 0;
  /// Running mean of answer times as shares of their aims.
  double strain_ = 0;
  double meanAtWidening_ = 0;
  int answersSinceWidening_ = 0;
  bool allSlow_ = false;
};

}  // namespace corkward::scaling
