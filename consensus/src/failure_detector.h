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
  Tick lastHeardAt = 0;
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
  Tick repliedHeartbeatAt = -1;
  /// Revisions that it had accepted then; empty when the digest shows that all of them are known here.
  transport::Revisions acceptedRevisions;
  /// As repliedHeartbeatAt, of the newest reply all of whose accepted revisions are known as committed here.
  Tick confirmedHeartbeatAt = -1;
};

/// Liveness of the members, this one included.
class FailureDetector {
 public:
  FailureDetector(Tick ownerTimeout) : ownerTimeout_(ownerTimeout) {}

  /// The process starts.
  void start(Tick now);
  /// Time has passed. After a pause longer than the owner timeout (this machine slept) silence counts from now on.
  void onTimer(Tick now);
  /// Sets the members whose state is kept.
  void setMembers(Membership const& membership, Tick now);
  /// A member's heartbeat arrived.
  void recordHeartbeat(transport::Heartbeat const& heartbeat, Tick now);
  /// A member replied to a heartbeat of this one.
  void recordReply(transport::HeartbeatReply const& reply, Learner const& learner, Tick now);
  /// More is committed now: replies that reported it as accepted count as contact.
  void onCommitted(Learner const& learner);
  /// Notes since when this member and its live peers are a majority.
  void updateQuorum(Membership const& membership, std::string const& selfId, bool selfVotes, Tick now);

  /// nullptr for what is no member.
  PeerState const* find(std::string const& memberId) const;
  std::map<std::string, PeerState> const& peers() const { return peers_; }
  /// The peer votes and was heard within the owner timeout.
  bool isAlive(std::string const& memberId, Tick now) const;
  /// The peer reported that it drains.
  bool isDraining(std::string const& memberId) const;
  /// Milliseconds since the peer was heard, less the time in which this machine slept; 0 for `selfId`.
  Tick timeSinceHeard(std::string const& memberId, std::string const& selfId, Tick now) const;
  /// Live members that don't drain, without `selfId`: they can take over keys, and have state to copy.
  std::vector<Member> availablePeers(Membership const& membership, std::string const& selfId, Tick now) const;
  /// Each of the other members has reported which keys it owns.
  bool allOwnedKeysKnown(Membership const& membership, std::string const& selfId) const;
  /// Some peer has reported an accepted value of the key that was not known as committed here.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Newest revision of the key that a peer has reported as accepted; 0: none.
  std::uint64_t newestAcceptedRevision(std::string const& key) const;
  /// When a majority was in contact last, given until when this member's own accepted values were committed; -1: never.
  Tick quorumContactAt(Membership const& membership, std::string const& selfId, Tick selfConfirmedUntil) const;
  bool hasQuorum() const { return quorumSince_ >= 0; }
  /// A majority has been alive for so long.
  bool hasQuorumFor(Tick duration, Tick now) const { return hasQuorum() && now - quorumSince_ >= duration; }
  /// Time of the last timer event.
  Tick lastTimerAt() const { return lastTimerAt_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  static void refreshContact(PeerState& peer, Learner const& learner);

  Tick ownerTimeout_;
  Tick lastTimerAt_ = 0;
  /// When this machine started or woke up last: silence of peers before does not count.
  Tick wokeAt_ = 0;
  /// Since when a majority has been alive; -1: it is not.
  Tick quorumSince_ = -1;
  /// Invariant: one entry for each member of the adopted membership, this member's own unused.
  std::map<std::string, PeerState> peers_;
};

}  // namespace corkward::consensus
