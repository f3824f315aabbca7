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

TEST_CASE("one to three founders bootstrap a cluster, and machines with empty disks and no founders never do") {
  for (std::size_t founderCount = 1; founderCount <= 3; ++founderCount) {
    Cluster cluster(founderCount);
    bootstrap(cluster, std::vector<std::string>(threeLinks.begin(),
                                                threeLinks.begin() + static_cast<std::ptrdiff_t>(founderCount)));
    CHECK(cluster.membershipSize("a") == founderCount);
  }
  Cluster cluster(4);
  for (std::string const& link : threeLinks) cluster.start(link);
  cluster.run(30000);
  for (std::string const& link : threeLinks) {
    CHECK(cluster.member(link).hasNoState());
    CHECK_FALSE(cluster.member(link).isVoting());
  }
}

TEST_CASE("the other founders bootstrap a cluster once a founder reports that it has no disk") {
  Cluster cluster(5);
  std::vector<std::string> const founders{"g", "a", "b"};
  for (std::string const& link : threeLinks) cluster.start(link, founders);
  cluster.run(5000);
  for (std::string const& link : threeLinks) CHECK(cluster.member(link).membership().empty());
  for (std::string const& link : threeLinks)
    cluster.member(link).onMessage(cluster.now, "g", transport::NotAVotingMember{});
  CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 4000) >= 0);
  CHECK(acknowledges(cluster, "c", "k", 2000));
  checkConsistent(cluster);
}

TEST_CASE("a founder that restarts during the bootstrap without a founders setting does not block the bootstrap") {
  for (Milliseconds killAfter = 0; killAfter < 500; killAfter += 7)
    for (std::string const& victim : threeLinks) {
      Cluster cluster(static_cast<std::uint64_t>(killAfter) * 3 + 1, shortTimeouts());
      for (std::string const& link : threeLinks) cluster.start(link, threeLinks);
      cluster.run(killAfter);
      cluster.kill(victim);
      cluster.run(300);
      cluster.start(victim);
      INFO("killed " << victim << " after " << killAfter << " ms");
      CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 4000) >= 0);
      CHECK(acknowledges(cluster, "b", "k", 2000));
      checkConsistent(cluster);
    }
}

TEST_CASE("founders that are all killed during the bootstrap complete the bootstrap after their restart") {
  for (Milliseconds killAfter = 10; killAfter < 500; killAfter += 7) {
    Cluster cluster(static_cast<std::uint64_t>(killAfter), shortTimeouts());
    for (std::string const& link : threeLinks) cluster.start(link, threeLinks);
    cluster.run(killAfter);
    for (std::string const& link : threeLinks) cluster.kill(link);
    cluster.run(300);
    for (std::string const& link : threeLinks) cluster.start(link);
    INFO("killed all after " << killAfter << " ms");
    CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 4000) >= 0);
    checkConsistent(cluster);
  }
}

TEST_CASE("a bootstrap with 60 percent message loss completes once the loss ends") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    cluster.lossProbability = 0.6;
    for (std::string const& link : threeLinks) cluster.start(link, threeLinks);
    cluster.run(3000);
    cluster.lossProbability = 0;
    CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 4000) >= 0);
    checkConsistent(cluster);
  }
}

TEST_CASE("a founder with a damaged disk has no state and never bootstraps a cluster") {
  consensus::ReplicatedRegisters member(consensus::Member{"x", "a"}, {"a"}, {}, 1);
  consensus::RegisterCommands const commands = member.restore({}, true, 1000);
  for (consensus::PersistCommand const& persist : commands.persists) member.onPersisted(1000, persist.ticket, true);
  for (core::Milliseconds now = 1000; now < 20000; now += 25) member.onTimer(now);
  CHECK_FALSE(member.isVoting());
  CHECK(member.hasNoState());
}
