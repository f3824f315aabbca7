#pragma once

/// What this node knows of replicas' caches: who served a prefix last, and which parts of prompts were sent where.

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Remembers which replica last served a prefix, bounded, oldest out first.
class PrefixCacheIndex {
 public:
  explicit PrefixCacheIndex(std::size_t bound = defaultScalerParameters.maxPrefixes) : bound_(bound) {}
  void recordServed(std::uint64_t prefix, NameIndex replica);
  /// Replica that served it last, or -1.
  std::int64_t lastReplica(std::uint64_t prefix) const;
  std::size_t size() const { return byPrefix_.size(); }
  /// Forgets a replica that is gone for good.
  void forget(NameIndex replica);

 private:
  std::size_t bound_;
  std::unordered_map<std::uint64_t, std::pair<NameIndex, std::uint64_t>> byPrefix_;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> order_;
  std::uint64_t turn_ = 0;
};

/// Remembers which parts of prompts this node sent to which replica, bounded by count and by each replica's own memory.
class PrefixCacheEstimate {
 public:
  explicit PrefixCacheEstimate(std::size_t bound = defaultScalerParameters.maxCachedSegments) : bound_(bound) {}
  /// A part, named by a hash of itself and all before it, was sent. Memory: tokens that the replica keeps; 0: not
  /// known.
  void recordSent(NameIndex replica, std::uint64_t part, std::int64_t tokens, std::int64_t memory);
  bool has(NameIndex replica, std::uint64_t part) const;
  void forget(NameIndex replica);
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
  std::unordered_map<NameIndex, Memory> byReplica_;
};

}  // namespace corkward::scaling
