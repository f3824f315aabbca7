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

TEST_CASE("new machines that know only the discovery peers join one by one and vote soon") {
  Cluster four(1, shortTimeouts());
  bootstrap(four, threeLinks);
  four.boot("d");
  CHECK(four.until([&] { return four.isStable(); }, 2000) >= 0);
  CHECK(four.size("a") == 4);
  CHECK(acknowledges(four, "d", "k", 1000));
  checkConsistent(four);
  Cluster six(2, shortTimeouts());
  bootstrap(six, threeLinks);
  for (char const* l : {"d", "e", "f"}) six.boot(l);
  CHECK(six.until([&] { return six.isStable(); }, 3000) >= 0);
  CHECK(acknowledges(six, "f", "k", 1000));
  checkConsistent(six);
  Cluster first(3, shortTimeouts());
  for (char const* l : {"a", "b", "c", "d", "e", "f"}) first.boot(l, threeLinks);
  CHECK(first.until([&] { return first.isStable(); }, 4500) >= 0);
  checkConsistent(first);
  Cluster alone(4, shortTimeouts(), {"a"});
  alone.boot("a", {"a"});
  for (char const* l : {"b", "c"}) alone.boot(l);
  CHECK(alone.until([&] { return alone.isStable(); }, 4000) >= 0);
  checkConsistent(alone);
}

TEST_CASE("no more than the greatest number of members vote") {
  Cluster cluster(1, shortTimeouts());
  std::vector<std::string> const all{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
  for (std::string const& l : all) cluster.boot(l, threeLinks);
  cluster.run(12000);
  CHECK(cluster.size("a") == 9);
  std::size_t votes = 0;
  for (std::string const& l : all) votes += cluster.votes(l) ? 1 : 0;
  CHECK(votes == 9);
  checkConsistent(cluster);
}

TEST_CASE(
    "a machine with an empty disk replaces the member of its address at once, and another one an unreachable member") {
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.kill("b");
  cluster.machines.at("b").disk.clear();
  cluster.run(300);
  cluster.boot("b");
  Milliseconds const took = cluster.until([&] { return cluster.isStable(); }, 2500);
  CHECK(took > 0);
  CHECK(cluster.size("a") == 3);
  cluster.remove("c");
  cluster.run(3200);
  cluster.boot("d");
  CHECK(cluster.until([&] { return cluster.isStable(); }, 1500) >= 0);
  CHECK(cluster.size("a") == 3);
  CHECK(acknowledges(cluster, "d", "k", 1000));
  checkConsistent(cluster);
}

TEST_CASE("an unreachable member beside an added one is removed after the timeout") {
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.remove("c");
  cluster.run(1500);
  cluster.boot("d");
  CHECK(cluster.until([&] { return cluster.votes("d"); }, 1500) >= 0);
  CHECK(cluster.size("a") == 4);
  CHECK(cluster.until([&] { return cluster.size("a") == 3; }, 3000) >= 0);
  CHECK(cluster.until([&] { return cluster.isStable(); }, 1000) >= 0);
  cluster.kill("d");
  cluster.run(10000);
  CHECK(cluster.size("a") == 3);
  CHECK(acknowledges(cluster, "a", "k", 3000));
  checkConsistent(cluster);
}

TEST_CASE("a removed member that returns with its old disk drops its state and joins under a new id") {
  for (bool const frozen : {true, false})
    for (bool const restarted : {false, true}) {
      Cluster cluster(7, shortTimeouts());
      bootstrap(cluster, {"a", "b", "c", "d"});
      std::string const old = cluster.at("d").self().id;
      std::map<std::string, std::string> const disk = cluster.machines.at("d").disk;
      if (frozen)
        cluster.freeze("d");
      else
        cluster.cutOff("d", true);
      CHECK(cluster.until([&] { return cluster.size("a") == 3; }, 6000) >= 0);
      CHECK(acknowledges(cluster, "a", "k", 3000));
      bool oldIdReplied = false;
      bool updateReceived = false;
      cluster.watch = [&](std::string const& from, transport::Send const& s) {
        if (from != "d" || !updateReceived) return;
        if (transport::Promise const* const p = std::get_if<transport::Promise>(&s.message))
          oldIdReplied = oldIdReplied || p->member == old;
        if (transport::Accepted const* const p = std::get_if<transport::Accepted>(&s.message))
          oldIdReplied = oldIdReplied || p->member == old;
        if (transport::SnapshotChunk const* const p = std::get_if<transport::SnapshotChunk>(&s.message))
          oldIdReplied = oldIdReplied || p->member == old;
      };
      if (frozen)
        cluster.thaw("d");
      else
        cluster.cutOff("d", false);
      CHECK(cluster.until([&] { return !cluster.at("d").isVoting(); }, 1000) >= 0);
      updateReceived = true;
      if (restarted) {
        cluster.run(40);
        cluster.kill("d");
        cluster.boot("d");
        CHECK_FALSE(cluster.at("d").isVoting());
        CHECK(cluster.at("d").self().id != old);
      }
      CHECK(cluster.until([&] { return cluster.isStable(); }, 2500) >= 0);
      CHECK(cluster.size("a") == 4);
      CHECK(cluster.at("d").self().id != old);
      CHECK_FALSE(oldIdReplied);
      CHECK(acknowledges(cluster, "d", "k", 1000));
      checkConsistent(cluster);
      CHECK(cluster.machines.at("d").disk.at("meta") != disk.at("meta"));
    }
}

TEST_CASE("a membership of even size tolerates the loss of one member but not a partition into halves") {
  Cluster cluster(5, shortTimeouts());
  bootstrap(cluster, {"a", "b", "c", "d"});
  for (char const* x : {"a", "b"})
    for (char const* y : {"c", "d"}) cluster.cut(x, y, true);
  cluster.run(8000);
  std::uint64_t const left = cluster.call("a", "k");
  std::uint64_t const right = cluster.call("c", "k");
  cluster.run(6000);
  CHECK(cluster.statusOf(left) != 200);
  CHECK(cluster.statusOf(right) != 200);
  CHECK(cluster.size("a") == 4);
  cluster.cuts.clear();
  CHECK(acknowledges(cluster, "a", "k", 4000));
  cluster.kill("b");
  CHECK(acknowledges(cluster, "a", "k", 3000));
  checkConsistent(cluster);
}

TEST_CASE("a value of three among five members survives the removal of two of them and the loss of the third") {
  Cluster cluster(11, shortTimeouts());
  bootstrap(cluster, {"a", "b", "c", "d", "e"});
  cluster.kill("d");
  cluster.kill("e");
  for (char const* key : {"i", "j"}) {
    REQUIRE(acknowledges(cluster, "a", key, 4000));
    REQUIRE(cluster.at("a").owns(key));
  }
  cluster.boot("d");
  cluster.boot("e");
  cluster.run(1500);
  for (char const* struck : {"c", "b"}) {
    std::size_t const before = cluster.size("a");
    cluster.remove(struck);
    REQUIRE(cluster.until([&] { return cluster.size("a") == before - 1 && cluster.allVote(); }, 8000) >= 0);
    cluster.run(500);
    checkConsistent(cluster);
  }
  for (char const* l : {"a", "d", "e"}) cluster.kill(l);
  cluster.boot("d");
  cluster.boot("e");
  CHECK(acknowledges(cluster, "d", "i", 5000));
  CHECK(acknowledges(cluster, "e", "j", 5000));
  checkConsistent(cluster);
}

TEST_CASE("a new member votes only after it has caught up") {
  Cluster cluster(12, shortTimeouts());
  bootstrap(cluster, threeLinks);
  cluster.kill("b");
  REQUIRE(acknowledges(cluster, "a", "k", 4000));
  cluster.boot("b");
  cluster.run(1000);
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.boot("c");
  REQUIRE(cluster.until([&] { return cluster.isStable(); }, 4000) >= 0);
  cluster.kill("a");
  CHECK(acknowledges(cluster, "c", "k", 5000));
  checkConsistent(cluster);
}
