#include <algorithm>

#include "internal.h"

/// Faults of the control scenarios: partitions of members, losses of power or disks right after an acknowledgement or a
/// repair, replacement of every member one after the other, and bursts of changes before a loss.
namespace corkward::testing {

namespace {

/// Time from the start of a replacement controller to the update of the seeds in the settings, in ms.
constexpr Milliseconds seedLag = 3000;
/// Shortest duration of a member's partition, and the range of the random addition, in ms.
constexpr Milliseconds shortestCut = 2000;
constexpr std::uint64_t cutSpread = 19000;

}  // namespace

void SimulatedCluster::injectControlFault(Fault f) {
  switch (f) {
    case Fault::secondDiskLoss:
      loseSecondDisk();
      break;
    case Fault::replaceMembersInTurn: {
      if (!coreComplete() || repairInProgress_ || replacedInTurn_ > 0) break;
      repairInProgress_ = true;
      std::vector<std::string> old;
      for (auto const& [link, node] : nodes_)
        if (node.disk) old.push_back(link);
      replaceNextMember(old);
      break;
    }
    case Fault::manyChanges: {
      Operators const& o = plan_.operators;
      if (burstChangesLeft_ > 0) break;
      ++result_.counts["bursts"];
      burstChangesLeft_ =
          o.burstMin + static_cast<int>(rng_.below(static_cast<std::uint64_t>(o.burstMax - o.burstMin + 1)));
      break;
    }
    case Fault::powerLossAtAcknowledgement:
      powerLossTrigger_ = PowerLossTrigger{true, false, false, rng_.chance(0.4)};
      break;
    case Fault::powerLossAtTime:
      powerLossTrigger_ = PowerLossTrigger{true, true, rng_.chance(0.3), rng_.chance(0.4)};
      break;
    case Fault::wipeAtAcknowledgement:
      powerLossTrigger_ = PowerLossTrigger{true, false, true, rng_.chance(0.3)};
      break;
    case Fault::massPowerLoss:
      cutPower(PowerLossTrigger{true, false, false, true});
      break;
    default:
      partitionMember(f);
  }
}

std::string SimulatedCluster::oldestDisk(bool oldest) {
  std::vector<std::string> out;
  Milliseconds since = -1;
  for (auto const& [link, node] : nodes_) {
    if (!node.disk || !node.alive) continue;
    if (oldest && !out.empty() && node.diskContentSince > since) continue;
    if (oldest && !out.empty() && node.diskContentSince < since) out.clear();
    since = node.diskContentSince;
    out.push_back(link);
  }
  return out.empty() ? std::string() : out[rng_.below(out.size())];
}

std::vector<std::pair<std::string, std::string>> SimulatedCluster::cutPairs(Fault f,
                                                                            std::vector<std::string> const& cut) {
  bool const extras = f == Fault::partitionMemberRestart || f == Fault::partitionMemberNewSeeds ||
                      f == Fault::partitionMemberEndpointChange;
  bool const all = f == Fault::partitionMemberFromAll || (extras && rng_.chance(0.5));
  bool const keepsOwnZone = f == Fault::partitionMemberFromOtherZones || (extras && !all && rng_.chance(0.5));
  bool const backwards = rng_.chance(0.5);
  std::vector<std::pair<std::string, std::string>> out;
  for (std::string const& c : cut)
    for (auto const& [address, machine] : nodes_) {
      if (std::find(cut.begin(), cut.end(), address) != cut.end()) continue;
      if (!machine.disk && !all && !(keepsOwnZone && machine.zone != node(c)->zone)) continue;
      if (f != Fault::partitionMemberAsymmetric || !backwards) out.emplace_back(c, address);
      if (f != Fault::partitionMemberAsymmetric || backwards) out.emplace_back(address, c);
    }
  return out;
}

void SimulatedCluster::partitionMember(Fault f) {
  if (partitionActive_) return;
  std::vector<std::string> cut;
  std::string const first = oldestDisk(f == Fault::partitionMemberOldest);
  if (first.empty()) return;
  cut.push_back(first);
  std::string const second = oldestDisk(f == Fault::partitionMemberOldest);
  std::size_t disks = 0;
  for (auto const& [address, machine] : nodes_) disks += machine.disk ? 1 : 0;
  if (disks >= 5 && second != first && rng_.chance(0.5)) cut.push_back(second);
  partitionActive_ = true;
  ++result_.counts["core-cuts"];
  Milliseconds const duration = shortestCut + static_cast<Milliseconds>(rng_.below(cutSpread));
  std::vector<std::pair<std::string, std::string>> const pairs = cutPairs(f, cut);
  for (std::pair<std::string, std::string> const& p : pairs) cuts_.insert(p);
  after(duration, [this, pairs] {
    for (std::pair<std::string, std::string> const& p : pairs) cuts_.erase(p);
    partitionActive_ = false;
  });
  if (plan_.operators.sendToIsolated)
    for (std::string const& link : cut) {
      after(duration / 2, [this, link] { sendChangesTo(link); });
      after(duration + 1, [this, link] { sendChangesTo(link); });
    }
  for (std::string const& link : cut)
    after(duration / 2 + 500, [this, link] {
      Node const* const n = node(link);
      if (n != nullptr && n->control && n->alive) readOnce(link);
    });
  if (rng_.chance(0.5)) {
    std::vector<std::string> data;
    for (auto const& [name, process] : nodes_)
      if (process.data) data.push_back(name);
    if (!data.empty()) restartLater(data[rng_.below(data.size())], duration / 2);
  }
  injectFaultDuringPartition(f, cut, duration);
}

void SimulatedCluster::injectFaultDuringPartition(Fault f, std::vector<std::string> const& cut, Milliseconds duration) {
  if (f == Fault::partitionMemberNewSeeds) {
    replaceSeeds(cut);
    for (auto const& [address, machine] : nodes_)
      if (rng_.chance(0.3) && machine.data) restartLater(address, duration / 3);
  }
  if (f == Fault::partitionMemberEndpointChange) after(duration / 3, [this, cut] { publishToCutOff(cut); });
  if (f != Fault::partitionMemberRestart) return;
  Milliseconds t = duration / 3;
  for (std::string const& link : cut) restartLater(link, t);
  for (auto const& [name, process] : nodes_)
    if (process.disk && std::find(cut.begin(), cut.end(), name) == cut.end()) restartLater(name, t += 1500);
}

void SimulatedCluster::restartLater(std::string const& link, Milliseconds delay) {
  after(delay, [this, link] {
    Node* const n = node(link);
    if (n == nullptr || !n->alive) return;
    kill(*n, false);
    after(300, [this, link] {
      Node* const k = node(link);
      if (k != nullptr && !k->alive) boot(*k);
    });
  });
}

void SimulatedCluster::replaceSeeds(std::vector<std::string> const& first) {
  std::vector<std::string> seeds = first;
  for (auto const& [link, node] : nodes_)
    if (node.disk && seeds.size() < 3 && std::find(seeds.begin(), seeds.end(), link) == seeds.end())
      seeds.push_back(link);
  seeds_ = seeds;
  for (auto& [address, machine] : nodes_) {
    if (!machine.alive) continue;
    if (machine.control) machine.control->setSeeds(seeds);
    if (machine.data) machine.data->updateTuning(routerTuning(), seeds);
  }
}

void SimulatedCluster::publishToCutOff(std::vector<std::string> const& cut) {
  std::vector<std::string> models;
  for (auto const& [replicaAddress, modelReplica] : replicas_)
    if (modelReplica.up && modelReplica.listed && modelReplica.state == "serving" && modelReplica.pool == "model")
      models.push_back(replicaAddress);
  if (models.size() < 4) return;
  std::string const address = models[rng_.below(models.size())];
  replicas_.at(address).state = "leaving";
  cutOffControllers_ = cut;
  publishEndpointLists();
  cutOffControllers_.clear();
  after(9000, [this, address] { replaceReplica(address); });
}

void SimulatedCluster::sendChangesTo(std::string const& link) {
  Node const* const n = node(link);
  if (n == nullptr || !n->alive || !n->control) return;
  ++result_.counts["meets"];
  sendNewChange(link);
  if (rng_.chance(plan_.operators.raceFraction)) sendNewChange(link);
}

void SimulatedCluster::loseSecondDisk() {
  if (!coreComplete() || repairInProgress_) return;
  std::string const first = oldestDisk(rng_.chance(0.5));
  if (first.empty()) return;
  repairInProgress_ = true;
  Node& n = *node(first);
  kill(n, true);
  n.disk->wipe();
  n.diskContentSince = now_;
  Milliseconds const restartDelay = 500 + static_cast<Milliseconds>(rng_.below(1000));
  after(restartDelay, [this, first] {
    if (Node* const k = node(first); k != nullptr && !k->alive) boot(*k);
  });
  Milliseconds const due = restartDelay + plan_.bounds.catchUp + 1 + static_cast<Milliseconds>(rng_.below(300));
  after(due, [this, first, booted = now_ + restartDelay] {
    repairInProgress_ = false;
    std::string const second = oldestDisk(rng_.chance(0.5));
    bool const undisturbed = coreChangedAt_ <= booted + 100 && lastControllerFaultAt_ <= booted + 100;
    if (second.empty() || second == first || !undisturbed) return;
    ++result_.counts["second-losses"];
    Node& k = *node(second);
    kill(k, true);
    k.disk->wipe();
    k.diskContentSince = now_;
    after(1000, [this, second] {
      if (Node* const restarted = node(second); restarted != nullptr && !restarted->alive) boot(*restarted);
    });
  });
}

void SimulatedCluster::replaceNextMember(std::vector<std::string> old) {
  if (old.empty()) {
    repairInProgress_ = false;
    return;
  }
  Milliseconds const wait = plan_.bounds.catchUp + static_cast<Milliseconds>(rng_.below(500));
  std::string const link = old.back();
  if (Node const* const n = node(link); n == nullptr || !coreComplete()) {
    repairInProgress_ = false;
    return;
  }
  old.pop_back();
  Node& replaced = *node(link);
  std::string const zone = replaced.zone;
  kill(replaced, true);
  nodes_.erase(link);
  ++result_.counts["replaced-in-turn"];
  std::string const added = "r" + std::to_string(++replacedInTurn_);
  after(1000, [this, added, zone] {
    Node n;
    n.link = added;
    n.zone = zone;
    n.disk = std::make_unique<SimulatedDisk>();
    n.disk->namesLostSeparately = plan_.namesLostSeparately;
    n.diskContentSince = now_;
    boot(nodes_.emplace(added, std::move(n)).first->second);
    after(seedLag, [this] { replaceSeeds({}); });
  });
  after(1000 + wait, [this, old] { replaceNextMember(old); });
}

void SimulatedCluster::stopControllerAfterBurst() {
  ++result_.counts["bursts-done"];
  std::string const link = oldestDisk(rng_.chance(0.5));
  if (link.empty()) return;
  bool const wipe = coreComplete() && rng_.chance(0.6);
  Node& n = *node(link);
  kill(n, true);
  if (wipe) {
    n.disk->wipe();
    n.diskContentSince = now_;
    ++result_.counts["wiped-after-burst"];
  }
  after(800, [this, link] {
    if (Node* const k = node(link); k != nullptr && !k->alive) boot(*k);
  });
}

void SimulatedCluster::cutPower(PowerLossTrigger const& trigger) {
  ++result_.counts["strikes"];
  std::string const wiped = trigger.wipesDisk && coreComplete() ? oldestDisk(rng_.chance(0.5)) : std::string();
  bool const cutsControllers = wiped.empty() || rng_.chance(0.5);
  for (auto& [address, machine] : nodes_) {
    bool const hit = machine.disk ? cutsControllers || address == wiped : trigger.includesRouters && rng_.chance(0.7);
    if (!hit || !machine.alive) continue;
    kill(machine, true);
    if (address == wiped) {
      machine.disk->wipe();
      machine.diskContentSince = now_;
    }
    after(500 + static_cast<Milliseconds>(rng_.below(1000)), [this, link = address] {
      if (Node* const k = node(link); k != nullptr && !k->alive) boot(*k);
    });
  }
}

}  // namespace corkward::testing
