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

std::string node(int n) {
  return "10.0.0." + std::to_string(n) + ":7000";
}

std::vector<transport::Contact> roster(int nodes) {
  std::vector<transport::Contact> out;
  for (int n = 1; n <= nodes; ++n) {
    out.push_back(contact(node(n)));
    out.back().incarnation = 0;
  }
  return out;
}

/// Fleets that shuffle on one clock; messages arrive at once.
struct Fleet {
  std::map<std::string, gossip::PartialView> all;
  core::Milliseconds now = 0;
  std::uint64_t known = 0;
  std::uint64_t fullContacts = 0;

  void add(transport::Contact const& c, std::uint64_t seed) {
    all.emplace(c.link, gossip::PartialView(c, {node(1)}, seed));
  }
  void deliver(std::string const& from, std::vector<transport::Send> const& sends) {
    for (transport::Send const& s : sends) {
      transport::Message const m = s.message;
      transport::GossipShuffle const& shuffle = std::get<transport::GossipShuffle>(m);
      known += shuffle.knownContacts.size() / 3;
      fullContacts += shuffle.contacts.size() - 1;
      auto const to = all.find(s.to);
      if (to != all.end()) deliver(s.to, to->second.arrived(now, from, shuffle));
    }
  }
  void run(core::Milliseconds time) {
    for (core::Milliseconds const until = now + time; now < until; now += 100)
      for (auto& [link, view] : all) deliver(link, view.clockEvent(now));
  }
};

}  // namespace

TEST_CASE("what the roster says of a contact is left out between processes that go by it, and nothing is lost") {
  transport::Contact const self = contact(node(1));
  gossip::PartialView sender(self, {}, 3);
  gossip::PartialView receiver(contact(node(2)), {}, 4);
  gossip::PartialView stranger(contact(node(3)), {}, 5);
  transport::Contact draining = contact(node(5));
  draining.draining = true;
  transport::Contact otherZone = contact(node(6));
  otherZone.zone = "z2";
  for (transport::Contact const& c :
       {contact(node(4)), draining, otherZone, contact("10.0.9.1:7000", transport::controllerRole)})
    sender.heard(1000, c);
  for (gossip::PartialView* const l : {&sender, &receiver}) l->setRoster(7, roster(8));
  stranger.setRoster(6, roster(7));

  std::vector<transport::Send> const first = receiver.arrived(1500, node(9), transport::GossipShuffle{{}, true, 0, {}});
  CHECK(std::get<transport::GossipShuffle>(first.at(0).message).knownContacts.empty());

  std::vector<transport::Send> const toStranger =
      sender.arrived(1500, node(3), transport::GossipShuffle{{}, true, 6, {}});
  CHECK(std::get<transport::GossipShuffle>(toStranger.at(0).message).knownContacts.empty());
  CHECK(std::get<transport::GossipShuffle>(toStranger.at(0).message).contacts.size() == 5);

  std::vector<transport::Send> const sends = sender.arrived(1500, node(2), transport::GossipShuffle{{}, true, 7, {}});
  transport::Message const message = sends.at(0).message;
  transport::GossipShuffle const& shuffle = std::get<transport::GossipShuffle>(message);
  CHECK(shuffle.rosterRevision == 7);
  REQUIRE(shuffle.knownContacts.size() == 3);
  CHECK(shuffle.knownContacts[1] == 1700000000000);
  CHECK(shuffle.knownContacts[2] == 500);
  CHECK(shuffle.contacts.size() == 4);

  receiver.arrived(1600, node(1), shuffle);
  CHECK(receiver.size() == 5);
  CHECK(receiver.age(node(4), 1600) == 500);
  for (transport::Contact const& c : receiver.ofRole(transport::routerRole, 1600)) {
    if (c.link != node(4)) continue;
    CHECK(c.httpAddress == node(4) + "-http");
    CHECK(c.zone == "z1");
    CHECK(c.incarnation == 1700000000000);
  }
  stranger.arrived(1600, node(1), shuffle);
  CHECK(stranger.age(node(4), 1600) == -1);
  CHECK(stranger.size() == 4);
}

TEST_CASE("places that no roster has, and halves of entries, are passed over") {
  gossip::PartialView l(contact(node(1)), {}, 3);
  l.setRoster(7, roster(3));
  l.arrived(1000, node(2), transport::GossipShuffle{{}, false, 7, {3, 5, 5, 900000, 1, 1, 1, 5}});
  CHECK(l.size() == 0);
  l.arrived(1000, node(2),
            transport::GossipShuffle{{}, false, 7, {1, 5, 130000, 2, 5, 30, 0, std::uint64_t{1} << 53, 0}});
  CHECK(l.size() == 1);
  CHECK(l.age(node(3), 1000) == 30);
  CHECK(l.self().incarnation == 1700000000000);
}

TEST_CASE(
    "views are the same whether a common roster shortens what is sent or not, and little older with two rosters") {
  std::vector<Fleet> fleets(3);
  for (Fleet& f : fleets) {
    for (int n = 1; n <= 30; ++n) f.add(contact(node(n)), static_cast<std::uint64_t>(n));
    f.add(contact("10.0.9.1:7000", transport::controllerRole), 99);
    f.run(20000);
    CHECK(f.known == 0);
    f.fullContacts = 0;
  }
  for (auto& [link, view] : fleets[1].all) view.setRoster(1, roster(30));
  int turn = 0;
  for (auto& [link, view] : fleets[2].all) view.setRoster(++turn % 2 == 0 ? 2 : 3, roster(29));
  std::vector<core::Milliseconds> ages(3, 0);
  for (int second = 0; second < 60; ++second) {
    for (std::size_t f = 0; f < fleets.size(); ++f) {
      fleets[f].run(1000);
      for (auto const& [link, view] : fleets[f].all)
        for (int n = 1; n <= 30; ++n) {
          if (link == node(n)) continue;
          core::Milliseconds const age = view.age(node(n), fleets[f].now);
          REQUIRE(age >= 0);
          ages[f] += age;
          if (f == 1) REQUIRE(age == fleets[0].all.at(link).age(node(n), fleets[0].now));
        }
    }
  }
  CHECK(fleets[1].known > 10 * fleets[1].fullContacts);
  CHECK(fleets[2].known > 0);
  CHECK(ages[2] * 10 < ages[0] * 12);
}
