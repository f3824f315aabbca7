#include <catch2/catch.hpp>

#include "cluster_steps.h"

namespace core = corkward::core;
namespace consensus = corkward::consensus;
using consensus::bootstrap;
using consensus::checkConsistent;
using consensus::Cluster;
using consensus::threeLinks;
using core::Milliseconds;

namespace {

/// Members are killed, frozen, cut off, emptied, moved and added at random while callers append marks.
void runRandomFaults(std::uint64_t seed) {
  Cluster cluster(seed, [&] {
    consensus::ConsensusTuning t;
    t.replaceUnreachableAfter = seed % 2 == 0 ? 1200 : 3000;
    return t;
  }());
  std::vector<std::string> links(threeLinks);
  for (std::size_t i = 0; i < seed % 4; ++i) links.push_back(std::string(1, static_cast<char>('d' + i)));
  bootstrap(cluster, links);
  int next = 0;
  std::vector<std::pair<Milliseconds, std::function<void()>>> later;
  Milliseconds const end = cluster.now + 40000;
  Milliseconds fault = cluster.now + 500;
  while (cluster.now < end) {
    cluster.run(60);
    for (std::size_t i = 0; i < later.size();) {
      if (later[i].first > cluster.now) {
        ++i;
        continue;
      }
      std::function<void()> const act = later[i].second;
      later.erase(later.begin() + static_cast<std::ptrdiff_t>(i));
      act();
    }
    std::vector<std::string> up;
    for (auto const& [link, machine] : cluster.machines)
      if (machine.member && !machine.frozen) up.push_back(link);
    if (!up.empty()) cluster.call(up[cluster.rng.below(up.size())], "k" + std::to_string(cluster.rng.below(3)));
    if (cluster.now < fault || up.empty()) continue;
    fault = cluster.now + 100 + static_cast<Milliseconds>(cluster.rng.below(1500));
    if (!cluster.lostAcknowledged().empty()) break;
    std::string const v = up[cluster.rng.below(up.size())];
    Milliseconds const back =
        cluster.now + 100 + static_cast<Milliseconds>(cluster.rng.below(cluster.rng.chance(0.5) ? 800 : 6000));
    bool const stable = cluster.isStable();
    switch (cluster.rng.below(9)) {
      case 0:
      case 1:
        cluster.kill(v);
        later.emplace_back(back, [&cluster, v] { cluster.boot(v); });
        break;
      case 2:
        cluster.freeze(v);
        later.emplace_back(back, [&cluster, v] {
          if (cluster.machines.at(v).frozen) cluster.thaw(v);
        });
        break;
      case 3:
        cluster.cutOff(v, true);
        later.emplace_back(back, [&cluster, v] { cluster.cutOff(v, false); });
        break;
      case 4: {
        std::string const w = up[cluster.rng.below(up.size())];
        cluster.cut(v, w, true);
        later.emplace_back(back, [&cluster, v, w] { cluster.cut(v, w, false); });
        break;
      }
      case 5:
        cluster.machines.at(v).diskDelay = 300;
        later.emplace_back(back, [&cluster, v] { cluster.machines.at(v).diskDelay = 2; });
        break;
      case 6:
        for (std::string const& l : up) cluster.kill(l);
        for (std::string const& l : up)
          later.emplace_back(cluster.now + static_cast<Milliseconds>(cluster.rng.below(1000)),
                             [&cluster, l] { cluster.boot(l); });
        break;
      case 7:
        if (!stable) break;
        cluster.kill(v);
        cluster.machines.at(v).disk.clear();
        later.emplace_back(back, [&cluster, v] { cluster.boot(v); });
        break;
      case 8:
        if (!stable || cluster.machines.size() >= 8) break;
        cluster.boot("x" + std::to_string(next++));
        break;
    }
  }
  CHECK(cluster.lostAcknowledged() == std::vector<std::string>{});
  for (auto const& [at, act] : later) act();
  cluster.cuts.clear();
  for (auto& [link, machine] : cluster.machines) {
    machine.diskDelay = 2;
    if (machine.frozen) cluster.thaw(link);
    cluster.boot(link);
  }
  INFO("seed " << seed);
  CHECK(cluster.until([&] { return cluster.isStable(); }, 20000) >= 0);
  cluster.run(3000);
  std::size_t acknowledged = 0;
  for (auto const& [key, values] : cluster.acknowledged) acknowledged += values.size();
  CHECK(acknowledged > 50);
  checkConsistent(cluster);
}

}  // namespace

TEST_CASE("random faults in clusters of several sizes lose no acknowledged change") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) runRandomFaults(seed);
}
