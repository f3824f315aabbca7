#pragma once

/// Steps that the tests with a simulated cluster share.

#include <catch2/catch.hpp>

#include "cluster.h"

namespace corkward::consensus {

inline std::vector<std::string> const threeLinks{"a", "b", "c"};

inline ConsensusTuning shortTimeouts() {
  ConsensusTuning tuning;
  tuning.replaceUnreachableAfter = 3000;
  return tuning;
}

/// Starts the machines, bootstraps a cluster with the first three as founders, and waits until one change is
/// acknowledged.
inline void bootstrap(Cluster& cluster, std::vector<std::string> const& links) {
  std::vector<std::string> const founders(
      links.begin(), links.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, links.size())));
  for (std::string const& link : links) cluster.start(link, founders);
  REQUIRE(cluster.runUntil([&] { return cluster.isStable(); }, 6000) >= 0);
  std::uint64_t const token = cluster.append(links.front(), "k");
  REQUIRE(cluster.runUntil([&] { return cluster.statusOf(token) == 200; }, 3000) >= 0);
}

/// Checks that no guarantee was violated and no acknowledged item was lost.
inline void checkConsistent(Cluster& cluster) {
  CHECK(cluster.violations == std::vector<std::string>{});
  CHECK(cluster.keysWithLostItems() == std::vector<std::string>{});
}

/// Appends items to the key until one is acknowledged. Returns false if none is acknowledged within the limit.
inline bool acknowledges(Cluster& cluster, std::string const& link, std::string const& key, Milliseconds limit) {
  Milliseconds const until = cluster.now + limit;
  while (cluster.now < until) {
    std::uint64_t const token = cluster.append(link, key);
    if (cluster.runUntil([&] { return cluster.statusOf(token) != 0; }, until - cluster.now) < 0) return false;
    if (cluster.statusOf(token) == 200) return true;
    cluster.run(50);
  }
  return false;
}

}  // namespace corkward::consensus
