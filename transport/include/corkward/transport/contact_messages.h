#pragma once

/// Gossip messages by which processes learn about each other.

#include <cstdint>
#include <string>
#include <vector>

namespace corkward::transport {

/// Role of a router in `Contact::role`. The text is the one that earlier releases send, so that routers of different
/// releases understand each other.
inline constexpr char const* routerRole = "nacelle";
/// Role of a controller in `Contact::role`, as earlier releases send it.
inline constexpr char const* controllerRole = "substation";

/// One process as it is described in gossip.
struct Contact {
  /// Link address of the process.
  std::string link;
  /// Address of its HTTP server.
  std::string httpAddress;
  /// routerRole or controllerRole.
  std::string role;
  std::string zone;
  /// Rises with each start of the process.
  std::uint64_t incarnation = 0;
  /// Milliseconds since the last contact with the process.
  std::int64_t age = 0;
  bool draining = false;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("h", httpAddress);
    f("r", role);
    f("z", zone);
    f("i", incarnation);
    f("a", age);
    f("d", draining);
  }
};

/// Sent by a process to a random process that it knows, periodically: a random sample of the sender's contacts and the
/// sender's own contact. The reply, if one is requested, is a GossipShuffle as well.
struct GossipShuffle {
  std::vector<Contact> contacts;
  /// True if the receiver shall reply with a shuffle.
  bool reply = false;
  /// Revision of the sender's roster, or 0 if it has none.
  std::uint64_t rosterRevision = 0;
  /// Contacts that differ from their roster entry only by incarnation and age, as three numbers each: position in the
  /// roster sorted by link, incarnation, and age.
  std::vector<std::uint64_t> compactContacts = {};
  template <class F>
  void each(F& f) {
    f("c", contacts);
    f("r", reply);
    f("t", rosterRevision);
    f("k", compactContacts);
  }
};

}  // namespace corkward::transport
