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

TEST_CASE("one, two or three founders bootstrap a cluster; an empty disk without founders never does") {
  for (std::size_t n = 1; n <= 3; ++n) {
    Cluster cluster(n);
    bootstrap(cluster,
              std::vector<std::string>(threeLinks.begin(), threeLinks.begin() + static_cast<std::ptrdiff_t>(n)));
    CHECK(cluster.size("a") == n);
  }
  Cluster cluster(4);
  for (std::string const& l : threeLinks) cluster.boot(l);
  cluster.run(30000);
  for (std::string const& l : threeLinks) {
    CHECK(cluster.at(l).hasNoState());
    CHECK_FALSE(cluster.at(l).isVoting());
  }
}

TEST_CASE("founders without a disk do not count, and the others bootstrap as soon as these report it") {
  Cluster cluster(5);
  std::vector<std::string> const founders{"g", "a", "b"};
  for (std::string const& l : threeLinks) cluster.boot(l, founders);
  cluster.run(5000);
  for (std::string const& l : threeLinks) CHECK(cluster.at(l).membership().empty());
  for (std::string const& l : threeLinks) cluster.at(l).onMessage(cluster.now, "g", transport::NotAVotingMember{});
  CHECK(cluster.until([&] { return cluster.isStable(); }, 4000) >= 0);
  CHECK(acknowledges(cluster, "c", "k", 2000));
  checkConsistent(cluster);
}

TEST_CASE("a founder that restarts without its list of founders during the bootstrap does not block it") {
  for (Milliseconds when = 0; when < 500; when += 7)
    for (std::string const& victim : threeLinks) {
      Cluster cluster(static_cast<std::uint64_t>(when) * 3 + 1, shortTimeouts());
      for (std::string const& l : threeLinks) cluster.boot(l, threeLinks);
      cluster.run(when);
      cluster.kill(victim);
      cluster.run(300);
      cluster.boot(victim);
      INFO("killed " << victim << " after " << when);
      CHECK(cluster.until([&] { return cluster.isStable(); }, 4000) >= 0);
      CHECK(acknowledges(cluster, "b", "k", 2000));
      checkConsistent(cluster);
    }
}

TEST_CASE("founders that are all killed during the bootstrap complete it after their restart") {
  for (Milliseconds when = 10; when < 500; when += 7) {
    Cluster cluster(static_cast<std::uint64_t>(when), shortTimeouts());
    for (std::string const& l : threeLinks) cluster.boot(l, threeLinks);
    cluster.run(when);
    for (std::string const& l : threeLinks) cluster.kill(l);
    cluster.run(300);
    for (std::string const& l : threeLinks) cluster.boot(l);
    INFO("killed after " << when);
    CHECK(cluster.until([&] { return cluster.isStable(); }, 4000) >= 0);
    checkConsistent(cluster);
  }
}

TEST_CASE("a bootstrap with heavy message loss completes") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    cluster.loss = 0.6;
    for (std::string const& l : threeLinks) cluster.boot(l, threeLinks);
    cluster.run(3000);
    cluster.loss = 0;
    CHECK(cluster.until([&] { return cluster.isStable(); }, 4000) >= 0);
    checkConsistent(cluster);
  }
}

TEST_CASE("a member with a damaged disk joins as a new one and never bootstraps") {
  consensus::ReplicatedRegisters m(consensus::Member{"x", "a"}, {"a"}, {}, 1);
  consensus::RegisterCommands const c = m.restore({}, true, 1000);
  for (consensus::PersistCommand const& p : c.persists) m.onPersisted(1000, p.ticket, true);
  for (core::Milliseconds t = 1000; t < 20000; t += 25) m.onTimer(t);
  CHECK_FALSE(m.isVoting());
  CHECK(m.hasNoState());
}
