#pragma once

/// Failure detector: the last reported state of the other members, which of them are alive, and whether a majority is
/// in contact.

#include <map>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class Learner;

/// The last reported state of another member.
struct PeerState {
  /// When its last heartbeat or reply arrived. Before the first one, the time when it became a member.
  Milliseconds lastContactAt = 0;
  bool voting = false;
  /// True if its last heartbeat reports that it is draining.
  bool draining = false;
  /// Revision of the membership that it has adopted.
  std::uint64_t membershipRevision = 0;
  /// Revision of the membership under which it last caught up.
  std::uint64_t caughtUpRevision = 0;
  /// The keys that it owns, with their ballot numbers.
  transport::Revisions ownedKeys;
  /// True if ownedKeys matches the digest in its last heartbeat. Not every heartbeat lists the keys.
  bool ownedKeysKnown = false;
  /// Digest of its accepted revisions.
  transport::Digest acceptedDigest;
  /// Sending time of the latest heartbeat of this member that the peer has replied to, or -1 if there was no reply.
  Milliseconds repliedHeartbeatAt = -1;
  /// The accepted revisions in that reply. Empty if the digest shows that this member knows all of them as committed.
  transport::Revisions acceptedRevisions;
  /// Like repliedHeartbeatAt, but for the latest reply of which this member knows all accepted revisions as committed.
  Milliseconds confirmedHeartbeatAt = -1;
};

/// Tracks the liveness of the members, including this one.
class FailureDetector {
 public:
  FailureDetector(Milliseconds ownerTimeout) : ownerTimeout_(ownerTimeout) {}

  /// Starts the detector at the start of the process.
  void start(Milliseconds now);
  /// Records the time. If the last timer event is longer ago than the owner timeout, this machine was suspended, and
  /// time without contact is counted only from now on.
  void onTimer(Milliseconds now);
  /// Sets the members whose state is tracked.
  void setMembers(Membership const& membership, Milliseconds now);
  /// Records the heartbeat of a member.
  void recordHeartbeat(transport::Heartbeat const& heartbeat, Milliseconds now);
  /// Records a member's reply to a heartbeat of this member.
  void recordReply(transport::HeartbeatReply const& reply, Learner const& learner, Milliseconds now);
  /// Updates `confirmedHeartbeatAt` of the peers after a commit, since this member may now know as committed all
  /// revisions that a peer's last reply reported as accepted.
  void onCommitted(Learner const& learner);
  /// Updates the time since when the live peers, with this member if it votes, have been a majority.
  void updateQuorum(Membership const& membership, std::string const& selfId, bool selfVotes, Milliseconds now);

  /// Returns nullptr if the id is not that of a member.
  PeerState const* find(std::string const& memberId) const;
  std::map<std::string, PeerState> const& peers() const { return peers_; }
  /// Returns true if the peer votes and its last contact is within the owner timeout.
  bool isAlive(std::string const& memberId, Milliseconds now) const;
  /// Returns true if the peer's last heartbeat reports that it is draining.
  bool isDraining(std::string const& memberId) const;
  /// Returns the milliseconds since the last contact with the peer, not counting time before this machine last started
  /// or was resumed. Returns 0 for `selfId`.
  Milliseconds timeSinceContact(std::string const& memberId, std::string const& selfId, Milliseconds now) const;
  /// Returns the live members other than `selfId` that are not draining. They can take over keys and send snapshots.
  std::vector<Member> availablePeers(Membership const& membership, std::string const& selfId, Milliseconds now) const;
  /// Returns true if each of the other members has reported which keys it owns.
  bool allOwnedKeysKnown(Membership const& membership, std::string const& selfId) const;
  /// Returns true if some peer has reported an accepted value of the key that this member did not know as committed.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Returns the highest revision of the key that a peer has reported as accepted, or 0 if there is none.
  std::uint64_t newestAcceptedRevision(std::string const& key) const;
  /// Returns the time of the last contact with a majority, or -1 if there was none.
  /// @param selfConfirmedUntil time of this member's own contact, see Learner::confirmedUntil
  Milliseconds quorumContactAt(Membership const& membership, std::string const& selfId,
                               Milliseconds selfConfirmedUntil) const;
  bool hasQuorum() const { return quorumSince_ >= 0; }
  /// Returns true if a majority has been alive for at least this duration.
  bool hasQuorumFor(Milliseconds duration, Milliseconds now) const {
    return hasQuorum() && now - quorumSince_ >= duration;
  }
  /// Time of the last timer event.
  Milliseconds lastTimerAt() const { return lastTimerAt_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  static void refreshContact(PeerState& peer, Learner const& learner);

  Milliseconds ownerTimeout_;
  Milliseconds lastTimerAt_ = 0;
  /// When this machine last started or was resumed. Time without contact before that does not count.
  Milliseconds resumedAt_ = 0;
  /// Since when a majority has been alive, or -1 if no majority is alive.
  Milliseconds quorumSince_ = -1;
  /// Invariant: one entry for each member of the adopted membership. The entry of this member itself is unused.
  std::map<std::string, PeerState> peers_;
};

}  // namespace corkward::consensus
