#include <catch2/catch.hpp>

#include <map>

#include <corkward/gossip/partial_view.h>

namespace core = corkward::core;
namespace gossip = corkward::gossip;
namespace transport = corkward::transport;

namespace {

transport::Contact contact(std::string const& link, std::string const& role = transport::routerRole) {
  transport::Contact c;
  c.link = link;
  c.httpAddress = link + "-http";
  c.role = role;
  c.zone = "z1";
  c.incarnation = 1700000000000;
  return c;
}

std::string linkOf(int n) {
  return "10.0.0." + std::to_string(n) + ":7000";
}

std::vector<transport::Contact> roster(int routers) {
  std::vector<transport::Contact> out;
  for (int n = 1; n <= routers; ++n) {
    out.push_back(contact(linkOf(n)));
    out.back().incarnation = 0;
  }
  return out;
}

/// A fleet of processes that shuffle on one simulated clock. Messages arrive without delay.
struct Fleet {
  std::map<std::string, gossip::PartialView> all;
  core::Milliseconds now = 0;
  /// Contacts that were sent by their position in the roster.
  std::uint64_t compactContacts = 0;
  /// Contacts that were sent in full, without the senders' own.
  std::uint64_t fullContacts = 0;

  void add(transport::Contact const& c, std::uint64_t seed) {
    all.emplace(c.link, gossip::PartialView(c, {linkOf(1)}, seed));
  }
  void deliver(std::string const& from, std::vector<transport::Send> const& sends) {
    for (transport::Send const& s : sends) {
      transport::Message const m = s.message;
      transport::GossipShuffle const& shuffle = std::get<transport::GossipShuffle>(m);
      compactContacts += shuffle.compactContacts.size() / 3;
      fullContacts += shuffle.contacts.size() - 1;
      auto const to = all.find(s.to);
      if (to != all.end()) deliver(s.to, to->second.onShuffle(now, from, shuffle));
    }
  }
  void run(core::Milliseconds duration) {
    for (core::Milliseconds const until = now + duration; now < until; now += 100)
      for (auto& [link, view] : all) deliver(link, view.clockEvent(now));
  }
};

}  // namespace

TEST_CASE("processes with the same roster send contacts by roster position, and the receiver restores them in full") {
  transport::Contact const self = contact(linkOf(1));
  gossip::PartialView sender(self, {}, 3);
  gossip::PartialView receiver(contact(linkOf(2)), {}, 4);
  gossip::PartialView otherRoster(contact(linkOf(3)), {}, 5);
  transport::Contact draining = contact(linkOf(5));
  draining.draining = true;
  transport::Contact otherZone = contact(linkOf(6));
  otherZone.zone = "z2";
  for (transport::Contact const& c :
       {contact(linkOf(4)), draining, otherZone, contact("10.0.9.1:7000", transport::controllerRole)})
    sender.onDirectContact(1000, c);
  for (gossip::PartialView* const view : {&sender, &receiver}) view->setRoster(7, roster(8));
  otherRoster.setRoster(6, roster(7));

  std::vector<transport::Send> const first =
      receiver.onShuffle(1500, linkOf(9), transport::GossipShuffle{{}, true, 0, {}});
  CHECK(std::get<transport::GossipShuffle>(first.at(0).message).compactContacts.empty());

  std::vector<transport::Send> const toOtherRoster =
      sender.onShuffle(1500, linkOf(3), transport::GossipShuffle{{}, true, 6, {}});
  CHECK(std::get<transport::GossipShuffle>(toOtherRoster.at(0).message).compactContacts.empty());
  CHECK(std::get<transport::GossipShuffle>(toOtherRoster.at(0).message).contacts.size() == 5);

  std::vector<transport::Send> const sends =
      sender.onShuffle(1500, linkOf(2), transport::GossipShuffle{{}, true, 7, {}});
  transport::Message const message = sends.at(0).message;
  transport::GossipShuffle const& shuffle = std::get<transport::GossipShuffle>(message);
  CHECK(shuffle.rosterRevision == 7);
  REQUIRE(shuffle.compactContacts.size() == 3);
  CHECK(shuffle.compactContacts[1] == 1700000000000);
  CHECK(shuffle.compactContacts[2] == 500);
  CHECK(shuffle.contacts.size() == 4);

  receiver.onShuffle(1600, linkOf(1), shuffle);
  CHECK(receiver.size() == 5);
  CHECK(receiver.age(linkOf(4), 1600) == 500);
  for (transport::Contact const& c : receiver.ofRole(transport::routerRole, 1600)) {
    if (c.link != linkOf(4)) continue;
    CHECK(c.httpAddress == linkOf(4) + "-http");
    CHECK(c.zone == "z1");
    CHECK(c.incarnation == 1700000000000);
  }
  otherRoster.onShuffle(1600, linkOf(1), shuffle);
  CHECK(otherRoster.age(linkOf(4), 1600) == -1);
  CHECK(otherRoster.size() == 4);
}

TEST_CASE("roster positions out of range, incomplete entries, and contacts that are too old or too new are ignored") {
  gossip::PartialView view(contact(linkOf(1)), {}, 3);
  view.setRoster(7, roster(3));
  view.onShuffle(1000, linkOf(2), transport::GossipShuffle{{}, false, 7, {3, 5, 5, 900000, 1, 1, 1, 5}});
  CHECK(view.size() == 0);
  view.onShuffle(1000, linkOf(2),
                 transport::GossipShuffle{{}, false, 7, {1, 5, 130000, 2, 5, 30, 0, std::uint64_t{1} << 53, 0}});
  CHECK(view.size() == 1);
  CHECK(view.age(linkOf(3), 1000) == 30);
  CHECK(view.self().incarnation == 1700000000000);
}

TEST_CASE("contact ages are equal with one roster and with none, and less than 20% greater if two are in use") {
  std::vector<Fleet> fleets(3);
  for (Fleet& f : fleets) {
    for (int n = 1; n <= 30; ++n) f.add(contact(linkOf(n)), static_cast<std::uint64_t>(n));
    f.add(contact("10.0.9.1:7000", transport::controllerRole), 99);
    f.run(20000);
    CHECK(f.compactContacts == 0);
    f.fullContacts = 0;
  }
  for (auto& [link, view] : fleets[1].all) view.setRoster(1, roster(30));
  int index = 0;
  for (auto& [link, view] : fleets[2].all) view.setRoster(++index % 2 == 0 ? 2 : 3, roster(29));
  std::vector<core::Milliseconds> ages(3, 0);
  for (int second = 0; second < 60; ++second) {
    for (std::size_t f = 0; f < fleets.size(); ++f) {
      fleets[f].run(1000);
      for (auto const& [link, view] : fleets[f].all)
        for (int n = 1; n <= 30; ++n) {
          if (link == linkOf(n)) continue;
          core::Milliseconds const age = view.age(linkOf(n), fleets[f].now);
          REQUIRE(age >= 0);
          ages[f] += age;
          if (f == 1) REQUIRE(age == fleets[0].all.at(link).age(linkOf(n), fleets[0].now));
        }
    }
  }
  CHECK(fleets[1].compactContacts > 10 * fleets[1].fullContacts);
  CHECK(fleets[2].compactContacts > 0);
  CHECK(ages[2] * 10 < ages[0] * 12);
}
