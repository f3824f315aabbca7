#pragma once

/// What this router knows about the replicas' prefix caches: which replica served a prefix last, and which segments of
/// prompts were sent to which replica.

#include <cstdint>
#include <deque>
#include <unordered_map>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// Stores which replica served each prefix last. At the bound, the least recently used prefix is evicted.
class PrefixCacheIndex {
 public:
  explicit PrefixCacheIndex(std::size_t bound = defaultScalerParameters.maxPrefixes) : bound_(bound) {}
  void recordServed(std::uint64_t prefix, NameIndex replica);
  /// Returns the replica that served the prefix last, or -1 if none is known.
  std::int64_t lastReplica(std::uint64_t prefix) const;
  std::size_t size() const { return byPrefix_.size(); }
  /// Removes all entries of a replica that has been removed from the pool.
  void forget(NameIndex replica);

 private:
  struct LastServed {
    NameIndex replica = 0;
    /// Number of the latest use. Entries of usageOrder_ with a smaller number for this prefix are outdated.
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

/// Estimates the content of each replica's prefix cache by the segments of prompts that this router has sent there.
/// Bounded by a total number of segments and by the size of each replica's cache; evicts the least recently sent
/// segment.
class PrefixCacheEstimate {
 public:
  explicit PrefixCacheEstimate(std::size_t bound = defaultScalerParameters.maxCachedSegments) : bound_(bound) {}
  /// Records that a segment was sent to a replica.
  /// @param segment hash of the segment and all segments before it in the prompt
  /// @param tokens length of the segment
  /// @param capacityTokens size of the replica's cache in tokens, or 0 if it is not known
  void recordSent(NameIndex replica, std::uint64_t segment, std::int64_t tokens, std::int64_t capacityTokens);
  bool has(NameIndex replica, std::uint64_t segment) const;
  void forget(NameIndex replica);
  std::size_t size() const { return count_; }

 private:
  struct CachedSegment {
    std::int64_t tokens = 0;
    /// Number of the latest use. Entries of usageOrder with a smaller number for this segment are outdated.
    std::uint64_t usage = 0;
  };
  struct SegmentUsage {
    std::uint64_t segment = 0;
    std::uint64_t usage = 0;
  };
  /// The estimated cache content of one replica.
  struct ReplicaCache {
    std::unordered_map<std::uint64_t, CachedSegment> segments;
    std::deque<SegmentUsage> usageOrder;
    std::int64_t tokens = 0;
    /// Returns true if this is the latest use of a segment that is still cached.
    bool isLatest(SegmentUsage const& used) const;
    /// Removes outdated entries from usageOrder.
    void compactUsageOrder();
  };
  /// Evicts the least recently sent segment of one replica.
  void evictOldest(ReplicaCache& cache);
  std::size_t bound_;
  std::size_t count_ = 0;
  std::uint64_t lastUsage_ = 0;
  std::unordered_map<NameIndex, ReplicaCache> byReplica_;
};

}  // namespace corkward::scaling
