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

namespace corkward::signal {

/// An error of the links and their framing.
class Error : public core::Error {
 public:
  using core::Error::Error;
};

/// Rising number of an ownership; the member's id breaks ties.
struct Epoch {
  std::uint64_t n = 0;
  std::string member;
  std::strong_ordering operator<=>(Epoch const&) const = default;
  bool operator==(Epoch const&) const = default;
  template <class F>
  void each(F& f) { f("n", n); f("m", member); }
};

/// Key -> newest stamp.
using Stamps = std::map<std::string, std::uint64_t>;

/// One key with its value as it was accepted on a majority of the disks.
struct Item {
  std::string key;
  std::uint64_t stamp = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) { f("k", key); f("s", stamp); f("v", value); }
};

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
  void each(F& f) { f("l", link); f("h", http); f("r", role); f("z", zone); f("i", inc); f("a", age); f("d", draining); }
};

struct Shuffle {
  std::vector<Contact> contacts;
  bool reply = false;
  template <class F>
  void each(F& f) { f("c", contacts); f("r", reply); }
};

/// Asks a member to promise an epoch of a key.
struct Prepare {
  std::string key;
  Epoch epoch;
  std::string member;
  std::uint64_t cohort = 0;
  template <class F>
  void each(F& f) { f("k", key); f("e", epoch); f("m", member); f("c", cohort); }
};

struct Promise {
  std::string key;
  Epoch epoch;
  std::string member;
  bool ok = false;
  Epoch promised;
  Epoch acceptedEpoch;
  std::uint64_t stamp = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key); f("e", epoch); f("m", member); f("o", ok); f("p", promised); f("a", acceptedEpoch); f("s", stamp); f("v", value);
  }
};

struct Accept {
  std::string key;
  Epoch epoch;
  std::string member;
  std::uint64_t cohort = 0;
  std::uint64_t stamp = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) { f("k", key); f("e", epoch); f("m", member); f("c", cohort); f("s", stamp); f("v", value); }
};

struct Accepted {
  std::string key;
  Epoch epoch;
  std::string member;
  std::uint64_t stamp = 0;
  bool ok = false;
  Epoch promised;
  template <class F>
  void each(F& f) { f("k", key); f("e", epoch); f("m", member); f("s", stamp); f("o", ok); f("p", promised); }
};

/// Tells that an item is on a majority of the disks.
struct Commit {
  Epoch epoch;
  Item item;
  template <class F>
  void each(F& f) { f("e", epoch); f("i", item); }
};

/// Names the receiver as the successor of a key's owner.
struct Handover {
  std::string key;
  Epoch epoch;
  template <class F>
  void each(F& f) { f("k", key); f("e", epoch); }
};

/// Standing of one cohort member, sent to the others.
struct Beat {
  core::Tick tick = 0;
  std::string member;
  bool empty = false;
  bool voting = false;
  std::uint64_t cohort = 0;
  /// Stamp of the cohort under which the member last brought its state up to a majority's.
  std::uint64_t settled = 0;
  QJsonObject cohortValue;
  std::map<std::string, std::uint64_t> owned;
  template <class F>
  void each(F& f) {
    f("t", tick); f("m", member); f("e", empty); f("v", voting); f("c", cohort); f("s", settled); f("cv", cohortValue); f("o", owned);
  }
};

struct BeatEcho {
  core::Tick tick = 0;
  std::string member;
  bool voting = false;
  /// Newest stamps this member has accepted, committed or not.
  Stamps accepted;
  /// Keys of the asker for which this member has promised a higher epoch.
  Stamps higher;
  template <class F>
  void each(F& f) { f("t", tick); f("m", member); f("v", voting); f("a", accepted); f("h", higher); }
};

/// One slot of a member's ledger, for a member that copies.
struct Slot {
  std::string key;
  Epoch promised;
  Epoch acceptedEpoch;
  std::uint64_t stamp = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) { f("k", key); f("p", promised); f("a", acceptedEpoch); f("s", stamp); f("v", value); }
};

/// Asks for a value that is on a majority, or, when copying, for all slots that are newer than the asker's.
struct Fetch {
  std::string key;
  bool copy = false;
  std::string member;
  std::uint64_t cohort = 0;
  /// The asker's slots without their values.
  std::vector<Slot> have = {};
  template <class F>
  void each(F& f) { f("k", key); f("c", copy); f("m", member); f("n", cohort); f("h", have); }
};

struct Copy {
  std::string member;
  /// Stamp of the cohort that the answering member goes by.
  std::uint64_t cohort = 0;
  std::vector<Slot> slots;
  template <class F>
  void each(F& f) { f("m", member); f("n", cohort); f("s", slots); }
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
  void each(F& f) { f("t", token); f("m", method); f("p", path); f("i", ifMatch); f("c", changeId); f("d", dryRun); f("b", body); }
};

struct Outcome {
  std::uint64_t token = 0;
  int status = 0;
  QJsonObject body;
  template <class F>
  void each(F& f) { f("t", token); f("s", status); f("b", body); }
};

/// A numbered push of changes down one link.
struct News {
  std::uint64_t number = 0;
  bool whole = false;
  std::vector<Item> items;
  template <class F>
  void each(F& f) { f("n", number); f("w", whole); f("i", items); }
};

/// What a nacelle has in force; counted by the owners of the changed keys.
struct NewsAck {
  std::uint64_t number = 0;
  std::string link;
  std::uint64_t inc = 0;
  bool relayed = false;
  Stamps stamps;
  template <class F>
  void each(F& f) { f("n", number); f("l", link); f("i", inc); f("r", relayed); f("s", stamps); }
};

/// A nacelle asks a substation for a confirmation of its standing.
struct Ask {
  core::Tick tick = 0;
  Contact self;
  bool wantWhole = false;
  Stamps stamps;
  template <class F>
  void each(F& f) { f("t", tick); f("c", self); f("w", wantWhole); f("s", stamps); }
};

/// A platform's list that is newer than the one in force. It only ever takes away: what it does not name, or names
/// cold where the list in force says serving, is not used; what it adds waits for control.
struct Hint {
  std::string pool;
  std::uint64_t generation = 0;
  std::vector<std::string> serving;
  std::vector<std::string> cold;
  template <class F>
  void each(F& f) { f("p", pool); f("g", generation); f("s", serving); f("c", cold); }
};

struct Confirm {
  core::Tick tick = 0;
  bool inTouch = false;
  core::Tick age = 0;
  Stamps stamps;
  std::vector<Hint> hints;
  template <class F>
  void each(F& f) { f("t", tick); f("i", inTouch); f("a", age); f("s", stamps); f("h", hints); }
};

/// Contact between nacelles, with what each has in force.
struct Touch {
  core::Tick tick = 0;
  bool echo = false;
  bool wantWhole = false;
  bool whole = false;
  std::string link;
  std::uint64_t inc = 0;
  Stamps stamps;
  std::vector<Hint> hints;
  template <class F>
  void each(F& f) { f("t", tick); f("e", echo); f("w", wantWhole); f("h", whole); f("l", link); f("i", inc); f("s", stamps); f("n", hints); }
};

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
  void each(F& f) { f("t", token); f("i", id); f("a", attempt); f("g", age); f("w", who); }
};

struct SeenEcho {
  std::uint64_t token = 0;
  /// Name of this run of the answering process.
  std::string who;
  /// It did not run here and will not, as far as this node remembers; for numbered attempts it remembers far enough.
  bool clear = false;
  /// The id is remembered here.
  bool known = false;
  /// It had reached a replica from here, which may have denied it.
  bool reached = false;
  /// How far back this node remembers.
  core::Tick memory = 0;
  /// Who has asked for the id before, by the names of their runs.
  std::vector<std::string> claimants;
  template <class F>
  void each(F& f) { f("t", token); f("w", who); f("c", clear); f("k", known); f("r", reached); f("m", memory); f("n", claimants); }
};

/// Ids that a leaving nacelle leaves to its successors.
struct SeenLeft {
  /// Name of this run of the leaving process.
  std::string who;
  /// The last part: what is named in none of them did not run there.
  bool last = false;
  std::vector<std::string> ids;
  template <class F>
  void each(F& f) { f("w", who); f("e", last); f("i", ids); }
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
  void each(F& f) { f("t", tick); f("r", replica); f("l", link); f("i", inc); f("e", release); f("s", successor); }
};

struct WarmGrant {
  core::Tick tick = 0;
  std::string replica;
  std::string member;
  bool ok = false;
  std::uint64_t epoch = 0;
  std::string holder;
  template <class F>
  void each(F& f) { f("t", tick); f("r", replica); f("m", member); f("o", ok); f("e", epoch); f("h", holder); }
};

using Message = std::variant<Shuffle, Prepare, Promise, Accept, Accepted, Commit, Handover, Beat, BeatEcho, Fetch,
                             Copy, Call, Outcome, News, NewsAck, Ask, Confirm, Hint, Touch, SeenAsk, SeenEcho, SeenLeft,
                             WarmAsk, WarmGrant>;

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

/// Wire form (CBOR). Throws signal::Error on anything that is not a whole, well-typed envelope.
std::string pack(Envelope const& envelope);
Envelope unpack(std::string const& bytes);

/// Name of a message's kind, for logs.
char const* kind(Message const& message);

}  // namespace corkward::signal
