#pragma once

/// Agreement between the members on one value for each key, their heartbeats, and catching up.

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/values.h>

namespace corkward::transport {

/// Asks a member to promise an epoch of a key.
struct Prepare {
  std::string key;
  Ballot ballot;
  std::string member;
  std::uint64_t membershipRevision = 0;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("c", membershipRevision);
  }
};

/// Answer to a Prepare: promised or not, the ballot that the member holds to, and what it accepted last.
struct Promise {
  std::string key;
  Ballot ballot;
  std::string member;
  bool granted = false;
  Ballot promised;
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

/// Asks a member to accept a value under a ballot and write it to its disk.
struct Accept {
  std::string key;
  Ballot ballot;
  std::string member;
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

/// Answer to an Accept, sent once the value is on the member's synced disk, or with the ballot that stands against it.
struct Accepted {
  std::string key;
  Ballot ballot;
  std::string member;
  std::uint64_t revision = 0;
  bool granted = false;
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

/// Tells that an item is on a majority of the disks.
struct Commit {
  Ballot ballot;
  CommittedEntry entry;
  template <class F>
  void each(F& f) {
    f("e", ballot);
    f("i", entry);
  }
};

/// Names the receiver as the successor of a key's owner.
struct Handover {
  std::string key;
  Ballot ballot;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
  }
};

/// Standing of one membership member, sent to the others.
struct Heartbeat {
  core::Milliseconds sentAt = 0;
  std::string member;
  bool hasNoState = false;
  bool voting = false;
  std::uint64_t membershipRevision = 0;
  /// Revision of the membership under which the member last brought its state up to a majority's.
  std::uint64_t caughtUpRevision = 0;
  /// Empty for a member that said it has this membership.
  QJsonObject membershipValue;
  /// What the sender knows to be on a majority of the disks.
  Digest committedDigest;
  /// Keys that the sender owns, with their epochs.
  Digest ownedDigest;
  /// The same in full, after a change or when it was asked for.
  Revisions ownedKeys;
  /// The sender drains and will end.
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

/// Word of a machine that serves operators without a disk, to a disk that has not joined yet: it founds nothing and is
/// never a member.
struct NotAVotingMember {
  template <class F>
  void each(F&) {}
};

/// Answer to a Heartbeat: what the member has accepted, so that the asker can confirm its keys and learn what it lacks.
struct HeartbeatReply {
  core::Milliseconds requestSentAt = 0;
  std::string member;
  bool voting = false;
  /// Newest revisions this member has accepted, committed or not.
  Digest acceptedDigest;
  /// The same in full, when what the asker knows is another set.
  Revisions accepted;
  /// Keys of the asker for which this member has promised a higher epoch.
  Revisions higherBallots;
  /// The asker's keys are not known here as it owns them now.
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

/// One slot of a member's write-ahead log, for a member that copies.
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

/// Asks for a value that is on a majority, or, when copying, for all slots that are newer than the asker's.
struct ValueRequest {
  /// When copying: only keys behind this one, which the asker had before.
  std::string key;
  bool isCatchUp = false;
  std::string member;
  std::uint64_t membershipRevision = 0;
  /// The asker's slots without their values.
  std::vector<RecordSlot> knownSlots = {};
  /// Number of this question, for its answer; 0 from releases that take an answer in one piece alone.
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

/// Reply to a catch-up ValueRequest: the slots that are newer than the asker's.
struct SnapshotChunk {
  std::string member;
  /// Revision of the membership that the answering member goes by.
  std::uint64_t membershipRevision = 0;
  std::vector<RecordSlot> slots;
  /// Number of the question that this answers; 0 from releases that don't number them.
  std::uint64_t requestNumber = 0;
  /// There are more slots behind the last one.
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
