#include <catch2/catch.hpp>

#include <map>

#include <corkward/lookout/lookout.h>

namespace core = corkward::core;
namespace lookout = corkward::lookout;
namespace signal = corkward::signal;

namespace {

signal::Contact contact(std::string const& link, std::string const& role = "nacelle") {
  signal::Contact c;
  c.link = link;
  c.http = link + "-http";
  c.role = role;
  c.zone = "z1";
  c.inc = 1700000000000;
  return c;
}

std::string node(int n) { return "10.0.0." + std::to_string(n) + ":7000"; }

std::vector<signal::Contact> roster(int nodes) {
  std::vector<signal::Contact> out;
  for (int n = 1; n <= nodes; ++n) {
    out.push_back(contact(node(n)));
    out.back().inc = 0;
  }
  return out;
}

/// Fleets that shuffle on one clock; messages arrive at once.
struct Fleet {
  std::map<std::string, lookout::Lookout> all;
  core::Tick now = 0;
  std::uint64_t known = 0;
  std::uint64_t whole = 0;

  void add(signal::Contact const& c, std::uint64_t seed) { all.emplace(c.link, lookout::Lookout(c, {node(1)}, seed)); }
  void deliver(std::string const& from, std::vector<signal::Send> const& sends) {
    for (signal::Send const& s : sends) {
      signal::Message const m = s.message;
      signal::Shuffle const& shuffle = std::get<signal::Shuffle>(m);
      known += shuffle.known.size() / 3;
      whole += shuffle.contacts.size() - 1;
      std::map<std::string, lookout::Lookout>::iterator const to = all.find(s.to);
      if (to != all.end()) deliver(s.to, to->second.arrived(now, from, shuffle));
    }
  }
  void run(core::Tick time) {
    for (core::Tick const until = now + time; now < until; now += 100)
      for (std::map<std::string, lookout::Lookout>::value_type& l : all) deliver(l.first, l.second.clockEvent(now));
  }
};

}  // namespace

TEST_CASE("what the roster says of a contact is left out between processes that go by it, and nothing is lost") {
  signal::Contact const self = contact(node(1));
  lookout::Lookout sender(self, {}, 3);
  lookout::Lookout receiver(contact(node(2)), {}, 4);
  lookout::Lookout stranger(contact(node(3)), {}, 5);
  signal::Contact draining = contact(node(5));
  draining.draining = true;
  signal::Contact elsewhere = contact(node(6));
  elsewhere.zone = "z2";
  for (signal::Contact const& c : {contact(node(4)), draining, elsewhere, contact("10.0.9.1:7000", "substation")}) sender.heard(1000, c);
  for (lookout::Lookout* const l : {&sender, &receiver}) l->setRoster(7, roster(8));
  stranger.setRoster(6, roster(7));

  std::vector<signal::Send> const first = receiver.arrived(1500, node(9), signal::Shuffle{{}, true, 0, {}});
  CHECK(std::get<signal::Shuffle>(first.at(0).message).known.empty());

  std::vector<signal::Send> const toStranger = sender.arrived(1500, node(3), signal::Shuffle{{}, true, 6, {}});
  CHECK(std::get<signal::Shuffle>(toStranger.at(0).message).known.empty());
  CHECK(std::get<signal::Shuffle>(toStranger.at(0).message).contacts.size() == 5);

  std::vector<signal::Send> const sends = sender.arrived(1500, node(2), signal::Shuffle{{}, true, 7, {}});
  signal::Message const message = sends.at(0).message;
  signal::Shuffle const& shuffle = std::get<signal::Shuffle>(message);
  CHECK(shuffle.roster == 7);
  REQUIRE(shuffle.known.size() == 3);
  CHECK(shuffle.known[1] == 1700000000000);
  CHECK(shuffle.known[2] == 500);
  CHECK(shuffle.contacts.size() == 4);

  receiver.arrived(1600, node(1), shuffle);
  CHECK(receiver.size() == 5);
  CHECK(receiver.age(node(4), 1600) == 500);
  for (signal::Contact const& c : receiver.ofRole("nacelle", 1600)) {
    if (c.link != node(4)) continue;
    CHECK(c.http == node(4) + "-http");
    CHECK(c.zone == "z1");
    CHECK(c.inc == 1700000000000);
  }
  stranger.arrived(1600, node(1), shuffle);
  CHECK(stranger.age(node(4), 1600) == -1);
  CHECK(stranger.size() == 4);
}

TEST_CASE("places that no roster has, and halves of entries, are passed over") {
  lookout::Lookout l(contact(node(1)), {}, 3);
  l.setRoster(7, roster(3));
  l.arrived(1000, node(2), signal::Shuffle{{}, false, 7, {3, 5, 5, 900000, 1, 1, 1, 5}});
  CHECK(l.size() == 0);
  l.arrived(1000, node(2), signal::Shuffle{{}, false, 7, {1, 5, 130000, 2, 5, 30, 0, std::uint64_t{1} << 53, 0}});
  CHECK(l.size() == 1);
  CHECK(l.age(node(3), 1000) == 30);
  CHECK(l.self().inc == 1700000000000);
}

TEST_CASE("views are the same whether a common roster shortens what is sent or not, and little older with two rosters") {
  std::vector<Fleet> fleets(3);
  for (Fleet& f : fleets) {
    for (int n = 1; n <= 30; ++n) f.add(contact(node(n)), static_cast<std::uint64_t>(n));
    f.add(contact("10.0.9.1:7000", "substation"), 99);
    f.run(20000);
    CHECK(f.known == 0);
    f.whole = 0;
  }
  for (std::map<std::string, lookout::Lookout>::value_type& l : fleets[1].all) l.second.setRoster(1, roster(30));
  int turn = 0;
  for (std::map<std::string, lookout::Lookout>::value_type& l : fleets[2].all) l.second.setRoster(++turn % 2 == 0 ? 2 : 3, roster(29));
  std::vector<core::Tick> ages(3, 0);
  for (int second = 0; second < 60; ++second) {
    for (std::size_t f = 0; f < fleets.size(); ++f) {
      fleets[f].run(1000);
      for (std::map<std::string, lookout::Lookout>::value_type const& l : fleets[f].all)
        for (int n = 1; n <= 30; ++n) {
          if (l.first == node(n)) continue;
          core::Tick const age = l.second.age(node(n), fleets[f].now);
          REQUIRE(age >= 0);
          ages[f] += age;
          if (f == 1) REQUIRE(age == fleets[0].all.at(l.first).age(node(n), fleets[0].now));
        }
    }
  }
  CHECK(fleets[1].known > 10 * fleets[1].whole);
  CHECK(fleets[2].known > 0);
  CHECK(ages[2] * 10 < ages[0] * 12);
}
