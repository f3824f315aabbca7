#pragma once

#include <QJsonObject>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

namespace corkward::transport {

/// An error of the links and their framing.
class Error : public core::Error {
 public:
  using core::Error::Error;
};

/// Rising number of an ownership; the member's id breaks ties.
struct Ballot {
  std::uint64_t n = 0;
  std::string member;
  std::strong_ordering operator<=>(Ballot const&) const = default;
  bool operator==(Ballot const&) const = default;
  template <class F>
  void each(F& f) {
    f("n", n);
    f("m", member);
  }
};

/// Key -> newest revision.
using Revisions = std::map<std::string, std::uint64_t>;

/// Stands for a set of keys with their revisions: the sum of one 64-bit hash for each pair, and how many there are.
struct Digest {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  /// Puts the key under its newer revision; revision 0 stands for no such key.
  void replace(std::string const& key, std::uint64_t before, std::uint64_t after);
  bool operator==(Digest const&) const = default;
};

/// Digest of a set.
Digest digestOf(Revisions const& revisions);

/// One bit for each place of an agreed list, eight to a byte.
class Bits {
 public:
  void set(std::size_t place);
  bool has(std::size_t place) const {
    return place / 8 < bytes_.size() && (static_cast<unsigned char>(bytes_[place / 8]) >> (place % 8) & 1U) != 0;
  }
  template <class F>
  void each(F& f) {
    f("b", bytes_);
  }

 private:
  std::string bytes_;
};

/// One key with its value as it was accepted on a majority of the disks.
struct Item {
  std::string key;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("s", revision);
    f("v", value);
  }
};

/// Role of a router in `Contact::role`. The text is what earlier releases send, so that mixed releases understand each
/// other.
inline constexpr char const* routerRole = "nacelle";
/// Role of a controller in `Contact::role`, as earlier releases send it.
inline constexpr char const* controllerRole = "substation";

/// What one node tells of another in a shuffle.
struct Contact {
  std::string link;
  std::string http;
  std::string role;
  std::string zone;
  std::uint64_t inc = 0;
  std::int64_t age = 0;
  bool draining = false;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("h", http);
    f("r", role);
    f("z", zone);
    f("i", inc);
    f("a", age);
    f("d", draining);
  }
};

/// Contacts of others and of the sender itself.
struct Shuffle {
  std::vector<Contact> contacts;
  bool reply = false;
  /// Revision of the roster that the sender goes by, 0 for none, and contacts that differ from what this roster says of
  /// them by incarnation and age alone: place on the roster by link, incarnation, age, and so on.
  std::uint64_t roster = 0;
  std::vector<std::uint64_t> known = {};
  template <class F>
  void each(F& f) {
    f("c", contacts);
    f("r", reply);
    f("t", roster);
    f("k", known);
  }
};

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
    f("k", key);
    f("c", copy);
    f("m", member);
    f("n", membership);
    f("h", have);
    f.optional("a", ask);
  }
};

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
    f("m", member);
    f("n", membership);
    f("s", slots);
    f.optional("a", ask);
    f.optional("o", more);
  }
};

struct Call {
  std::uint64_t token = 0;
  std::string method;
  std::string path;
  std::string ifMatch;
  std::string changeId;
  bool dryRun = false;
  std::string body;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("m", method);
    f("p", path);
    f("i", ifMatch);
    f("c", changeId);
    f("d", dryRun);
    f("b", body);
  }
};

struct CallResponse {
  std::uint64_t token = 0;
  int status = 0;
  QJsonObject body;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("s", status);
    f("b", body);
  }
};

/// A numbered push of changes down one link.
struct News {
  std::uint64_t number = 0;
  bool whole = false;
  std::vector<Item> items;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("w", whole);
    f("i", items);
  }
};

/// What a router has in force of the keys that the news named, and a digest of all that it has; told to the
/// controllers that hold it.
struct NewsAck {
  std::uint64_t number = 0;
  std::string link;
  std::uint64_t inc = 0;
  Revisions revisions;
  Digest digest;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("l", link);
    f("i", inc);
    f("s", revisions);
    f("d", digest);
  }
};

/// Which routers have a key under that revision or a newer one.
struct Reached {
  std::string key;
  std::uint64_t revision = 0;
  Bits routers;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("s", revision);
    f("b", routers);
  }
};

/// What a controller tells the others of the routers that it holds. Bits go by the links of the roster of that revision
/// and of the one before it, sorted.
struct Holding {
  std::uint64_t roster = 0;
  Digest digest;
  /// Heard from lately.
  Bits heard;
  /// Have all that the digest stands for.
  Bits whole;
  /// Heard from lately and not on the roster.
  std::vector<Contact> fresh;
  /// How far the asked changes are.
  std::vector<Reached> reached;
  /// Changes not yet in force as far as the sender knows; wants an answer.
  std::vector<Reached> asked;
  template <class F>
  void each(F& f) {
    f("r", roster);
    f("d", digest);
    f("h", heard);
    f("w", whole);
    f("f", fresh);
    f("e", reached);
    f("a", asked);
  }
};

/// A router asks a controller for a confirmation of its serving lease.
struct Ask {
  core::Tick tick = 0;
  Contact self;
  bool wantWhole = false;
  /// The snapshot need not be confirmed by a majority.
  bool anyWhole = false;
  /// What the router has in force.
  Digest digest;
  /// The same in full, when the controller asked for it.
  Revisions revisions;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("c", self);
    f("w", wantWhole);
    f("y", anyWhole);
    f("d", digest);
    f("s", revisions);
  }
};

/// A platform's list that is newer than the one in force. It only ever takes away: what it does not name, or names
/// cold where the list in force says serving, is not used; what it adds waits for control.
struct Hint {
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

struct Confirm {
  core::Tick tick = 0;
  bool inTouch = false;
  core::Tick age = 0;
  /// What the controller knows to be on a majority of the disks: all that the router must know for this to count.
  Digest digest;
  /// The same in full, when the asker's digest is another.
  Revisions revisions;
  /// The controller does not know what the router has.
  bool wantRevisions = false;
  /// Newest revision of the roster that is known to be in force.
  std::uint64_t roster = 0;
  std::vector<Hint> hints;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("i", inTouch);
    f("a", age);
    f("d", digest);
    f("s", revisions);
    f("w", wantRevisions);
    f("r", roster);
    f("h", hints);
  }
};

/// Contact between routers, with what each has in force.
struct Touch {
  core::Tick tick = 0;
  bool echo = false;
  bool wantWhole = false;
  bool whole = false;
  std::string link;
  Digest digest;
  /// The same in full, in an echo when the asker's digest is another.
  Revisions revisions;
  /// The asker lacks control, and wants ages.
  bool wantAges = false;
  /// Revision of the roster that the ages go by.
  std::uint64_t roster = 0;
  /// For each link of that roster, sorted, one byte: in units of ageUnit, how long ago at the most that router had
  /// nothing in force which the sender lacks; 255: longer, or not known.
  std::string ages;
  std::vector<Hint> hints;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("e", echo);
    f("w", wantWhole);
    f("h", whole);
    f("l", link);
    f("d", digest);
    f("s", revisions);
    f("a", wantAges);
    f("r", roster);
    f("g", ages);
    f("n", hints);
  }
};

/// Milliseconds that one unit of a Touch's ages stands for.
inline constexpr core::Tick ageUnit = 10;

/// Asks the others whether a request's id may have run there, and has them remember that it was asked for here.
struct SeenAsk {
  std::uint64_t token = 0;
  std::string id;
  /// 0: the caller does not number its attempts.
  std::uint64_t attempt = 0;
  /// Milliseconds since the caller's first attempt, when attempts are numbered.
  core::Tick age = 0;
  /// Name of this run of the asking process, never used again.
  std::string who;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("i", id);
    f("a", attempt);
    f("g", age);
    f("w", who);
  }
};

struct SeenEcho {
  std::uint64_t token = 0;
  /// Name of this run of the answering process.
  std::string who;
  /// It did not run here and will not, as far as this node remembers; for numbered attempts it remembers far enough.
  bool clear = false;
  /// The id is remembered here.
  bool known = false;
  /// It had reached a replica from here, which may have rejected it.
  bool reached = false;
  /// How far back this node remembers.
  core::Tick memory = 0;
  /// Who has asked for the id before, by the names of their runs.
  std::vector<std::string> claimants;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("w", who);
    f("c", clear);
    f("k", known);
    f("r", reached);
    f("m", memory);
    f("n", claimants);
  }
};

/// Ids that a leaving router leaves to its successors.
struct SeenLeft {
  /// Name of this run of the leaving process.
  std::string who;
  /// The last part: what is named in none of them did not run there.
  bool last = false;
  std::vector<std::string> ids;
  template <class F>
  void each(F& f) {
    f("w", who);
    f("e", last);
    f("i", ids);
  }
};

/// Asks for, or gives back, the warming duty of a cold replica.
struct WarmAsk {
  core::Tick tick = 0;
  std::string replica;
  std::string link;
  std::uint64_t inc = 0;
  bool release = false;
  std::string successor;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("r", replica);
    f("l", link);
    f("i", inc);
    f("e", release);
    f("s", successor);
  }
};

struct WarmGrant {
  core::Tick tick = 0;
  std::string replica;
  std::string member;
  bool ok = false;
  std::uint64_t term = 0;
  std::string holder;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("r", replica);
    f("m", member);
    f("o", ok);
    f("e", term);
    f("h", holder);
  }
};

using Message = std::variant<Shuffle, Prepare, Promise, Accept, Accepted, Commit, Handover, Heartbeat, HeartbeatEcho,
                             Fetch, Copy, Call, CallResponse, News, NewsAck, Holding, Ask, Confirm, Hint, Touch,
                             SeenAsk, SeenEcho, SeenLeft, WarmAsk, WarmGrant, NoDisk>;

/// Command: send a message to the process that listens at the link address.
struct Send {
  std::string to;
  Message message;
};

/// A message with its sender's link address, as it stands on the wire.
struct Envelope {
  std::string from;
  Message message;
  /// Name of the sending process's run.
  std::uint64_t run = 0;
};

/// Wire form (CBOR). Throws transport::Error on anything that is not a whole, well-typed envelope.
std::string pack(Envelope const& envelope);
Envelope unpack(std::string const& bytes);

/// Name of a message's kind, for logs.
char const* kind(Message const& message);

}  // namespace corkward::transport
