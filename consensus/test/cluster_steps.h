#pragma once

/// Steps that the tests of whole clusters share.

#include <catch2/catch.hpp>

#include "cluster.h"

namespace corkward::consensus {

inline std::vector<std::string> const threeLinks{"a", "b", "c"};

inline ConsensusTuning shortTimeouts() {
  ConsensusTuning tuning;
  tuning.replaceUnreachableAfter = 3000;
  return tuning;
}

/// Starts the machines, bootstraps a cluster from the first three, and has one change acknowledged.
inline void bootstrap(Cluster& cluster, std::vector<std::string> const& links) {
  std::vector<std::string> const founders(
      links.begin(), links.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(3, links.size())));
  for (std::string const& l : links) cluster.boot(l, founders);
  REQUIRE(cluster.until([&] { return cluster.isStable(); }, 6000) >= 0);
  std::uint64_t const token = cluster.call(links.front(), "k");
  REQUIRE(cluster.until([&] { return cluster.statusOf(token) == 200; }, 3000) >= 0);
}

inline void checkConsistent(Cluster& cluster) {
  CHECK(cluster.violations == std::vector<std::string>{});
  CHECK(cluster.lostAcknowledged() == std::vector<std::string>{});
}

inline bool acknowledges(Cluster& cluster, std::string const& link, std::string const& key, Milliseconds limit) {
  Milliseconds const until = cluster.now + limit;
  while (cluster.now < until) {
    std::uint64_t const token = cluster.call(link, key);
    if (cluster.until([&] { return cluster.statusOf(token) != 0; }, until - cluster.now) < 0) return false;
    if (cluster.statusOf(token) == 200) return true;
    cluster.run(50);
  }
  return false;
}

}  // namespace corkward::consensus
