#include <catch2/catch.hpp>

#include "cluster_steps.h"

namespace core = corkward::core;
namespace consensus = corkward::consensus;
namespace transport = corkward::transport;
using consensus::acknowledges;
using consensus::bootstrap;
using consensus::checkConsistent;
using consensus::Cluster;
using consensus::shortTimeouts;
using consensus::threeLinks;
using core::Milliseconds;

TEST_CASE("new machines that know only the discovery peers join the cluster and vote within the time limit") {
  Cluster four(1, shortTimeouts());
  bootstrap(four, threeLinks);
  four.start("d");
  CHECK(four.runUntil([&] { return four.isStable(); }, 2000) >= 0);
  CHECK(four.membershipSize("a") == 4);
  CHECK(acknowledges(four, "d", "k", 1000));
  checkConsistent(four);
  Cluster six(2, shortTimeouts());
  bootstrap(six, threeLinks);
  for (char const* link : {"d", "e", "f"}) six.start(link);
  CHECK(six.runUntil([&] { return six.isStable(); }, 3000) >= 0);
  CHECK(acknowledges(six, "f", "k", 1000));
  checkConsistent(six);
  Cluster sixFounding(3, shortTimeouts());
  for (char const* link : {"a", "b", "c", "d", "e", "f"}) sixFounding.start(link, threeLinks);
  CHECK(sixFounding.runUntil([&] { return sixFounding.isStable(); }, 4500) >= 0);
  checkConsistent(sixFounding);
  Cluster singleFounder(4, shortTimeouts(), {"a"});
  singleFounder.start("a", {"a"});
  for (char const* link : {"b", "c"}) singleFounder.start(link);
  CHECK(singleFounder.runUntil([&] { return singleFounder.isStable(); }, 4000) >= 0);
  checkConsistent(singleFounder);
}

TEST_CASE("with more machines than maxMembers only maxMembers of them vote") {
  Cluster cluster(1, shortTimeouts());
  std::vector<std::string> const all{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
  for (std::string const& link : all) cluster.start(link, threeLinks);
  cluster.run(12000);
  CHECK(cluster.membershipSize("a") == 9);
  std::size_t voters = 0;
  for (std::string const& link : all) voters += cluster.isVotingMember(link) ? 1 : 0;
  CHECK(voters == 9);
  checkConsistent(cluster);
}

TEST_CASE(
    "a machine with an empty disk replaces the member at its own address, and a new machine replaces an unreachable "
    "member") {
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.kill("b");
  cluster.machines.at("b").disk.clear();
  cluster.run(300);
  cluster.start("b");
  Milliseconds const took = cluster.runUntil([&] { return cluster.isStable(); }, 2500);
  CHECK(took > 0);
  CHECK(cluster.membershipSize("a") == 3);
  cluster.removeMachine("c");
  cluster.run(3200);
  cluster.start("d");
  CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 1500) >= 0);
  CHECK(cluster.membershipSize("a") == 3);
  CHECK(acknowledges(cluster, "d", "k", 1000));
  checkConsistent(cluster);
}

TEST_CASE(
    "a new member is added while another one is unreachable, and the unreachable one is removed after the timeout") {
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.removeMachine("c");
  cluster.run(1500);
  cluster.start("d");
  CHECK(cluster.runUntil([&] { return cluster.isVotingMember("d"); }, 1500) >= 0);
  CHECK(cluster.membershipSize("a") == 4);
  CHECK(cluster.runUntil([&] { return cluster.membershipSize("a") == 3; }, 3000) >= 0);
  CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 1000) >= 0);
  cluster.kill("d");
  cluster.run(10000);
  CHECK(cluster.membershipSize("a") == 3);
  CHECK(acknowledges(cluster, "a", "k", 3000));
  checkConsistent(cluster);
}

TEST_CASE("a removed member that returns with its old disk drops its state and joins under a new id") {
  for (bool const paused : {true, false})
    for (bool const restarted : {false, true}) {
      Cluster cluster(7, shortTimeouts());
      bootstrap(cluster, {"a", "b", "c", "d"});
      std::string const oldId = cluster.member("d").self().id;
      std::map<std::string, std::string> const disk = cluster.machines.at("d").disk;
      if (paused)
        cluster.pause("d");
      else
        cluster.setIsolated("d", true);
      CHECK(cluster.runUntil([&] { return cluster.membershipSize("a") == 3; }, 6000) >= 0);
      CHECK(acknowledges(cluster, "a", "k", 3000));
      bool oldIdReplied = false;
      bool removalLearned = false;
      cluster.onSend = [&](std::string const& from, transport::Send const& send) {
        if (from != "d" || !removalLearned) return;
        if (transport::Promise const* const reply = std::get_if<transport::Promise>(&send.message))
          oldIdReplied = oldIdReplied || reply->member == oldId;
        if (transport::Accepted const* const reply = std::get_if<transport::Accepted>(&send.message))
          oldIdReplied = oldIdReplied || reply->member == oldId;
        if (transport::SnapshotChunk const* const reply = std::get_if<transport::SnapshotChunk>(&send.message))
          oldIdReplied = oldIdReplied || reply->member == oldId;
      };
      if (paused)
        cluster.resume("d");
      else
        cluster.setIsolated("d", false);
      CHECK(cluster.runUntil([&] { return !cluster.member("d").isVoting(); }, 1000) >= 0);
      removalLearned = true;
      if (restarted) {
        cluster.run(40);
        cluster.kill("d");
        cluster.start("d");
        CHECK_FALSE(cluster.member("d").isVoting());
        CHECK(cluster.member("d").self().id != oldId);
      }
      CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 2500) >= 0);
      CHECK(cluster.membershipSize("a") == 4);
      CHECK(cluster.member("d").self().id != oldId);
      CHECK_FALSE(oldIdReplied);
      CHECK(acknowledges(cluster, "d", "k", 1000));
      checkConsistent(cluster);
      CHECK(cluster.machines.at("d").disk.at("meta") != disk.at("meta"));
    }
}

TEST_CASE("four members tolerate the loss of one member, but commit nothing while partitioned into halves") {
  Cluster cluster(5, shortTimeouts());
  bootstrap(cluster, {"a", "b", "c", "d"});
  for (char const* x : {"a", "b"})
    for (char const* y : {"c", "d"}) cluster.setPartitioned(x, y, true);
  cluster.run(8000);
  std::uint64_t const left = cluster.append("a", "k");
  std::uint64_t const right = cluster.append("c", "k");
  cluster.run(6000);
  CHECK(cluster.statusOf(left) != 200);
  CHECK(cluster.statusOf(right) != 200);
  CHECK(cluster.membershipSize("a") == 4);
  cluster.partitions.clear();
  CHECK(acknowledges(cluster, "a", "k", 4000));
  cluster.kill("b");
  CHECK(acknowledges(cluster, "a", "k", 3000));
  checkConsistent(cluster);
}

TEST_CASE("a value accepted by three of five members survives the removal of two of them and the loss of the third") {
  Cluster cluster(11, shortTimeouts());
  bootstrap(cluster, {"a", "b", "c", "d", "e"});
  cluster.kill("d");
  cluster.kill("e");
  for (char const* key : {"i", "j"}) {
    REQUIRE(acknowledges(cluster, "a", key, 4000));
    REQUIRE(cluster.member("a").owns(key));
  }
  cluster.start("d");
  cluster.start("e");
  cluster.run(1500);
  for (char const* removed : {"c", "b"}) {
    std::size_t const before = cluster.membershipSize("a");
    cluster.removeMachine(removed);
    REQUIRE(cluster.runUntil([&] { return cluster.membershipSize("a") == before - 1 && cluster.allRunningVote(); },
                             8000) >= 0);
    cluster.run(500);
    checkConsistent(cluster);
  }
  for (char const* link : {"a", "d", "e"}) cluster.kill(link);
  cluster.start("d");
  cluster.start("e");
  CHECK(acknowledges(cluster, "d", "i", 5000));
  CHECK(acknowledges(cluster, "e", "j", 5000));
  checkConsistent(cluster);
}

TEST_CASE("a new member votes only after it has caught up") {
  Cluster cluster(12, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.kill("b");
  REQUIRE(acknowledges(cluster, "a", "k", 4000));
  cluster.start("b");
  cluster.run(1000);
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.start("c");
  REQUIRE(cluster.runUntil([&] { return cluster.isStable(); }, 4000) >= 0);
  cluster.kill("a");
  CHECK(acknowledges(cluster, "c", "k", 5000));
  checkConsistent(cluster);
}
