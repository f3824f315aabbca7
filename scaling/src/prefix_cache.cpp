#include <corkward/scaling/prefix_cache.h>

#include <utility>

namespace corkward::scaling {

void PrefixCacheIndex::recordServed(std::uint64_t prefix, NameIndex replica) {
  byPrefix_[prefix] = {replica, ++turn_};
  order_.emplace_back(prefix, turn_);
  while (byPrefix_.size() > bound_ || order_.size() > 4 * bound_) {
    std::unordered_map<std::uint64_t, std::pair<NameIndex, std::uint64_t>>::const_iterator const it =
        byPrefix_.find(order_.front().first);
    if (it != byPrefix_.end() && it->second.second == order_.front().second) byPrefix_.erase(it);
    order_.pop_front();
  }
}

std::int64_t PrefixCacheIndex::lastReplica(std::uint64_t prefix) const {
  std::unordered_map<std::uint64_t, std::pair<NameIndex, std::uint64_t>>::const_iterator const it =
      byPrefix_.find(prefix);
  return it == byPrefix_.end() ? -1 : static_cast<std::int64_t>(it->second.first);
}

void PrefixCacheIndex::forget(NameIndex replica) {
  std::erase_if(byPrefix_,
                [&](std::unordered_map<std::uint64_t, std::pair<NameIndex, std::uint64_t>>::value_type const& p) {
                  return p.second.first == replica;
                });
}

void PrefixCacheEstimate::dropOldest(Memory& m) {
  while (!m.order.empty()) {
    std::pair<std::uint64_t, std::uint64_t> const oldest = m.order.front();
    m.order.pop_front();
    std::unordered_map<std::uint64_t, std::pair<std::int64_t, std::uint64_t>>::const_iterator const it =
        m.parts.find(oldest.first);
    if (it == m.parts.end() || it->second.second != oldest.second) continue;
    m.tokens -= it->second.first;
    m.parts.erase(it);
    --count_;
    return;
  }
}

void PrefixCacheEstimate::recordSent(NameIndex replica, std::uint64_t part, std::int64_t tokens, std::int64_t memory) {
  Memory& m = byReplica_[replica];
  std::pair<std::unordered_map<std::uint64_t, std::pair<std::int64_t, std::uint64_t>>::iterator, bool> const at =
      m.parts.try_emplace(part, tokens, 0);
  if (at.second) {
    m.tokens += tokens;
    ++count_;
  }
  at.first->second.second = ++turn_;
  m.order.emplace_back(part, turn_);
  while (m.parts.size() > 1 && ((memory > 0 && m.tokens > memory) || count_ > bound_)) dropOldest(m);
  while (m.order.size() > 4 * m.parts.size() + 16) {
    std::deque<std::pair<std::uint64_t, std::uint64_t>> kept;
    for (std::pair<std::uint64_t, std::uint64_t> const& o : m.order)
      if (m.parts.count(o.first) > 0 && m.parts.at(o.first).second == o.second) kept.push_back(o);
    m.order = std::move(kept);
  }
}

bool PrefixCacheEstimate::has(NameIndex replica, std::uint64_t part) const {
  std::unordered_map<NameIndex, Memory>::const_iterator const it = byReplica_.find(replica);
  return it != byReplica_.end() && it->second.parts.count(part) > 0;
}

void PrefixCacheEstimate::forget(NameIndex replica) {
  std::unordered_map<NameIndex, Memory>::const_iterator const it = byReplica_.find(replica);
  if (it == byReplica_.end()) return;
  count_ -= it->second.parts.size();
  byReplica_.erase(it);
}

}  // namespace corkward::scaling
