#include <algorithm>

#include "internal.h"

/// Failures of control's worst days: members cut off in every way, losses timed to an acknowledgement or to the end of
/// a repair, members replaced in turn, bursts of changes before a loss.
namespace corkward::testing {

namespace {

/// Settings files name the new seeds so long after the machines are there.
constexpr Milliseconds seedLag = 3000;
/// How long a cut of a member lasts.
constexpr Milliseconds shortestCut = 2000;
constexpr std::uint64_t cutSpread = 19000;

}  // namespace

void SimulatedCluster::causeOfControl(Fault f) {
  switch (f) {
    case Fault::secondLoss:
      loseSecond();
      break;
    case Fault::replaceInTurn: {
      if (!coreComplete() || repairing_ || replacedInTurn_ > 0) break;
      repairing_ = true;
      std::vector<std::string> old;
      for (auto const& [link, node] : nodes_)
        if (node.disk) old.push_back(link);
      replaceNext(old);
      break;
    }
    case Fault::manyChanges: {
      Operators const& o = plan_.operators;
      if (burstLeft_ > 0) break;
      ++result_.counts["bursts"];
      burstLeft_ =
          o.burstLeast + static_cast<int>(rng_.below(static_cast<std::uint64_t>(o.burstMost - o.burstLeast + 1)));
      break;
    }
    case Fault::powerLossAtAcknowledgement:
      strike_ = Strike{true, false, false, rng_.chance(0.4)};
      break;
    case Fault::powerLossAtTime:
      strike_ = Strike{true, true, rng_.chance(0.3), rng_.chance(0.4)};
      break;
    case Fault::wipeAtAcknowledgement:
      strike_ = Strike{true, false, true, rng_.chance(0.3)};
      break;
    case Fault::massPower:
      strike(Strike{true, false, false, true});
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
    if (oldest && !out.empty() && node.diskSince > since) continue;
    if (oldest && !out.empty() && node.diskSince < since) out.clear();
    since = node.diskSince;
    out.push_back(link);
  }
  return out.empty() ? std::string() : out[rng_.below(out.size())];
}

std::vector<std::pair<std::string, std::string>> SimulatedCluster::cutPairs(Fault f,
                                                                            std::vector<std::string> const& cut) {
  bool const extras =
      f == Fault::partitionMemberBoth || f == Fault::partitionMemberSeeds || f == Fault::partitionMemberLure;
  bool const all = f == Fault::partitionMemberAll || (extras && rng_.chance(0.5));
  bool const near = f == Fault::partitionMemberNear || (extras && !all && rng_.chance(0.5));
  bool const backwards = rng_.chance(0.5);
  std::vector<std::pair<std::string, std::string>> out;
  for (std::string const& c : cut)
    for (auto const& [address, machine] : nodes_) {
      if (std::find(cut.begin(), cut.end(), address) != cut.end()) continue;
      if (!machine.disk && !all && !(near && machine.zone != node(c)->zone)) continue;
      if (f != Fault::partitionMemberAsymmetric || !backwards) out.emplace_back(c, address);
      if (f != Fault::partitionMemberAsymmetric || backwards) out.emplace_back(address, c);
    }
  return out;
}

void SimulatedCluster::partitionMember(Fault f) {
  if (coreCut_) return;
  std::vector<std::string> cut;
  std::string const first = oldestDisk(f == Fault::partitionMemberOldest);
  if (first.empty()) return;
  cut.push_back(first);
  std::string const second = oldestDisk(f == Fault::partitionMemberOldest);
  std::size_t disks = 0;
  for (auto const& [address, machine] : nodes_) disks += machine.disk ? 1 : 0;
  if (disks >= 5 && second != first && rng_.chance(0.5)) cut.push_back(second);
  coreCut_ = true;
  ++result_.counts["core-cuts"];
  Milliseconds const how = shortestCut + static_cast<Milliseconds>(rng_.below(cutSpread));
  std::vector<std::pair<std::string, std::string>> const pairs = cutPairs(f, cut);
  for (std::pair<std::string, std::string> const& p : pairs) cuts_.insert(p);
  after(how, [this, pairs] {
    for (std::pair<std::string, std::string> const& p : pairs) cuts_.erase(p);
    coreCut_ = false;
  });
  if (plan_.operators.meet)
    for (std::string const& link : cut) {
      after(how / 2, [this, link] { meetOrders(link); });
      after(how + 1, [this, link] { meetOrders(link); });
    }
  for (std::string const& link : cut)
    after(how / 2 + 500, [this, link] {
      Node const* const n = node(link);
      if (n != nullptr && n->control && n->alive) readOnce(link);
    });
  if (rng_.chance(0.5)) {
    std::vector<std::string> data;
    for (auto const& [name, process] : nodes_)
      if (process.data) data.push_back(name);
    if (!data.empty()) restartLater(data[rng_.below(data.size())], how / 2);
  }
  cutExtras(f, cut, how);
}

void SimulatedCluster::cutExtras(Fault f, std::vector<std::string> const& cut, Milliseconds how) {
  if (f == Fault::partitionMemberSeeds) {
    newSeeds(cut);
    for (auto const& [address, machine] : nodes_)
      if (rng_.chance(0.3) && machine.data) restartLater(address, how / 3);
  }
  if (f == Fault::partitionMemberLure) after(how / 3, [this, cut] { lure(cut); });
  if (f != Fault::partitionMemberBoth) return;
  Milliseconds t = how / 3;
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

void SimulatedCluster::newSeeds(std::vector<std::string> const& first) {
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

void SimulatedCluster::lure(std::vector<std::string> const& cut) {
  std::vector<std::string> models;
  for (auto const& [replicaAddress, modelReplica] : replicas_)
    if (modelReplica.up && modelReplica.listed && modelReplica.state == "serving" && modelReplica.pool == "model")
      models.push_back(replicaAddress);
  if (models.size() < 4) return;
  std::string const address = models[rng_.below(models.size())];
  replicas_.at(address).state = "leaving";
  luredBy_ = cut;
  platform();
  luredBy_.clear();
  after(9000, [this, address] { replaceReplica(address); });
}

void SimulatedCluster::meetOrders(std::string const& link) {
  Node const* const n = node(link);
  if (n == nullptr || !n->alive || !n->control) return;
  ++result_.counts["meets"];
  orderAnew(link);
  if (rng_.chance(plan_.operators.race)) orderAnew(link);
}

void SimulatedCluster::loseSecond() {
  if (!coreComplete() || repairing_) return;
  std::string const first = oldestDisk(rng_.chance(0.5));
  if (first.empty()) return;
  repairing_ = true;
  Node& n = *node(first);
  kill(n, true);
  n.disk->wipe();
  n.diskSince = now_;
  Milliseconds const back = 500 + static_cast<Milliseconds>(rng_.below(1000));
  after(back, [this, first] {
    if (Node* const k = node(first); k != nullptr && !k->alive) boot(*k);
  });
  Milliseconds const due = back + plan_.bounds.catchUp + 1 + static_cast<Milliseconds>(rng_.below(300));
  after(due, [this, first, booted = now_ + back] {
    repairing_ = false;
    std::string const second = oldestDisk(rng_.chance(0.5));
    bool const undisturbed = coreChangedAt_ <= booted + 100 && memberTroubledAt_ <= booted + 100;
    if (second.empty() || second == first || !undisturbed) return;
    ++result_.counts["second-losses"];
    Node& k = *node(second);
    kill(k, true);
    k.disk->wipe();
    k.diskSince = now_;
    after(1000, [this, second] {
      if (Node* const again = node(second); again != nullptr && !again->alive) boot(*again);
    });
  });
}

void SimulatedCluster::replaceNext(std::vector<std::string> old) {
  if (old.empty()) {
    repairing_ = false;
    return;
  }
  Milliseconds const wait = plan_.bounds.catchUp + static_cast<Milliseconds>(rng_.below(500));
  std::string const link = old.back();
  if (Node const* const n = node(link); n == nullptr || !coreComplete()) {
    repairing_ = false;
    return;
  }
  old.pop_back();
  Node& replaced = *node(link);
  std::string const zone = replaced.zone;
  kill(replaced, true);
  nodes_.erase(link);
  ++result_.counts["replaced-in-turn"];
  std::string const fresh = "r" + std::to_string(++replacedInTurn_);
  after(1000, [this, fresh, zone] {
    Node n;
    n.link = fresh;
    n.zone = zone;
    n.disk = std::make_unique<SimDisk>();
    n.disk->looseNames = plan_.looseNames;
    n.diskSince = now_;
    boot(nodes_.emplace(fresh, std::move(n)).first->second);
    after(seedLag, [this] { newSeeds({}); });
  });
  after(1000 + wait, [this, old] { replaceNext(old); });
}

void SimulatedCluster::afterBurst() {
  ++result_.counts["bursts-done"];
  std::string const link = oldestDisk(rng_.chance(0.5));
  if (link.empty()) return;
  bool const wipe = coreComplete() && rng_.chance(0.6);
  Node& n = *node(link);
  kill(n, true);
  if (wipe) {
    n.disk->wipe();
    n.diskSince = now_;
    ++result_.counts["wiped-after-burst"];
  }
  after(800, [this, link] {
    if (Node* const k = node(link); k != nullptr && !k->alive) boot(*k);
  });
}

void SimulatedCluster::strike(Strike const& strike) {
  ++result_.counts["strikes"];
  std::string const wiped = strike.wipe && coreComplete() ? oldestDisk(rng_.chance(0.5)) : std::string();
  bool const most = wiped.empty() || rng_.chance(0.5);
  for (auto& [address, machine] : nodes_) {
    bool const hit = machine.disk ? most || address == wiped : strike.everyone && rng_.chance(0.7);
    if (!hit || !machine.alive) continue;
    kill(machine, true);
    if (address == wiped) {
      machine.disk->wipe();
      machine.diskSince = now_;
    }
    after(500 + static_cast<Milliseconds>(rng_.below(1000)), [this, link = address] {
      if (Node* const k = node(link); k != nullptr && !k->alive) boot(*k);
    });
  }
}

}  // namespace corkward::testing
