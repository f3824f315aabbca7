#pragma once

/// What this node knows of replicas' prefix caches: who served a prefix last, and which segments of prompts were sent
/// where.

#include <cstdint>
#include <deque>
#include <unordered_map>

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
  struct LastServed {
    NameIndex replica = 0;
    /// Of the latest use; an older one of the same prefix in usageOrder_ no longer counts.
    std::uint64_t usage = 0;
  };
  struct PrefixUsage {
    std::uint64_t prefix = 0;
    std::uint64_t usage = 0;
  };
  std::size_t bound_;
  std::unordered_map<std::uint64_t, LastServed> byPrefix_;
  std::deque<PrefixUsage> usageOrder_;
  std::uint64_t lastUsage_ = 0;
};

/// Remembers which segments of prompts this node sent to which replica, bounded by count and by each replica's own
/// memory.
class PrefixCacheEstimate {
 public:
  explicit PrefixCacheEstimate(std::size_t bound = defaultScalerParameters.maxCachedSegments) : bound_(bound) {}
  /// A segment, named by a hash of itself and all before it, was sent. Memory: tokens that the replica keeps; 0: not
  /// known.
  void recordSent(NameIndex replica, std::uint64_t segment, std::int64_t tokens, std::int64_t memory);
  bool has(NameIndex replica, std::uint64_t segment) const;
  void forget(NameIndex replica);
  std::size_t size() const { return count_; }

 private:
  struct CachedSegment {
    std::int64_t tokens = 0;
    /// Of the latest use; an older one of the same segment in usageOrder no longer counts.
    std::uint64_t usage = 0;
  };
  struct SegmentUsage {
    std::uint64_t segment = 0;
    std::uint64_t usage = 0;
  };
  /// What one replica is taken to have in its cache.
  struct ReplicaCache {
    std::unordered_map<std::uint64_t, CachedSegment> segments;
    std::deque<SegmentUsage> usageOrder;
    std::int64_t tokens = 0;
    /// Whether this is the latest use of a segment that is still cached.
    bool isLatest(SegmentUsage const& used) const;
    /// Drops the uses that a later one of the same segment has replaced.
    void compactUsageOrder();
  };
  void dropOldest(ReplicaCache& cache);
  std::size_t bound_;
  std::size_t count_ = 0;
  std::uint64_t lastUsage_ = 0;
  std::unordered_map<NameIndex, ReplicaCache> byReplica_;
};

}  // namespace corkward::scaling
