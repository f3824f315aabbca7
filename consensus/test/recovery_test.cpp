#include <catch2/catch.hpp>

#include "cluster_steps.h"

namespace core = corkward::core;
namespace consensus = corkward::consensus;
using consensus::acknowledges;
using consensus::bootstrap;
using consensus::checkConsistent;
using consensus::Cluster;
using consensus::shortTimeouts;
using consensus::threeLinks;
using core::Milliseconds;

TEST_CASE("records of an earlier identity are ignored under the next one") {
  Cluster cluster(7, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::map<std::string, std::string> disk = cluster.machines.at("b").disk;
  disk["meta"] = R"({"id":"fresh","voting":false,"settled":0,"founders":[]})";
  consensus::ReplicatedRegisters m(consensus::Member{"x", "b"}, threeLinks, {}, 1);
  m.restore(disk, false, 1000);
  CHECK(m.self().id == "fresh");
  CHECK(m.hasNoState());
  CHECK(m.membership().empty());
  for (core::Milliseconds t = 1000; t < 20000; t += 25) m.onTimer(t);
  CHECK_FALSE(m.isVoting());
}

TEST_CASE("after staggered restarts of all members every key is committed again within a second") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    std::vector<std::string> links(threeLinks);
    if (seed % 2 == 0) links.push_back("d");
    if (seed % 3 == 0) links.push_back("e");
    bootstrap(cluster, links);
    std::set<std::string> keys{"cohort"};
    for (int i = 0; i < 30; ++i) {
      keys.insert("k" + std::to_string(i));
      REQUIRE(acknowledges(cluster, links[static_cast<std::size_t>(i) % links.size()], "k" + std::to_string(i), 2000));
    }
    for (std::string const& l : links) cluster.kill(l);
    for (std::string const& l : links) {
      cluster.run(static_cast<Milliseconds>(cluster.rng.below(400)));
      cluster.boot(l);
    }
    Milliseconds const took = cluster.until(
        [&] {
          for (std::string const& l : links)
            for (std::string const& k : keys)
              if (cluster.at(l).committed().count(k) == 0) return false;
          return true;
        },
        5000);
    CHECK(took >= 0);
    CHECK(took <= 1000);
    checkConsistent(cluster);
  }
}

TEST_CASE("after a restart of all members at once every key is committed again before the restart pause ends") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrap(cluster, threeLinks);
    std::set<std::string> keys{"cohort"};
    for (int i = 0; i < 3; ++i) {
      keys.insert("k" + std::to_string(i));
      REQUIRE(acknowledges(cluster, threeLinks[static_cast<std::size_t>(i) % threeLinks.size()],
                           "k" + std::to_string(i), 2000));
    }
    cluster.run(500);
    for (std::string const& l : threeLinks) cluster.kill(l);
    for (std::string const& l : threeLinks) cluster.boot(l);
    Milliseconds const took = cluster.until(
        [&] {
          for (std::string const& l : threeLinks)
            for (std::string const& k : keys)
              if (cluster.at(l).committed().count(k) == 0) return false;
          return true;
        },
        2000);
    CHECK(took >= 0);
    CHECK(took <= 150);
    checkConsistent(cluster);
  }
}

TEST_CASE("the restart of one member does not move a key from a live owner") {
  Cluster cluster(3, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::string const owner = cluster.at("a").ownerLink("k", cluster.now);
  std::string const other = owner == "a" ? "b" : "a";
  cluster.kill(other);
  cluster.run(200);
  cluster.boot(other);
  cluster.run(4000);
  CHECK(cluster.at(owner).owns("k"));
}
