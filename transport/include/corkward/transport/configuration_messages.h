#pragma once

/// How configuration reaches the routers: pushes, acknowledgements, confirmations of serving leases, and touches.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/contact_messages.h>
#include <corkward/transport/values.h>

namespace corkward::transport {

/// A numbered push of changes down one link.
struct ConfigurationUpdate {
  std::uint64_t number = 0;
  bool isSnapshot = false;
  std::vector<CommittedEntry> entries;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("w", isSnapshot);
    f("i", entries);
  }
};

/// What a router has in force of the keys that the news named, and a digest of all that it has; told to the
/// controllers that hold it.
struct ConfigurationAck {
  std::uint64_t number = 0;
  std::string link;
  std::uint64_t incarnation = 0;
  Revisions revisions;
  Digest digest;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("l", link);
    f("i", incarnation);
    f("s", revisions);
    f("d", digest);
  }
};

/// Which routers have a key under that revision or a newer one.
struct RolloutProgress {
  std::string key;
  std::uint64_t revision = 0;
  BitSet acknowledgedBy;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("s", revision);
    f("b", acknowledgedBy);
  }
};

/// What a controller tells the others of the routers that it holds. Bits go by the links of the roster of that revision
/// and of the one before it, sorted.
struct RouterStatusReport {
  std::uint64_t rosterRevision = 0;
  Digest committedDigest;
  /// Heard from lately.
  BitSet recentlyHeard;
  /// Have all that the digest stands for.
  BitSet upToDate;
  /// Heard from lately and not on the roster.
  std::vector<Contact> unlistedRouters;
  /// How far the asked changes are.
  std::vector<RolloutProgress> rolloutProgress;
  /// Changes not yet in force as far as the sender knows; wants an answer.
  std::vector<RolloutProgress> incompleteRollouts;
  template <class F>
  void each(F& f) {
    f("r", rosterRevision);
    f("d", committedDigest);
    f("h", recentlyHeard);
    f("w", upToDate);
    f("f", unlistedRouters);
    f("e", rolloutProgress);
    f("a", incompleteRollouts);
  }
};

/// A router asks a controller for a confirmation of its serving lease.
struct ServingLeaseRequest {
  core::Milliseconds sentAt = 0;
  Contact sender;
  bool wantsSnapshot = false;
  /// Always false: a first snapshot is confirmed by a majority whatever the asker says. Kept on the wire for processes
  /// of an earlier version.
  bool acceptsUnconfirmedSnapshot = false;
  /// What the router has in force.
  Digest digest;
  /// The same in full, when the controller asked for it.
  Revisions revisions;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("c", sender);
    f("w", wantsSnapshot);
    f("y", acceptsUnconfirmedSnapshot);
    f("d", digest);
    f("s", revisions);
  }
};

/// A platform's list that is newer than the one in force. It only ever takes away: what it does not name, or names
/// cold where the list in force says serving, is not used; what it adds waits for control.
struct EndpointRemovalHint {
  std::string pool;
  std::uint64_t generation = 0;
  std::vector<std::string> serving;
  std::vector<std::string> cold;
  template <class F>
  void each(F& f) {
    f("p", pool);
    f("g", generation);
    f("s", serving);
    f("c", cold);
  }
};

/// Reply to a ServingLeaseRequest: whether the controller is in touch with a majority, how old that contact is, and
/// what is known.
struct ServingLeaseGrant {
  core::Milliseconds requestSentAt = 0;
  bool hasQuorum = false;
  core::Milliseconds quorumAge = 0;
  /// What the controller knows to be on a majority of the disks: all that the router must know for this to count.
  Digest digest;
  /// The same in full, when the asker's digest is another.
  Revisions revisions;
  /// The controller does not know what the router has.
  bool wantsRevisions = false;
  /// Newest revision of the roster that is known to be in force.
  std::uint64_t rosterRevision = 0;
  std::vector<EndpointRemovalHint> removalHints;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("i", hasQuorum);
    f("a", quorumAge);
    f("d", digest);
    f("s", revisions);
    f("w", wantsRevisions);
    f("r", rosterRevision);
    f("h", removalHints);
  }
};

/// Contact between routers, with what each has in force.
struct PeerHeartbeat {
  core::Milliseconds sentAt = 0;
  bool isReply = false;
  bool wantsSnapshot = false;
  bool hasSnapshot = false;
  std::string link;
  Digest digest;
  /// The same in full, in an echo when the asker's digest is another.
  Revisions revisions;
  /// The asker lacks control, and wants ages.
  bool wantsAges = false;
  /// Revision of the roster that the ages go by.
  std::uint64_t rosterRevision = 0;
  /// For each link of that roster, sorted, one byte: in units of ageUnit, how long ago at the most that router had
  /// nothing in force which the sender lacks; 255: longer, or not known.
  std::string ages;
  std::vector<EndpointRemovalHint> removalHints;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("e", isReply);
    f("w", wantsSnapshot);
    f("h", hasSnapshot);
    f("l", link);
    f("d", digest);
    f("s", revisions);
    f("a", wantsAges);
    f("r", rosterRevision);
    f("g", ages);
    f("n", removalHints);
  }
};

/// Milliseconds that one unit of a PeerHeartbeat's ages stands for.
inline constexpr core::Milliseconds ageUnit = 10;

}  // namespace corkward::transport
