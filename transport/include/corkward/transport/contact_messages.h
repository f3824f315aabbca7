#pragma once

/// How processes hear of each other: contacts and their shuffle.

#include <cstdint>
#include <string>
#include <vector>

namespace corkward::transport {

/// Role of a router in `Contact::role`. The text is what earlier releases send, so that mixed releases understand each
/// other.
inline constexpr char const* routerRole = "nacelle";
/// Role of a controller in `Contact::role`, as earlier releases send it.
inline constexpr char const* controllerRole = "substation";

/// What one node tells of another in a shuffle.
struct Contact {
  std::string link;
  std::string httpAddress;
  std::string role;
  std::string zone;
  std::uint64_t incarnation = 0;
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

/// Contacts of others and of the sender itself.
struct GossipShuffle {
  std::vector<Contact> contacts;
  bool reply = false;
  /// Revision of the roster that the sender goes by, 0 for none, and contacts that differ from what this roster says of
  /// them by incarnation and age alone: place on the roster by link, incarnation, age, and so on.
  std::uint64_t rosterRevision = 0;
  std::vector<std::uint64_t> knownContacts = {};
  template <class F>
  void each(F& f) {
    f("c", contacts);
    f("r", reply);
    f("t", rosterRevision);
    f("k", knownContacts);
  }
};

}  // namespace corkward::transport
