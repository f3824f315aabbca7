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

/// Appends items while faults occur at random: members are killed, paused or partitioned, have a slow disk, lose their
/// disk, or are added. Afterwards ends all faults and checks that the cluster becomes stable without lost items.
void runRandomFaults(std::uint64_t seed) {
  Cluster cluster(seed, [&] {
    consensus::ConsensusTuning tuning;
    tuning.replaceUnreachableAfter = seed % 2 == 0 ? 1200 : 3000;
    return tuning;
  }());
  std::vector<std::string> links(threeLinks);
  for (std::size_t i = 0; i < seed % 4; ++i) links.push_back(std::string(1, static_cast<char>('d' + i)));
  bootstrap(cluster, links);
  int addedMachines = 0;
  std::vector<std::pair<Milliseconds, std::function<void()>>> repairs;
  Milliseconds const end = cluster.now + 40000;
  Milliseconds nextFaultAt = cluster.now + 500;
  while (cluster.now < end) {
    cluster.run(60);
    for (std::size_t i = 0; i < repairs.size();) {
      if (repairs[i].first > cluster.now) {
        ++i;
        continue;
      }
      std::function<void()> const repair = repairs[i].second;
      repairs.erase(repairs.begin() + static_cast<std::ptrdiff_t>(i));
      repair();
    }
    std::vector<std::string> running;
    for (auto const& [link, machine] : cluster.machines)
      if (machine.member && !machine.isPaused) running.push_back(link);
    if (!running.empty())
      cluster.append(running[cluster.random.below(running.size())], "k" + std::to_string(cluster.random.below(3)));
    if (cluster.now < nextFaultAt || running.empty()) continue;
    nextFaultAt = cluster.now + 100 + static_cast<Milliseconds>(cluster.random.below(1500));
    if (!cluster.keysWithLostItems().empty()) break;
    std::string const victim = running[cluster.random.below(running.size())];
    Milliseconds const repairAt =
        cluster.now + 100 + static_cast<Milliseconds>(cluster.random.below(cluster.random.chance(0.5) ? 800 : 6000));
    bool const stable = cluster.isStable();
    switch (cluster.random.below(9)) {
      case 0:
      case 1:
        cluster.kill(victim);
        repairs.emplace_back(repairAt, [&cluster, victim] { cluster.start(victim); });
        break;
      case 2:
        cluster.pause(victim);
        repairs.emplace_back(repairAt, [&cluster, victim] {
          if (cluster.machines.at(victim).isPaused) cluster.resume(victim);
        });
        break;
      case 3:
        cluster.setIsolated(victim, true);
        repairs.emplace_back(repairAt, [&cluster, victim] { cluster.setIsolated(victim, false); });
        break;
      case 4: {
        std::string const other = running[cluster.random.below(running.size())];
        cluster.setPartitioned(victim, other, true);
        repairs.emplace_back(repairAt, [&cluster, victim, other] { cluster.setPartitioned(victim, other, false); });
        break;
      }
      case 5:
        cluster.machines.at(victim).diskDelay = 300;
        repairs.emplace_back(repairAt, [&cluster, victim] { cluster.machines.at(victim).diskDelay = 2; });
        break;
      case 6:
        for (std::string const& link : running) cluster.kill(link);
        for (std::string const& link : running)
          repairs.emplace_back(cluster.now + static_cast<Milliseconds>(cluster.random.below(1000)),
                               [&cluster, link] { cluster.start(link); });
        break;
      case 7:
        if (!stable) break;
        cluster.kill(victim);
        cluster.machines.at(victim).disk.clear();
        repairs.emplace_back(repairAt, [&cluster, victim] { cluster.start(victim); });
        break;
      case 8:
        if (!stable || cluster.machines.size() >= 8) break;
        cluster.start("x" + std::to_string(addedMachines++));
        break;
    }
  }
  CHECK(cluster.keysWithLostItems() == std::vector<std::string>{});
  for (auto const& [at, repair] : repairs) repair();
  cluster.partitions.clear();
  for (auto& [link, machine] : cluster.machines) {
    machine.diskDelay = 2;
    if (machine.isPaused) cluster.resume(link);
    cluster.start(link);
  }
  INFO("seed " << seed);
  CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 20000) >= 0);
  cluster.run(3000);
  std::size_t acknowledged = 0;
  for (auto const& [key, values] : cluster.acknowledgedItems) acknowledged += values.size();
  CHECK(acknowledged > 50);
  checkConsistent(cluster);
}

}  // namespace

TEST_CASE("random faults in clusters that start with 3 to 6 members lose no acknowledged change") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) runRandomFaults(seed);
}
