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
  /// Always false: a first snapshot is confirmed by a majority whatever the asker says. Kept on the wire for processes
  /// of an earlier version.
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

/// Answer to an Ask: whether the controller is in touch with a majority, how old that contact is, and what is known.
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

}  // namespace corkward::transport
