#include <algorithm>

#include <catch2/catch.hpp>

#include <corkward/dataplane/neighbour_links.h>

namespace core = corkward::core;
using corkward::dataplane::NeighbourLinks;
using corkward::dataplane::RouterTuning;

namespace {

constexpr core::Milliseconds interval = 200;
RouterTuning const tuning;

NeighbourLinks::Peers tenPeers() {
  NeighbourLinks::Peers peers;
  for (char name = 'a'; name < 'k'; ++name) peers.links.emplace_back(1, name);
  peers.sameZone = {"a", "b", "c", "d"};
  return peers;
}

}  // namespace

TEST_CASE("the requested number of neighbours is chosen, a third of them in the same zone") {
  NeighbourLinks links;
  core::RandomGenerator random(1);
  std::vector<std::string> const chosen = links.choose(0, 6, interval, tenPeers(), tuning, random);
  CHECK(chosen.size() == 6);
  CHECK(std::is_sorted(chosen.begin(), chosen.end()));
  CHECK(std::count_if(chosen.begin(), chosen.end(), [](std::string const& link) { return link < "e"; }) == 2);
  CHECK(links.choose(1, 6, interval, tenPeers(), tuning, random) == chosen);
  CHECK(links.choose(2, 2, interval, tenPeers(), tuning, random).size() == 2);
}

TEST_CASE("an unresponsive neighbour is replaced and chosen again only if there are too few others") {
  NeighbourLinks links;
  core::RandomGenerator random(1);
  std::string const unresponsive = links.choose(0, 1, interval, tenPeers(), tuning, random).front();
  links.onHeartbeatSent(0, unresponsive);
  CHECK(links.choose(300, 1, interval, tenPeers(), tuning, random).front() == unresponsive);
  CHECK(links.choose(301, 1, interval, tenPeers(), tuning, random).front() != unresponsive);
  std::vector<std::string> const others = links.choose(302, 9, interval, tenPeers(), tuning, random);
  CHECK(std::find(others.begin(), others.end(), unresponsive) == others.end());
  CHECK(links.choose(303, 10, interval, tenPeers(), tuning, random).size() == 10);
}

TEST_CASE("a responsive neighbour stays until its rotation or until it is not known any more") {
  NeighbourLinks links;
  core::RandomGenerator random(1);
  NeighbourLinks::Peers const singlePeer{{"a"}, {}};
  links.choose(0, 1, interval, singlePeer, tuning, random);
  links.onHeartbeatSent(0, "a");
  links.onReply("a");
  CHECK(links.choose(4000, 1, interval, tenPeers(), tuning, random) == std::vector<std::string>{"a"});
  CHECK(links.choose(4001, 1, interval, NeighbourLinks::Peers{{"b"}, {}}, tuning, random) ==
        std::vector<std::string>{"b"});
}

TEST_CASE("forgetBefore removes routers that became unresponsive earlier") {
  NeighbourLinks links;
  core::RandomGenerator random(1);
  links.choose(0, 1, interval, NeighbourLinks::Peers{{"a"}, {}}, tuning, random);
  links.onHeartbeatSent(0, "a");
  links.choose(301, 0, interval, NeighbourLinks::Peers{{"a"}, {}}, tuning, random);
  links.forgetBefore(301);
  CHECK(links.size() == 1);
  links.forgetBefore(302);
  CHECK(links.size() == 0);
}
