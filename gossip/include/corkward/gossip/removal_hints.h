#pragma once

/// Removal hints as a soft state: each hint has a source that renews it, and ends at every process when it is not
/// renewed. The ageing follows that of link-state advertisements in OSPF (RFC 2328, section 14): a hint carries its
/// age, which grows while it is held and by a fixed amount with each forwarding.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/configuration_messages.h>

namespace corkward::gossip {

using core::Milliseconds;

/// Age at which a hint ends, in milliseconds. It covers the election of another reader of the endpoint lists and two of
/// its readings, so that a removal stays in effect while the reader changes.
inline constexpr Milliseconds removalHintLifetime = 6000;
/// Age that a hint gains with each forwarding, in milliseconds. It bounds how often a hint can be forwarded, even if
/// clocks hardly advance between two processes that keep sending it to each other.
inline constexpr Milliseconds removalHintHopAge = 50;
/// How long a hint of a source is remembered after it has ended, in milliseconds, so that a copy of it which arrives
/// late is not taken for a new one. It covers the longest time for which a network partition or a suspended process
/// holds a message up.
inline constexpr Milliseconds endedHintMemory = 120000;
/// A repetition of a hint without a source is a renewal if the hint then ends later by at least this, in milliseconds.
/// Otherwise it is a copy that peers have sent back and that has aged less than its way took.
inline constexpr Milliseconds minRenewal = 500;

/// Which endpoint list of a pool this process has committed. Both numbers are 0 if it has none.
struct CommittedListVersion {
  /// Revision of the pool's key.
  std::uint64_t revision = 0;
  /// Generation of the endpoint list.
  std::uint64_t generation = 0;
};

/// The removal hints that are in effect at a process, by pool and source.
class RemovalHints {
 public:
  enum class Change {
    /// The hint has ended, is superseded by the committed list, or is older than the one known from its source.
    ignored,
    /// The hint says the same as the one in effect from its source, and stays in effect for longer.
    renewed,
    /// The hint says something new, or takes effect again.
    added,
  };

  /// Adds a hint that this process creates or receives. Another copy of a hint that has a source never prolongs it;
  /// only its source renews it, under the next number.
  Change add(Milliseconds now, transport::EndpointRemovalHint const& hint, CommittedListVersion const& committed);
  /// Removes the pool's hints that a newly committed list supersedes.
  void onListCommitted(std::string const& pool, CommittedListVersion const& committed);
  /// Ends the hints whose lifetime is over. Returns the pools that lost one.
  std::vector<std::string> expire(Milliseconds now);

  /// Returns true if no hint is in effect.
  bool empty() const;
  /// Returns the hints of a pool. A replica is out of use if one of them does not name it.
  std::vector<transport::EndpointRemovalHint const*> ofPool(std::string const& pool) const;
  /// Returns the greatest generation among the pool's hints, or 0 if it has none.
  std::uint64_t newestGeneration(std::string const& pool) const;
  /// Returns all hints with the ages that they have when they are sent now.
  std::vector<transport::EndpointRemovalHint> toForward(Milliseconds now) const;

 private:
  struct Entry {
    transport::EndpointRemovalHint hint;
    Milliseconds expiresAt = 0;
    /// The hint is not in effect any more. Only hints with a source are kept so.
    bool hasEnded = false;
  };
  /// Pool and EndpointRemovalHint::source.
  using Key = std::pair<std::string, std::string>;

  /// Adds a hint of a source that is known already.
  static Change update(Entry& known, transport::EndpointRemovalHint const& hint, Milliseconds expiresAt);
  /// Calls `visit` with each entry of the pool that is in effect.
  template <class Visitor>
  void visitPool(std::string const& pool, Visitor visit) const {
    for (auto it = hints_.lower_bound(Key{pool, ""}); it != hints_.end() && it->first.first == pool; ++it)
      if (!it->second.hasEnded) visit(it->second);
  }

  std::map<Key, Entry> hints_;
};

/// Returns true if a committed list ends the hint: its own list or another one was committed after the list that the
/// hint builds on.
bool isSuperseded(transport::EndpointRemovalHint const& hint, CommittedListVersion const& committed);

/// Returns the hint with the age that it has when it is forwarded at once.
transport::EndpointRemovalHint forwarded(transport::EndpointRemovalHint hint);

}  // namespace corkward::gossip
