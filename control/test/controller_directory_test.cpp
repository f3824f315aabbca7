#include <catch2/catch.hpp>

#include <set>

#include <corkward/control/controller_directory.h>

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace control = corkward::control;

namespace {

transport::Contact contact(std::string const& link, std::string const& role) {
  transport::Contact c;
  c.link = link;
  c.role = role;
  c.zone = "z1";
  c.incarnation = 1;
  return c;
}

transport::GossipShuffle shuffleOf(std::vector<transport::Contact> contacts) {
  return transport::GossipShuffle{std::move(contacts), false, 0, {}};
}

}  // namespace

TEST_CASE("a controller directory replies only to members without state that it is not a voting member") {
  control::ControllerDirectory directory(contact("g", "guide"), {"g", "h", "s"}, 1);
  transport::Heartbeat heartbeat;
  heartbeat.member = "m";
  CHECK(directory.onMessage(100, "d", heartbeat).empty());
  heartbeat.hasNoState = true;
  std::vector<transport::Send> const out = directory.onMessage(200, "d", heartbeat);
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == "d");
  CHECK(std::holds_alternative<transport::NotAVotingMember>(out[0].message));
}

TEST_CASE("a controller directory lists the responding controllers, or all known ones if none responds") {
  control::ControllerDirectory directory(contact("g", "guide"), {"g"}, 1);
  CHECK(directory.controllers(0).empty());
  directory.onMessage(100, "n",
                      shuffleOf({contact("n", transport::routerRole), contact("s", transport::controllerRole),
                                 contact("t", transport::controllerRole)}));
  directory.onTimer(200);
  CHECK(directory.controllers(200) == std::vector<std::string>{"s", "t"});
  directory.onMessage(300, "t", shuffleOf({contact("t", transport::controllerRole)}));
  CHECK(directory.controllers(400) == std::vector<std::string>{"t"});
  CHECK(directory.controllers(9000) == std::vector<std::string>{"s", "t"});
  std::vector<transport::Send> const out =
      directory.onMessage(9000, "m", transport::GossipShuffle{{contact("m", transport::routerRole)}, true, 0, {}});
  REQUIRE(out.size() == 1);
  CHECK(out[0].to == "m");
  std::vector<transport::Contact> const shown = std::get<transport::GossipShuffle>(out[0].message).contacts;
  REQUIRE(shown.size() == 2);
  CHECK(shown[0].link == "s");
  CHECK(shown[1].link == "t");
}

TEST_CASE("a controller directory queries the seeds and all known controllers without sending its own contact") {
  control::ControllerDirectory directory(contact("g", "guide"), {"g", "s", "u"}, 1);
  directory.onMessage(100, "n",
                      shuffleOf({contact("n", transport::routerRole), contact("s", transport::controllerRole),
                                 contact("t", transport::controllerRole)}));
  std::set<std::string> to;
  for (transport::Send const& s : directory.onTimer(200)) {
    to.insert(s.to);
    transport::GossipShuffle const& query = std::get<transport::GossipShuffle>(s.message);
    CHECK(query.reply);
    CHECK(query.contacts.empty());
  }
  CHECK(to == std::set<std::string>{"s", "t", "u"});
  CHECK(directory.onTimer(300).empty());
  CHECK(directory.onTimer(800).size() == 3);
}
