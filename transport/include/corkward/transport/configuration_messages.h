#pragma once

/// Messages by which configuration reaches the routers: updates and their acknowledgements, serving leases, and
/// heartbeats between routers.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/contact_messages.h>
#include <corkward/transport/values.h>

namespace corkward::transport {

/// Sent by a controller to a router when configuration changes or the router lacks some. Also sent between routers: in
/// reply to a ValueRequest, or when a heartbeat shows that the other router lacks entries or wants a snapshot.
struct ConfigurationUpdate {
  /// Number of the update in the sender's session with this router; 0 if the sender is a router.
  std::uint64_t number = 0;
  /// True if `entries` is the sender's complete configuration.
  bool isSnapshot = false;
  std::vector<CommittedEntry> entries;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("w", isSnapshot);
    f("i", entries);
  }
};

/// Sent by a router, after it has applied a ConfigurationUpdate, to its chosen controllers and to the controller that
/// sent the update.
struct ConfigurationAck {
  /// ConfigurationUpdate::number of the update.
  std::uint64_t number = 0;
  /// Link address of the sender, and the incarnation of that process.
  std::string link;
  std::uint64_t incarnation = 0;
  /// Revisions that the router has applied of the update's keys; empty for a snapshot.
  Revisions revisions;
  /// Digest of the router's complete configuration.
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

/// Which routers have applied a key at this revision or a newer one.
struct RolloutProgress {
  std::string key;
  std::uint64_t revision = 0;
  /// Bits as in RouterStatusReport.
  BitSet acknowledgedBy;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("s", revision);
    f("b", acknowledgedBy);
  }
};

/// Sent by a controller to the other members of the control plane, periodically and more often during a rollout: the
/// state of the routers that have a session with the sender. Also sent in reply to such a report with incomplete
/// rollouts. Bit i stands for the i-th router in the sorted links of the roster of `rosterRevision` and of the roster
/// before it.
struct RouterStatusReport {
  std::uint64_t rosterRevision = 0;
  /// Digest of the configuration that the sender knows to be committed.
  Digest committedDigest;
  /// Routers with recent contact.
  BitSet recentlyContacted;
  /// Routers that have the complete configuration of `committedDigest`.
  BitSet upToDate;
  /// Routers with recent contact that are not in the roster.
  std::vector<Contact> unlistedRouters;
  /// In a reply: the progress of the rollouts that the other report listed as incomplete.
  std::vector<RolloutProgress> rolloutProgress;
  /// Rollouts that are not complete as far as the sender knows. If there are any, the receiver replies.
  std::vector<RolloutProgress> incompleteRollouts;
  template <class F>
  void each(F& f) {
    f("r", rosterRevision);
    f("d", committedDigest);
    f("h", recentlyContacted);
    f("w", upToDate);
    f("f", unlistedRouters);
    f("e", rolloutProgress);
    f("a", incompleteRollouts);
  }
};

/// Sent by a router to its chosen controllers, periodically, to renew its serving lease. The reply is
/// ServingLeaseGrant.
struct ServingLeaseRequest {
  /// Time on the sender's clock.
  core::Milliseconds sentAt = 0;
  Contact sender;
  /// True if the router has no complete configuration yet.
  bool wantsSnapshot = false;
  /// Always false: a first snapshot has to be confirmed by a majority in any case. The field stays on the wire for
  /// processes of an earlier version.
  bool acceptsUnconfirmedSnapshot = false;
  /// Digest of the revisions that the router has applied.
  Digest digest;
  /// These revisions in full, if the controller has requested them; else empty.
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

/// An endpoint list of the platform that is newer than the committed one. Routers and controllers forward a new hint to
/// other routers and controllers at once. A hint only removes replicas: those that it does not name, and those that it
/// names as warming up while the committed list has them as serving, are not used. Replicas that the list adds are used
/// only after the control plane has committed the list. A hint ends when its list or another one is committed, or when
/// its source does not renew it; see gossip::RemovalHints.
struct EndpointRemovalHint {
  std::string pool;
  /// Generation of the endpoint list.
  std::uint64_t generation = 0;
  /// Incarnations of the replicas that serve.
  std::vector<std::string> serving;
  /// Incarnations of the replicas that are warming up.
  std::vector<std::string> cold;
  /// Link of the controller that has read the list. Empty if the platform has sent the list, whose generation then
  /// orders it among all lists of the platform.
  std::string source = {};
  /// Incarnation of that controller, and the number of the hint among its hints.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// Fencing token: the revision of the committed list that this list is to replace. Once a newer revision is
  /// committed, the hint is void. 0 if the list replaces any list of a lower generation.
  std::uint64_t baseRevision = 0;
  /// For how long the hint has been held since its source created or renewed it, in milliseconds.
  core::Milliseconds age = 0;
  template <class F>
  void each(F& f) {
    f("p", pool);
    f("g", generation);
    f("s", serving);
    f("c", cold);
    f.unlessDefault("o", source);
    f.unlessDefault("i", incarnation);
    f.unlessDefault("n", sequence);
    f.unlessDefault("b", baseRevision);
    f.unlessDefault("a", age);
  }
};

/// Sent by a controller to a router, in reply to a ServingLeaseRequest. It renews the router's serving lease if the
/// controller has a quorum and the router has applied everything in `digest`.
struct ServingLeaseGrant {
  /// ServingLeaseRequest::sentAt of the request.
  core::Milliseconds requestSentAt = 0;
  /// True if the controller has recent contact with a majority of the members.
  bool hasQuorum = false;
  /// Age of that contact, in milliseconds.
  core::Milliseconds quorumAge = 0;
  /// Digest of the revisions that the controller knows to be on a majority of the disks. The grant counts only once the
  /// router has applied them.
  Digest digest;
  /// These revisions in full if the digest of the request was another; else empty.
  Revisions revisions;
  /// True if the controller does not know which revisions the router has, so that the next request must list them.
  bool wantsRevisions = false;
  /// Revision of the roster if its rollout is complete as far as the controller knows; else 0.
  std::uint64_t rosterRevision = 0;
  /// All hints that are newer than the committed endpoint lists.
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

/// Sent by a router to some neighbour routers, periodically and more often while it has no valid lease from a
/// controller. The reply is a PeerHeartbeat with `isReply`. Both report what configuration they have, so that each can
/// send the other what it lacks.
struct PeerHeartbeat {
  /// Time on the clock of the router that sent the request; the reply repeats it.
  core::Milliseconds sentAt = 0;
  bool isReply = false;
  /// True if the sender has no complete configuration and wants the receiver to send a snapshot.
  bool wantsSnapshot = false;
  /// True if the sender has a complete configuration.
  bool hasSnapshot = false;
  /// Link address of the sender.
  std::string link;
  /// Digest of the revisions that the sender has applied.
  Digest digest;
  /// In a reply, if the digests of the request and of the reply differ: the revisions that the sender of the reply has
  /// applied. Otherwise empty.
  Revisions revisions;
  /// True if the sender has no valid lease from a controller and needs `ages` in the reply.
  bool wantsAges = false;
  /// In a reply with `ages`: the revision of the roster that they refer to.
  std::uint64_t rosterRevision = 0;
  /// In a reply, one byte for each link of that roster, in sorted order: an upper bound, in units of ageUnit, of the
  /// time since that router had no newer configuration than the sender. 255 if the bound is greater or not known.
  std::string ages;
  /// Hints that the sender knows.
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

/// Milliseconds per unit of PeerHeartbeat::ages.
inline constexpr core::Milliseconds ageUnit = 10;

}  // namespace corkward::transport
