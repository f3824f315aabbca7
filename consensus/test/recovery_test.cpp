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

TEST_CASE("a restored member ignores records that were written under another member id") {
  Cluster cluster(7, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::map<std::string, std::string> disk = cluster.machines.at("b").disk;
  disk["meta"] = R"({"id":"newId","voting":false,"settled":0,"founders":[]})";
  consensus::ReplicatedRegisters member(consensus::Member{"x", "b"}, threeLinks, {}, 1);
  member.restore(disk, false, 1000);
  CHECK(member.self().id == "newId");
  CHECK(member.hasNoState());
  CHECK(member.membership().empty());
  for (core::Milliseconds now = 1000; now < 20000; now += 25) member.onTimer(now);
  CHECK_FALSE(member.isVoting());
}

TEST_CASE("after staggered restarts of all members each member knows every key as committed within a second") {
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
    for (std::string const& link : links) cluster.kill(link);
    for (std::string const& link : links) {
      cluster.run(static_cast<Milliseconds>(cluster.random.below(400)));
      cluster.start(link);
    }
    Milliseconds const took = cluster.runUntil(
        [&] {
          for (std::string const& link : links)
            for (std::string const& key : keys)
              if (cluster.member(link).committed().count(key) == 0) return false;
          return true;
        },
        5000);
    CHECK(took >= 0);
    CHECK(took <= 1000);
    checkConsistent(cluster);
  }
}

TEST_CASE(
    "after a simultaneous restart of all members, every member has a committed value of every key within 150 ms") {
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
    for (std::string const& link : threeLinks) cluster.kill(link);
    for (std::string const& link : threeLinks) cluster.start(link);
    Milliseconds const took = cluster.runUntil(
        [&] {
          for (std::string const& link : threeLinks)
            for (std::string const& key : keys)
              if (cluster.member(link).committed().count(key) == 0) return false;
          return true;
        },
        2000);
    CHECK(took >= 0);
    CHECK(took <= 150);
    checkConsistent(cluster);
  }
}

TEST_CASE("the restart of a member does not take a key from its live owner") {
  Cluster cluster(3, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::string const owner = cluster.member("a").ownerLink("k", cluster.now);
  std::string const other = owner == "a" ? "b" : "a";
  cluster.kill(other);
  cluster.run(200);
  cluster.start(other);
  cluster.run(4000);
  CHECK(cluster.member(owner).owns("k"));
}
