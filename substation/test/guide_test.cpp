#include <catch2/catch.hpp>

#include <set>

#include <corkward/substation/guide.h>

namespace core = corkward::core;
namespace signal = corkward::signal;
namespace substation = corkward::substation;

namespace {

signal::Contact contact(std::string const& link, std::string const& role) {
  signal::Contact c;
  c.link = link;
  c.role = role;
  c.zone = "z1";
  c.inc = 1;
  return c;
}

signal::Shuffle told(std::vector<signal::Contact> contacts) { return signal::Shuffle{std::move(contacts), false, 0, {}}; }

}  // namespace

TEST_CASE("a guide tells disks that have not joined, and no others, that it has none") {
  substation::Guide guide(contact("g", "guide"), {"g", "h", "s"}, 1);
  signal::Beat beat;
  beat.member = "m";
  CHECK(guide.arrived(100, "d", beat).empty());
  beat.empty = true;
  std::vector<signal::Send> const out = guide.arrived(200, "d", beat);
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == "d");
  CHECK(std::holds_alternative<signal::NoDisk>(out[0].message));
}

TEST_CASE("a guide brings processes together, and sends operators to substations that answer") {
  substation::Guide guide(contact("g", "guide"), {"g"}, 1);
  CHECK(guide.substations(0).empty());
  guide.arrived(100, "n", told({contact("n", "nacelle"), contact("s", "substation"), contact("t", "substation")}));
  guide.clockEvent(200);
  CHECK(guide.substations(200) == std::vector<std::string>{"s", "t"});
  guide.arrived(300, "t", told({contact("t", "substation")}));
  CHECK(guide.substations(400) == std::vector<std::string>{"t"});
  CHECK(guide.substations(9000) == std::vector<std::string>{"s", "t"});
  std::vector<signal::Send> const out = guide.arrived(9000, "m", signal::Shuffle{{contact("m", "nacelle")}, true, 0, {}});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == "m");
  std::vector<signal::Contact> const shown = std::get<signal::Shuffle>(out[0].message).contacts;
  REQUIRE(shown.size() == 2);
  CHECK(shown[0].link == "s");
  CHECK(shown[1].link == "t");
}

TEST_CASE("a guide asks the seeds and all substations that it knows, and is named to nobody") {
  substation::Guide guide(contact("g", "guide"), {"g", "s", "u"}, 1);
  guide.arrived(100, "n", told({contact("n", "nacelle"), contact("s", "substation"), contact("t", "substation")}));
  std::set<std::string> to;
  for (signal::Send const& s : guide.clockEvent(200)) {
    to.insert(s.to);
    signal::Shuffle const& asked = std::get<signal::Shuffle>(s.message);
    CHECK(asked.reply);
    CHECK(asked.contacts.empty());
  }
  CHECK(to == std::set<std::string>{"s", "t", "u"});
  CHECK(guide.clockEvent(300).empty());
  CHECK(guide.clockEvent(800).size() == 3);
}
