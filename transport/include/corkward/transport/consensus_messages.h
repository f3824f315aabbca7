#pragma once

/// Messages between the members of the control plane: consensus on one value for each key, heartbeats and catch-up.

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/values.h>

namespace corkward::transport {

/// Sent by a member that wants to become the owner of a key to all members: phase 1 of the consensus. The reply is
/// Promise.
struct Prepare {
  std::string key;
  /// Ballot of the sender.
  Ballot ballot;
  /// Id of the sender.
  std::string member;
  /// Revision of the sender's membership.
  std::uint64_t membershipRevision = 0;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("c", membershipRevision);
  }
};

/// Sent in reply to a Prepare, with what the member has accepted last.
struct Promise {
  std::string key;
  /// Ballot of the Prepare.
  Ballot ballot;
  /// Id of the member that replies.
  std::string member;
  /// True if the member promises to accept nothing under a lower ballot.
  bool granted = false;
  /// Highest ballot that the member has promised.
  Ballot promised;
  /// Ballot, revision and value that the member has accepted last.
  Ballot acceptedBallot;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("o", granted);
    f("p", promised);
    f("a", acceptedBallot);
    f("s", revision);
    f("v", value);
  }
};

/// Sent by the owner of a key to all members: phase 2 of the consensus. The member accepts the value under the ballot
/// and writes it to its disk. The reply is Accepted.
struct Accept {
  std::string key;
  Ballot ballot;
  /// Id of the sender.
  std::string member;
  /// Revision of the sender's membership.
  std::uint64_t membershipRevision = 0;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("c", membershipRevision);
    f("s", revision);
    f("v", value);
  }
};

/// Sent in reply to an Accept: once the value is synced to the member's disk, or at once if a higher ballot was
/// promised.
struct Accepted {
  std::string key;
  /// Ballot of the Accept.
  Ballot ballot;
  /// Id of the member that replies.
  std::string member;
  std::uint64_t revision = 0;
  /// True if the member has accepted the value.
  bool granted = false;
  /// Highest ballot that the member has promised.
  Ballot promised;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("s", revision);
    f("o", granted);
    f("p", promised);
  }
};

/// Sent by the owner of a key to the other members once the entry is on a majority of the disks, and in reply to a
/// ValueRequest for one key.
struct Commit {
  Ballot ballot;
  CommittedEntry entry;
  template <class F>
  void each(F& f) {
    f("e", ballot);
    f("i", entry);
  }
};

/// Sent by the owner of a key to another member when the owner drains: the receiver shall become the owner.
struct Handover {
  std::string key;
  Ballot ballot;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
  }
};

/// Sent by a member, or by a controller that wants to become one, to all members and, while
/// a cluster is founded, to the controllers that it has discovered, periodically. The reply is
/// HeartbeatReply, or a Heartbeat if the sender is not in the receiver's membership.
struct Heartbeat {
  /// Time on the sender's clock.
  core::Milliseconds sentAt = 0;
  /// Id of the sender.
  std::string member;
  /// True if the sender has no state of the cluster yet, so that it may join or found one.
  bool hasNoState = false;
  /// True if the sender votes at present.
  bool voting = false;
  std::uint64_t membershipRevision = 0;
  /// Revision of the membership under which the sender last completed its catch-up with a majority.
  std::uint64_t caughtUpRevision = 0;
  /// The membership; empty if the receiver has reported the same revision.
  QJsonObject membershipValue;
  /// Digest of the revisions that the sender knows to be on a majority of the disks.
  Digest committedDigest;
  /// Digest of the keys that the sender owns, with the numbers of their ballots.
  Digest ownedDigest;
  /// These keys in full after a change or if a reply has requested them; else empty.
  Revisions ownedKeys;
  /// True if the sender drains and will exit.
  bool draining = false;
  template <class F>
  void each(F& f) {
    f.optional("l", draining);
    f("t", sentAt);
    f("m", member);
    f("e", hasNoState);
    f("v", voting);
    f("c", membershipRevision);
    f("s", caughtUpRevision);
    f("cv", membershipValue);
    f("k", committedDigest);
    f("d", ownedDigest);
    f("o", ownedKeys);
  }
};

/// Sent by a controller without a disk in reply to the Heartbeat of a controller that has no state yet: the sender only
/// relays operator calls, is never a member, and must not be waited for when a cluster is founded.
struct NotAVotingMember {
  template <class F>
  void each(F&) {}
};

/// Sent in reply to a Heartbeat. It reports what the member has accepted, so that the sender of the heartbeat can
/// confirm its ownership of keys and learn what it lacks.
struct HeartbeatReply {
  /// Heartbeat::sentAt of the heartbeat.
  core::Milliseconds requestSentAt = 0;
  /// Id of the member that replies.
  std::string member;
  /// True if this member votes at present.
  bool voting = false;
  /// Digest of the newest revisions that this member has accepted, whether they are committed or not.
  Digest acceptedDigest;
  /// These revisions in full if `committedDigest` of the heartbeat was another digest; else empty.
  Revisions accepted;
  /// Keys that the heartbeat claims to own, but for which this member has promised a higher ballot, with its number.
  Revisions higherBallots;
  /// True if this member does not know which keys the sender of the heartbeat owns now.
  bool wantsOwnedKeys = false;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("m", member);
    f("v", voting);
    f("d", acceptedDigest);
    f("a", accepted);
    f("h", higherBallots);
    f("w", wantsOwnedKeys);
  }
};

/// The record of one key in a member's write-ahead log, for a member that catches up.
struct RecordSlot {
  std::string key;
  Ballot promised;
  Ballot acceptedBallot;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("p", promised);
    f("a", acceptedBallot);
    f("s", revision);
    f("v", value);
  }
};

/// Sent by a member or router that lacks the newest value of a key. A member replies with Commit, a router with
/// ConfigurationUpdate. With `isCatchUp`, a member requests all slots of another member that are newer than its own;
/// the reply is SnapshotChunk.
struct ValueRequest {
  /// The requested key. With `isCatchUp`, only slots with greater keys are requested.
  std::string key;
  bool isCatchUp = false;
  /// With `isCatchUp`: id of the sender and the revision of its membership.
  std::string member;
  std::uint64_t membershipRevision = 0;
  /// With `isCatchUp`: the sender's slots without their values.
  std::vector<RecordSlot> knownSlots = {};
  /// Number of this request, which the reply repeats; 0 from releases that only accept all slots in one reply.
  std::uint64_t requestNumber = 0;
  template <class F>
  void each(F& f) {
    f.optional("a", requestNumber);
    f("k", key);
    f("c", isCatchUp);
    f("m", member);
    f("n", membershipRevision);
    f("h", knownSlots);
    f.optional("a", requestNumber);
  }
};

/// Sent by a member in reply to a ValueRequest with `isCatchUp`: slots that are newer than those of the request.
struct SnapshotChunk {
  /// Id of the sender.
  std::string member;
  /// Revision of the sender's membership.
  std::uint64_t membershipRevision = 0;
  std::vector<RecordSlot> slots;
  /// ValueRequest::requestNumber of the request; 0 from releases that do not number requests.
  std::uint64_t requestNumber = 0;
  /// True if there are more newer slots with keys after the last one of this chunk.
  bool hasMore = false;
  template <class F>
  void each(F& f) {
    f.optional("a", requestNumber);
    f.optional("o", hasMore);
    f("m", member);
    f("n", membershipRevision);
    f("s", slots);
    f.optional("a", requestNumber);
    f.optional("o", hasMore);
  }
};

}  // namespace corkward::transport
