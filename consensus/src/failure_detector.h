#pragma once

/// Failure detector: what the other members last reported, who counts as alive, and contact with a majority.

#include <map>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class Learner;

/// What another member last reported.
struct PeerState {
  /// When its last heartbeat or reply arrived; at first when it became a member.
  Milliseconds lastHeardAt = 0;
  bool voting = false;
  /// It drains, and has not come back since.
  bool draining = false;
  /// Revision of the membership that it goes by.
  std::uint64_t membershipRevision = 0;
  /// Revision of the membership under which it caught up last.
  std::uint64_t caughtUpRevision = 0;
  /// Keys that it owns, with its ballot numbers.
  transport::Revisions ownedKeys;
  /// ownedKeys are what its last heartbeat means.
  bool ownedKeysKnown = false;
  /// Digest of what it has accepted.
  transport::Digest acceptedDigest;
  /// Sending time of this member's newest heartbeat that it replied to; -1: none.
  Milliseconds repliedHeartbeatAt = -1;
  /// Revisions that it had accepted then; empty when the digest shows that all of them are known here.
  transport::Revisions acceptedRevisions;
  /// As repliedHeartbeatAt, of the newest reply all of whose accepted revisions are known as committed here.
  Milliseconds confirmedHeartbeatAt = -1;
};

/// Liveness of the members, this one included.
class FailureDetector {
 public:
  FailureDetector(Milliseconds ownerTimeout) : ownerTimeout_(ownerTimeout) {}

  /// The process starts.
  void start(Milliseconds now);
  /// Time has passed. After a pause longer than the owner timeout (this machine slept) silence counts from now on.
  void onTimer(Milliseconds now);
  /// Sets the members whose state is kept.
  void setMembers(Membership const& membership, Milliseconds now);
  /// A member's heartbeat arrived.
  void recordHeartbeat(transport::Heartbeat const& heartbeat, Milliseconds now);
  /// A member replied to a heartbeat of this one.
  void recordReply(transport::HeartbeatReply const& reply, Learner const& learner, Milliseconds now);
  /// More is committed now: replies that reported it as accepted count as contact.
  void onCommitted(Learner const& learner);
  /// Notes since when this member and its live peers are a majority.
  void updateQuorum(Membership const& membership, std::string const& selfId, bool selfVotes, Milliseconds now);

  /// nullptr for what is no member.
  PeerState const* find(std::string const& memberId) const;
  std::map<std::string, PeerState> const& peers() const { return peers_; }
  /// The peer votes and was heard within the owner timeout.
  bool isAlive(std::string const& memberId, Milliseconds now) const;
  /// The peer reported that it drains.
  bool isDraining(std::string const& memberId) const;
  /// Milliseconds since the peer was heard, less the time in which this machine slept; 0 for `selfId`.
  Milliseconds timeSinceHeard(std::string const& memberId, std::string const& selfId, Milliseconds now) const;
  /// Live members that don't drain, without `selfId`: they can take over keys, and have state to copy.
  std::vector<Member> availablePeers(Membership const& membership, std::string const& selfId, Milliseconds now) const;
  /// Each of the other members has reported which keys it owns.
  bool allOwnedKeysKnown(Membership const& membership, std::string const& selfId) const;
  /// Some peer has reported an accepted value of the key that was not known as committed here.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Newest revision of the key that a peer has reported as accepted; 0: none.
  std::uint64_t newestAcceptedRevision(std::string const& key) const;
  /// When a majority was in contact last, given until when this member's own accepted values were committed; -1: never.
  Milliseconds quorumContactAt(Membership const& membership, std::string const& selfId,
                               Milliseconds selfConfirmedUntil) const;
  bool hasQuorum() const { return quorumSince_ >= 0; }
  /// A majority has been alive for so long.
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
  /// When this machine started or woke up last: silence of peers before does not count.
  Milliseconds wokeAt_ = 0;
  /// Since when a majority has been alive; -1: it is not.
  Milliseconds quorumSince_ = -1;
  /// Invariant: one entry for each member of the adopted membership, this member's own unused.
  std::map<std::string, PeerState> peers_;
};

}  // namespace corkward::consensus
