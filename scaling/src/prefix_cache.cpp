#include <corkward/scaling/prefix_cache.h>

#include <utility>

namespace corkward::scaling {

namespace {

/// Greatest length of a usage order, as a multiple of the number of entries that it orders; the surplus is outdated.
constexpr std::size_t maxUsagesPerEntry = 4;
/// A usage order up to this length is not compacted.
constexpr std::size_t minCompactedUsages = 16;

}  // namespace

void PrefixCacheIndex::recordServed(std::uint64_t prefix, NameIndex replica) {
  byPrefix_[prefix] = LastServed{replica, ++lastUsage_};
  usageOrder_.push_back(PrefixUsage{prefix, lastUsage_});
  while (byPrefix_.size() > bound_ || usageOrder_.size() > maxUsagesPerEntry * bound_) {
    PrefixUsage const oldest = usageOrder_.front();
    auto const it = byPrefix_.find(oldest.prefix);
    if (it != byPrefix_.end() && it->second.usage == oldest.usage) byPrefix_.erase(it);
    usageOrder_.pop_front();
  }
}

std::int64_t PrefixCacheIndex::lastReplica(std::uint64_t prefix) const {
  auto const it = byPrefix_.find(prefix);
  return it == byPrefix_.end() ? -1 : static_cast<std::int64_t>(it->second.replica);
}

void PrefixCacheIndex::forget(NameIndex replica) {
  std::erase_if(byPrefix_, [&](auto const& entry) { return entry.second.replica == replica; });
}

bool PrefixCacheEstimate::ReplicaCache::isLatest(SegmentUsage const& used) const {
  auto const it = segments.find(used.segment);
  return it != segments.end() && it->second.usage == used.usage;
}

void PrefixCacheEstimate::ReplicaCache::compactUsageOrder() {
  std::erase_if(usageOrder, [this](SegmentUsage const& used) { return !isLatest(used); });
}

void PrefixCacheEstimate::evictOldest(ReplicaCache& cache) {
  while (!cache.usageOrder.empty()) {
    SegmentUsage const oldest = cache.usageOrder.front();
    cache.usageOrder.pop_front();
    if (!cache.isLatest(oldest)) continue;
    auto const it = cache.segments.find(oldest.segment);
    cache.tokens -= it->second.tokens;
    cache.segments.erase(it);
    --count_;
    return;
  }
}

void PrefixCacheEstimate::recordSent(NameIndex replica, std::uint64_t segment, std::int64_t tokens,
                                     std::int64_t capacityTokens) {
  ReplicaCache& cache = byReplica_[replica];
  auto const [it, inserted] = cache.segments.try_emplace(segment, CachedSegment{tokens, 0});
  if (inserted) {
    cache.tokens += tokens;
    ++count_;
  }
  it->second.usage = ++lastUsage_;
  cache.usageOrder.push_back(SegmentUsage{segment, lastUsage_});
  while (cache.segments.size() > 1 && ((capacityTokens > 0 && cache.tokens > capacityTokens) || count_ > bound_))
    evictOldest(cache);
  while (cache.usageOrder.size() > maxUsagesPerEntry * cache.segments.size() + minCompactedUsages)
    cache.compactUsageOrder();
}

bool PrefixCacheEstimate::has(NameIndex replica, std::uint64_t segment) const {
  auto const it = byReplica_.find(replica);
  return it != byReplica_.end() && it->second.segments.count(segment) > 0;
}

void PrefixCacheEstimate::forget(NameIndex replica) {
  auto const it = byReplica_.find(replica);
  if (it == byReplica_.end()) return;
  count_ -= it->second.segments.size();
  byReplica_.erase(it);
}

}  // namespace corkward::scaling
