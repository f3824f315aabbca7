#include <corkward/gossip/removal_hints.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace corkward::gossip {

namespace {

using transport::EndpointRemovalHint;

/// Orders the hints of one source. Hints of a reader are numbered by it; those that the platform sends, which have no
/// source, are ordered by the platform's generation.
auto positionOf(EndpointRemovalHint const& hint) {
  return hint.source.empty() ? std::tuple(hint.generation, std::uint64_t{0})
                             : std::tuple(hint.incarnation, hint.sequence);
}

bool hasSameContent(EndpointRemovalHint const& left, EndpointRemovalHint const& right) {
  return left.serving == right.serving && left.cold == right.cold && left.baseRevision == right.baseRevision &&
         left.generation == right.generation;
}

}  // namespace

bool isSuperseded(EndpointRemovalHint const& hint, CommittedListVersion const& committed) {
  if (hint.baseRevision > 0) return committed.revision > hint.baseRevision;
  return hint.generation <= committed.generation;
}

EndpointRemovalHint forwarded(EndpointRemovalHint hint) {
  hint.age += removalHintHopAge;
  return hint;
}

RemovalHints::Change RemovalHints::add(Milliseconds now, EndpointRemovalHint const& hint,
                                       CommittedListVersion const& committed) {
  bool const isPoolKnown = committed.revision > 0;
  if (!isPoolKnown || hint.age >= removalHintLifetime || isSuperseded(hint, committed)) return Change::ignored;
  Milliseconds const expiresAt = now + removalHintLifetime - hint.age;
  auto const [it, isNewSource] = hints_.try_emplace(Key{hint.pool, hint.source}, Entry{hint, expiresAt});
  return isNewSource ? Change::added : update(it->second, hint, expiresAt);
}

RemovalHints::Change RemovalHints::update(Entry& known, EndpointRemovalHint const& hint, Milliseconds expiresAt) {
  bool const isOtherLife = known.hasEnded && hint.incarnation != known.hint.incarnation;
  if (positionOf(hint) < positionOf(known.hint) && !isOtherLife) return Change::ignored;
  bool const isSame = hasSameContent(known.hint, hint);
  bool const isCopy = positionOf(hint) == positionOf(known.hint);
  bool const isRenewal = hint.source.empty() && isSame && expiresAt - known.expiresAt >= minRenewal;
  if (isCopy && !isRenewal) return Change::ignored;
  bool const wasInEffect = !known.hasEnded;
  known = Entry{hint, expiresAt};
  return isSame && wasInEffect ? Change::renewed : Change::added;
}

void RemovalHints::onListCommitted(std::string const& pool, CommittedListVersion const& committed) {
  std::erase_if(hints_, [&](auto const& entry) {
    return entry.first.first == pool && isSuperseded(entry.second.hint, committed);
  });
}

std::vector<std::string> RemovalHints::expire(Milliseconds now) {
  std::set<std::string> pools;
  for (auto& [key, entry] : hints_) {
    bool const ends = !entry.hasEnded && now >= entry.expiresAt;
    if (!ends) continue;
    entry.hasEnded = true;
    pools.insert(key.first);
  }
  std::erase_if(hints_, [&](auto const& entry) {
    bool const hasSource = !entry.first.second.empty();
    return entry.second.hasEnded && (!hasSource || now >= entry.second.expiresAt + endedHintMemory);
  });
  return {pools.begin(), pools.end()};
}

bool RemovalHints::empty() const {
  return std::all_of(hints_.begin(), hints_.end(), [](auto const& entry) { return entry.second.hasEnded; });
}

std::vector<EndpointRemovalHint const*> RemovalHints::ofPool(std::string const& pool) const {
  std::vector<EndpointRemovalHint const*> hints;
  visitPool(pool, [&](Entry const& entry) { hints.push_back(&entry.hint); });
  return hints;
}

std::uint64_t RemovalHints::newestGeneration(std::string const& pool) const {
  std::uint64_t newest = 0;
  visitPool(pool, [&](Entry const& entry) { newest = std::max(newest, entry.hint.generation); });
  return newest;
}

std::vector<EndpointRemovalHint> RemovalHints::toForward(Milliseconds now) const {
  std::vector<EndpointRemovalHint> hints;
  for (auto const& [key, entry] : hints_) {
    if (entry.hasEnded) continue;
    EndpointRemovalHint hint = entry.hint;
    hint.age = removalHintLifetime - (entry.expiresAt - now);
    hint = forwarded(std::move(hint));
    if (hint.age < removalHintLifetime) hints.push_back(std::move(hint));
  }
  return hints;
}

}  // namespace corkward::gossip
