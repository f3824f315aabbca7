#include <catch2/catch.hpp>

#include <corkward/dataplane/roster.h>

namespace transport = corkward::transport;
using corkward::dataplane::Roster;

namespace {

std::vector<transport::Contact> contactsOf(std::vector<std::string> const& links) {
  std::vector<transport::Contact> contacts;
  contacts.reserve(links.size());
  for (std::string const& link : links) {
    transport::Contact contact;
    contact.link = link;
    contact.zone = "zone-" + link;
    contacts.push_back(contact);
  }
  return contacts;
}

}  // namespace

TEST_CASE("the newest roster decides the other routers, the zones and whether this router is on it") {
  Roster roster("b");
  CHECK(roster.revision() == 0);
  roster.load(0, 4, contactsOf({"c", "b", "a"}), true);
  CHECK(roster.revision() == 4);
  CHECK(roster.size() == 3);
  CHECK(roster.others() == std::vector<std::string>{"c", "a"});
  CHECK(roster.zones().at("b") == "zone-b");
  CHECK(roster.hasJoined());
  roster.load(1, 5, contactsOf({"a"}), true);
  CHECK_FALSE(roster.hasJoined());
  CHECK(roster.size() == 1);
}

TEST_CASE("a router that is new on the roster joins once all routers have that roster") {
  Roster roster("b");
  roster.load(0, 4, contactsOf({"a", "b"}), false);
  CHECK_FALSE(roster.hasJoined());
  roster.onRolloutComplete(0);
  roster.onRolloutComplete(3);
  CHECK_FALSE(roster.hasJoined());
  roster.onRolloutComplete(4);
  CHECK(roster.hasJoined());
}

TEST_CASE("a router that is new on the roster joins after the timeout, which restarts with each roster") {
  Roster roster("b");
  roster.load(0, 4, contactsOf({"a", "b"}), false);
  roster.load(50, 5, contactsOf({"a", "b"}), false);
  roster.onTimer(149, 100);
  CHECK_FALSE(roster.hasJoined());
  roster.onTimer(150, 100);
  CHECK(roster.hasJoined());
  roster.load(200, 6, contactsOf({"a", "b"}), false);
  CHECK(roster.hasJoined());
}

TEST_CASE("a router that is not on the roster does not join") {
  Roster roster("b");
  roster.load(0, 4, contactsOf({"a"}), false);
  roster.onTimer(1000, 100);
  CHECK_FALSE(roster.hasJoined());
}
