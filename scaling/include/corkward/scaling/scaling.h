#pragma once

#include <array>
#include <deque>
#include <initializer_list>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::scaling {

using core::Index;
using core::Tick;

/// The design's figures; starting values, all in one table.
struct Figures {
  /// Each width: this many more buffered requests add one more replica.
  double width = 2.0;
  /// Own in-flight requests past this share of the cap count as buffered; under it, for one replica fewer, is calm.
  double calmShare = 0.7;
  /// How long the calm must last before one replica is given back (never under 5 s).
  Tick calmFor = 5000;
  /// Replicas that a part begins with.
  std::size_t firstPart = 1;
  double firstLimit = 4.0;
  double minLimit = 1.0;
  double maxLimit = 24.0;
  /// The limit falls to this share when answer times pass the aim, at most once per cutEvery.
  double cut = 0.8;
  Tick cutEvery = 500;
  /// While answers take less than this share of their aims, the limit is raised for a request that finds no room.
  double steady = 0.0;
  /// The limit falls to this share with each look at which less than `used` of the cap is in use; below 1 a widening
  /// also leaves the cap as it is, since the limit is raised on demand.
  double ease = 1.0;
  double used = 0.85;
  /// What one request in flight weighs in the pick, in tokens to be read anew.
  double inFlightTokens = 300.0;
  /// What a token of a shared part weighs that would be read anew.
  double unreadWeight = 4.0;
  /// Tokens that a replica is taken to read in a millisecond, and how long a first word may take beyond that. What an
  /// own request has waited longer counts as work that its replica is held up by.
  double readPerMs = 100.0;
  Tick wordSlack = 60;
  /// A prompt of more own tokens for each millisecond of its aim cannot be read within it. This share of a pool's
  /// replicas, rounded down and the same on all nodes, reads those, so that they hold up nothing else.
  double withinAim = 50.0;
  double apart = 0.09;
  /// What it weighs, in tokens, to send a prompt to a replica of the other kind.
  double wrongKind = 40000.0;
  /// Parts of prompts that a node remembers to have sent.
  std::size_t parts = 40000;
  /// Share of the cap that long requests may fill.
  double bulkShare = 0.4;
  /// A prefix stays on its replica while that has at most this many more in flight than the fewest.
  int prefixSlack = 1;
  std::size_t prefixes = 20000;
  /// A replica's answer times weigh this much in the running mean.
  double mean = 0.2;
  /// Answers needed after a widening before it is judged.
  int judgeAfter = 4;
  /// Weight of one outcome in a replica's error rate, and the time after which rate and failures of late count half.
  double errorMean = 0.2;
  Tick errorHalf = 30000;
  /// A replica loses its trust at this error rate, with at least so many failures of late.
  double errorMost = 0.4;
  double errorLeast = 2.5;
  /// First and longest rest of a replica that is not trusted, and the successes in a row that give trust back.
  Tick restFirst = 1000;
  Tick restMost = 8000;
  int probes = 5;
  /// A first word, or a silence, over this many aims and this many of the usual first words is a failure.
  double lateAims = 3.0;
};

inline constexpr Figures figures{};

/// One node's own outcomes at one replica: its error rate, and whether it is trusted.
class Reliability {
 public:
  /// Takes one outcome in. True when the replica has to rest from now on.
  bool outcome(Tick now, bool failed, Figures const& f = figures);
  bool trusted() const { return trusted_; }
  /// Not trusted, and not to be probed yet.
  bool resting(Tick now) const { return !trusted_ && now < restUntil_; }
  Tick restUntil() const { return restUntil_; }
  /// Share of failures of late, newer outcomes weighing more.
  double rate(Tick now, Figures const& f = figures) const;

 private:
  double rate_ = 0;
  double failures_ = 0;
  Tick at_ = 0;
  bool trusted_ = true;
  Tick restUntil_ = 0;
  Tick rest_ = 0;
  int successes_ = 0;
};

/// A replica that a part may draw from.
struct Candidate {
  Index replica = 0;
  bool cold = false;
  /// Hash of its address, equal on every node.
  std::uint64_t hash = 0;
  bool operator==(Candidate const&) const = default;
};

/// The replicas that parts of one pool may draw from, in the order of their index. Copies share them.
class Candidates {
 public:
  Candidates() = default;
  Candidates(std::vector<Candidate> all);
  Candidates(std::initializer_list<Candidate> all) : Candidates(std::vector<Candidate>(all)) {}
  /// Null when it is none of them.
  Candidate const* find(Index replica) const;
  std::vector<Candidate> const& all() const;
  std::size_t size() const { return all().size(); }
  bool operator==(Candidates const& other) const { return all_ == other.all_ || all() == other.all(); }

 private:
  std::shared_ptr<std::vector<Candidate> const> all_;
};

/// How many requests end in a second: a running mean over windows of a second, closed by looks.
class Rate {
 public:
  static constexpr Tick window = 1000;
  void ended() { ++ended_; }
  void look(Tick now);
  /// Makes up for the looks that were left out, as if there had been one at the end of each window before now.
  void catchUp(Tick now);
  double perSecond() const { return perSecond_; }

 private:
  double perSecond_ = 0;
  Tick from_ = 0;
  int ended_ = 0;
};

/// Decides which replicas one (node, pool, instance) sends to: width trigger, one-replica steps, calm give-back.
class Scaler {
 public:
  /// The seed orders this node's preference among replicas; nodes choose apart.
  explicit Scaler(std::uint64_t seed, Figures const& f = figures);

  /// New candidates. Those of the part that are gone leave at once and are replaced one for one; neither counts as a
  /// step.
  void candidates(Candidates all);
  /// Before anything was sent: the part begins with this replica, if it is a candidate.
  void begin(Index wanted);
  /// One look at the demand; held counts no echoes. Takes at most one step and returns +1, -1 or 0. A widening takes
  /// the wanted candidate, if that is outside the part, else the next in this node's order.
  int look(Tick now, std::size_t held, std::int64_t wanted = -1);
  /// True when looks with nothing held change nothing until a request is sent or candidates change.
  bool atRest() const;

  double cap() const;
  /// Room under the cap for one more request of the kind.
  bool room(bool bulk) const;
  /// The same; while answers are steady the limit is raised so that there is room.
  bool makeRoom(bool bulk);
  std::vector<Candidate> const& part() const { return part_; }
  /// How many it may draw from.
  std::size_t candidates() const { return all_.size(); }
  bool has(Index replica) const;
  int inFlight() const { return inFlight_; }
  int inFlightAt(Index replica) const;
  double limit() const { return limit_; }
  /// True when the replica's mean first word is past the aim it was last measured against.
  bool slow(Index replica) const;
  Figures const& figuresUsed() const { return f_; }
  /// True when all of the part is slow and the last widening did not help.
  bool allSlow() const { return allSlow_; }
  double firstWordMean() const { return mean_; }

  /// Forgets a replica that is gone for good and has nothing in flight.
  void forget(Index replica) { times_.erase(replica); }
  void sent(Index replica, bool bulk);
  /// First word after so many milliseconds, against the class's aim.
  void firstWord(Tick now, Index replica, Tick took, Tick aim);
  void ended(Index replica, bool bulk);

 private:
  double z(std::size_t held) const;
  /// Takes the first candidates of this node's order until the part has so many.
  void fill(std::size_t size);
  std::uint64_t order(Candidate const& c) const;

  struct Times {
    double mean = 0;
    Tick aim = 0;
    int answers = 0;
  };
  std::uint64_t seed_;
  Figures f_;
  Candidates all_;
  std::vector<Candidate> part_;
  std::unordered_map<Index, int> inFlightAt_;
  std::unordered_map<Index, Times> times_;
  int inFlight_ = 0;
  int bulk_ = 0;
  double limit_;
  Tick cutAt_ = 0;
  Tick calmSince_ = -1;
  double mean_ = 0;
  /// Running mean of answer times as shares of their aims.
  double strain_ = 0;
  double meanAtWidening_ = 0;
  int answersSinceWidening_ = 0;
  bool allSlow_ = false;
};

/// Remembers which replica last served a prefix, bounded, oldest out first.
class Prefixes {
 public:
  explicit Prefixes(std::size_t bound = figures.prefixes) : bound_(bound) {}
  void served(std::uint64_t prefix, Index replica);
  /// Replica that served it last, or -1.
  std::int64_t last(std::uint64_t prefix) const;
  std::size_t size() const { return byPrefix_.size(); }
  /// Forgets a replica that is gone for good.
  void forget(Index replica);

 private:
  std::size_t bound_;
  std::unordered_map<std::uint64_t, std::pair<Index, std::uint64_t>> byPrefix_;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> order_;
  std::uint64_t turn_ = 0;
};

/// Remembers which parts of prompts this node sent to which replica, bounded by count and by each replica's own memory.
class Kept {
 public:
  explicit Kept(std::size_t bound = figures.parts) : bound_(bound) {}
  /// A part, named by a hash of itself and all before it, was sent. Memory: tokens that the replica keeps; 0: not
  /// known.
  void sent(Index replica, std::uint64_t part, std::int64_t tokens, std::int64_t memory);
  bool has(Index replica, std::uint64_t part) const;
  void forget(Index replica);
  std::size_t size() const { return count_; }

 private:
  struct Memory {
    std::unordered_map<std::uint64_t, std::pair<std::int64_t, std::uint64_t>> parts;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> order;
    std::int64_t tokens = 0;
  };
  void dropOldest(Memory& m);
  std::size_t bound_;
  std::size_t count_ = 0;
  std::uint64_t turn_ = 0;
  std::unordered_map<Index, Memory> byReplica_;
};

/// Fewest own requests in flight; the prefix's replica wins within the slack. Returns -1 when none may be used.
std::int64_t pick(Scaler const& scaler, std::vector<Candidate> const& usable, std::uint64_t prefix, std::int64_t last);

/// Own retries: at most a fifth of own first attempts in any ten seconds, plus a share of a small allowance.
/// A first attempt earns its share only for a short while, so that retries cannot outlive a crowd that is gone.
class RetryBudget {
 public:
  static constexpr Tick window = 10000;
  static constexpr Tick earnsFor = 1000;
  static constexpr double share = 0.2;
  static constexpr double allowance = 10.0;
  void first(Tick now);
  /// True, and counted, when one more retry is within the budget.
  bool retry(Tick now, std::size_t nodes, double ofAll = allowance);
  /// The same, not counted.
  bool mayRetry(Tick now, std::size_t nodes, double ofAll = allowance);
  /// True while nothing in it counts any more.
  bool idle(Tick now);

 private:
  void expire(Tick now);
  double earned_ = 0;
  std::deque<Tick> firsts_;
  /// Retries that were paid out of the allowance.
  std::deque<Tick> allowed_;
};

/// Own retries at each pool and over all: one more has to be within both, so that no pool's requests pay for repeats at
/// another.
class RetryBudgets {
 public:
  void first(Tick now, Index pool);
  bool retry(Tick now, Index pool, std::size_t nodes, double ofAll = RetryBudget::allowance);
  /// Pools that are remembered.
  std::size_t size() const { return pools_.size(); }

 private:
  RetryBudget& at(Tick now, Index pool);
  RetryBudget all_;
  std::map<Index, RetryBudget> pools_;
};

/// Token bucket of a cold replica: holds at most one token and starts empty, so no burst passes the rate.
class ColdBucket {
 public:
  explicit ColdBucket(Tick now = 0) : at_(now) {}
  bool take(Tick now, double rate);
  bool has(Tick now, double rate) const;

 private:
  double tokens_ = 0;
  Tick at_;
};

}  // namespace corkward::scaling
