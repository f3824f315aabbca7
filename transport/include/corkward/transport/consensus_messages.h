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
  std::uint64_t membership = 0;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("c", membership);
  }
};

/// Answer to a Prepare: promised or not, the ballot that the member holds to, and what it accepted last.
struct Promise {
  std::string key;
  Ballot ballot;
  std::string member;
  bool ok = false;
  Ballot promised;
  Ballot acceptedBallot;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("o", ok);
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
  std::uint64_t membership = 0;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("c", membership);
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
  bool ok = false;
  Ballot promised;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("e", ballot);
    f("m", member);
    f("s", revision);
    f("o", ok);
    f("p", promised);
  }
};

/// Tells that an item is on a majority of the disks.
struct Commit {
  Ballot ballot;
  Item item;
  template <class F>
  void each(F& f) {
    f("e", ballot);
    f("i", item);
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
  core::Tick tick = 0;
  std::string member;
  bool empty = false;
  bool voting = false;
  std::uint64_t membership = 0;
  /// Revision of the membership under which the member last brought its state up to a majority's.
  std::uint64_t caughtUp = 0;
  /// Empty for a member that said it has this membership.
  QJsonObject membershipValue;
  /// What the sender knows to be on a majority of the disks.
  Digest known;
  /// Keys that the sender owns, with their epochs.
  Digest owns;
  /// The same in full, after a change or when it was asked for.
  Revisions owned;
  /// The sender drains and will end.
  bool leaving = false;
  template <class F>
  void each(F& f) {
    f.optional("l", leaving);
    f("t", tick);
    f("m", member);
    f("e", empty);
    f("v", voting);
    f("c", membership);
    f("s", caughtUp);
    f("cv", membershipValue);
    f("k", known);
    f("d", owns);
    f("o", owned);
  }
};

/// Word of a machine that serves operators without a disk, to a disk that has not joined yet: it founds nothing and is
/// never a member.
struct NoDisk {
  template <class F>
  void each(F&) {}
};

/// Answer to a Heartbeat: what the member has accepted, so that the asker can confirm its keys and learn what it lacks.
struct HeartbeatEcho {
  core::Tick tick = 0;
  std::string member;
  bool voting = false;
  /// Newest revisions this member has accepted, committed or not.
  Digest digest;
  /// The same in full, when what the asker knows is another set.
  Revisions accepted;
  /// Keys of the asker for which this member has promised a higher epoch.
  Revisions higher;
  /// The asker's keys are not known here as it owns them now.
  bool wantOwned = false;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("m", member);
    f("v", voting);
    f("d", digest);
    f("a", accepted);
    f("h", higher);
    f("w", wantOwned);
  }
};

/// One slot of a member's write-ahead log, for a member that copies.
struct Slot {
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
struct Fetch {
  /// When copying: only keys behind this one, which the asker had before.
  std::string key;
  bool copy = false;
  std::string member;
  std::uint64_t membership = 0;
  /// The asker's slots without their values.
  std::vector<Slot> have = {};
  /// Number of this question, for its answer; 0 from releases that take an answer in one piece alone.
  std::uint64_t ask = 0;
  template <class F>
  void each(F& f) {
    f.optional("a", ask);
    f("k", key);
    f("c", copy);
    f("m", member);
    f("n", membership);
    f("h", have);
    f.optional("a", ask);
  }
};

/// Answer to a copying Fetch: the slots that are newer than the asker's.
struct Copy {
  std::string member;
  /// Revision of the membership that the answering member goes by.
  std::uint64_t membership = 0;
  std::vector<Slot> slots;
  /// Number of the question that this answers; 0 from releases that don't number them.
  std::uint64_t ask = 0;
  /// There are more slots behind the last one.
  bool more = false;
  template <class F>
  void each(F& f) {
    f.optional("a", ask);
    f.optional("o", more);
    f("m", member);
    f("n", membership);
    f("s", slots);
    f.optional("a", ask);
    f.optional("o", more);
  }
};

}  // namespace corkward::transport
