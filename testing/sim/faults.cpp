#include <algorithm>
#include <array>

#include "internal.h"

namespace corkward::testing {

int SimulatedCluster::countAlive(bool control) const {
  int n = 0;
  for (auto const& [link, node] : nodes_) n += node.alive && !node.frozen && (node.disk != nullptr) == control ? 1 : 0;
  return n;
}

bool SimulatedCluster::coreComplete() const {
  std::size_t disks = 0;
  for (auto const& [link, node] : nodes_) disks += node.disk ? 1 : 0;
  for (auto const& [address, machine] : nodes_)
    if (machine.disk && (!machine.alive || !machine.control->registers().isVoting() ||
                         machine.control->registers().membership().size() != disks))
      return false;
  return true;
}

void SimulatedCluster::injectFault(Fault f) {
  for (FaultName const& entry : faultTable)
    if (entry.fault == f) result_.timeline.push_back(std::to_string(now_) + " " + entry.name);
  ++result_.counts["faults"];
  if (f >= firstControlFault) {
    injectControlFault(f);
    return;
  }
  constexpr std::array<Fault, 19> delaysRecovery{
      Fault::killMany,        Fault::killControllers, Fault::freezeController,
      Fault::isolateMember,   Fault::splitFleet,      Fault::partitionControllers,
      Fault::partitionZone,   Fault::oneWayPartition, Fault::diskSlow,
      Fault::diskStall,       Fault::diskFull,        Fault::diskFail,
      Fault::powerLoss,       Fault::diskDamage,      Fault::restartController,
      Fault::longAbsence,     Fault::zoneLoss,        Fault::slowController,
      Fault::resetConnections};
  if (restartAfterOutage_ && std::find(delaysRecovery.begin(), delaysRecovery.end(), f) != delaysRecovery.end())
    faultDuringRestart_ = true;
  std::vector<Node*> control;
  std::vector<Node*> data;
  for (auto& [address, machine] : nodes_)
    if (machine.alive) (machine.disk ? control : data).push_back(&machine);
  std::vector<Replica*> models;
  for (auto& [replicaAddress, modelReplica] : replicas_)
    if (modelReplica.up && !modelReplica.poweredOff && modelReplica.listed && modelReplica.state == "serving" &&
        modelReplica.pool == "model")
      models.push_back(&modelReplica);
  Milliseconds const recoveryDelay = 500 + static_cast<Milliseconds>(rng_.below(6000));
  auto const bootLater = [this](Node& n, Milliseconds delay) {
    std::string const link = n.link;
    after(delay, [this, link] {
      Node* const k = node(link);
      if (k != nullptr && !k->alive) boot(*k);
    });
  };
  auto const cut = [this](std::vector<std::string> const& a, std::vector<std::string> const& b, Milliseconds duration) {
    std::vector<std::pair<std::string, std::string>> pairs;
    for (std::string const& x : a)
      for (std::string const& y : b)
        if (x != y) {
          pairs.emplace_back(x, y);
          pairs.emplace_back(y, x);
        }
    for (std::pair<std::string, std::string> const& p : pairs) cuts_.insert(p);
    after(duration, [this, pairs] {
      for (std::pair<std::string, std::string> const& p : pairs) cuts_.erase(p);
    });
  };
  std::vector<std::string> allLinks;
  std::vector<std::string> controlLinks;
  std::vector<std::string> dataLinks;
  for (auto const& [peerLink, peer] : nodes_) {
    allLinks.push_back(peerLink);
    (peer.disk ? controlLinks : dataLinks).push_back(peerLink);
  }
  switch (f) {
    case Fault::killRouter:
      if (!data.empty()) {
        Node& n = *data[rng_.below(data.size())];
        kill(n, false);
        bootLater(n, recoveryDelay);
      }
      break;
    case Fault::killMany:
      for (Node* const n : data)
        if (rng_.chance(0.6)) {
          kill(*n, false);
          bootLater(*n, recoveryDelay + static_cast<Milliseconds>(rng_.below(2000)));
        }
      for (Node* const n : control)
        if (rng_.chance(0.4)) {
          kill(*n, rng_.chance(0.5));
          bootLater(*n, recoveryDelay + static_cast<Milliseconds>(rng_.below(2000)));
        }
      break;
    case Fault::killControllers:
      for (Node* const n : control) {
        kill(*n, rng_.chance(0.5));
        bootLater(*n, recoveryDelay + 2000);
      }
      break;
    case Fault::killAll: {
      if (restartAfterOutage_) break;
      restartAfterOutage_ = true;
      Milliseconds const back = 1500;
      for (auto& [name, process] : nodes_) {
        kill(process, true);
        if (plan_.mutation == Mutation::controllersStayDown && process.disk) continue;
        bootLater(process, back);
      }
      after(back, [this] {
        cuts_.clear();
        zoneCuts_.clear();
        loss_ = 0;
        faultDuringRestart_ = false;
        servedSinceOutage_ = false;
      });
      after(back + 12000, [this] {
        restartAfterOutage_ = false;
        if (!servedSinceOutage_ && !faultDuringRestart_) violation("service was not back 12 s after a total outage");
        servedSinceOutage_ = true;
      });
      break;
    }
    case Fault::freezeRouter:
      if (!data.empty()) freeze(*data[rng_.below(data.size())], 1000 + static_cast<Milliseconds>(rng_.below(9000)));
      break;
    case Fault::freezeController:
      if (!control.empty())
        freeze(*control[rng_.below(control.size())], 500 + static_cast<Milliseconds>(rng_.below(8000)));
      break;
    case Fault::isolateMember:
      if (!control.empty()) cut({control[rng_.below(control.size())]->link}, allLinks, recoveryDelay + 1000);
      break;
    case Fault::splitFleet: {
      std::vector<std::string> a;
      std::vector<std::string> b;
      for (std::string const& l : allLinks) (rng_.chance(0.5) ? a : b).push_back(l);
      cut(a, b, recoveryDelay + 1000);
      break;
    }
    case Fault::partitionControllers:
      cut(controlLinks, dataLinks, recoveryDelay + 2000);
      break;
    case Fault::partitionZone: {
      std::string const z = "z" + std::to_string(1 + rng_.below(static_cast<std::uint64_t>(plan_.zones)));
      zoneCuts_.insert(z);
      after(recoveryDelay + 1000, [this, z] { zoneCuts_.erase(z); });
      break;
    }
    case Fault::isolateRouter:
      if (!data.empty())
        cut({data[rng_.below(data.size())]->link}, allLinks, recoveryDelay + (rng_.chance(0.4) ? 10000 : 1500));
      break;
    case Fault::oneWayPartition: {
      std::string const a = allLinks[rng_.below(allLinks.size())];
      std::vector<std::pair<std::string, std::string>> pairs;
      for (std::string const& l : allLinks)
        if (rng_.chance(0.5)) pairs.emplace_back(rng_.chance(0.5) ? std::pair(a, l) : std::pair(l, a));
      for (std::pair<std::string, std::string> const& p : pairs) cuts_.insert(p);
      after(recoveryDelay + 1000, [this, pairs] {
        for (std::pair<std::string, std::string> const& p : pairs) cuts_.erase(p);
      });
      break;
    }
    case Fault::diskSlow:
      if (!control.empty()) {
        Node& n = *control[rng_.below(control.size())];
        n.diskDelay = 200 + static_cast<Milliseconds>(rng_.below(900));
        after(recoveryDelay, [this, link = n.link] {
          if (Node* const k = node(link)) k->diskDelay = 2;
        });
      }
      break;
    case Fault::diskStall:
      if (!control.empty()) {
        Node& n = *control[rng_.below(control.size())];
        n.diskStalled = true;
        after(recoveryDelay, [this, link = n.link] {
          Node* const k = node(link);
          if (k == nullptr) return;
          k->diskStalled = false;
          k->writing = false;
          if (k->alive) writeNext(*k);
        });
      }
      break;
    case Fault::diskFull:
    case Fault::diskFail:
      if (!control.empty()) {
        Node& n = *control[rng_.below(control.size())];
        (f == Fault::diskFull ? n.disk->full : n.disk->failing) = true;
        after(recoveryDelay, [this, link = n.link] {
          Node* const k = node(link);
          if (k == nullptr) return;
          if (k->alive) kill(*k, false);
          boot(*k);
        });
      }
      break;
    case Fault::diskDamage:
      if (coreComplete()) {
        Node& n = *control[rng_.below(control.size())];
        kill(n, false);
        n.disk->damage(rng_);
        bootLater(n, recoveryDelay);
      }
      break;
    case Fault::powerLoss:
      for (Node* const n : control)
        if (rng_.chance(0.5)) {
          kill(*n, true);
          bootLater(*n, recoveryDelay);
        }
      break;
    case Fault::wipeSameAddress:
    case Fault::returnNewAddress: {
      if (!coreComplete() || newAddresses_ >= 1) break;
      Node& n = *control[rng_.below(control.size())];
      kill(n, true);
      if (f == Fault::wipeSameAddress) {
        n.disk->wipe();
        n.diskContentSince = now_;
        bootLater(n, recoveryDelay);
      } else {
        ++newAddresses_;
        Node added;
        added.link = "s9";
        added.zone = n.zone;
        added.disk = std::make_unique<SimulatedDisk>();
        added.disk->namesLostSeparately = plan_.namesLostSeparately;
        added.diskContentSince = now_;
        std::string const old = n.link;
        nodes_.erase(old);
        nodes_.emplace("s9", std::move(added));
        bootLater(nodes_.at("s9"), recoveryDelay);
      }
      break;
    }
    case Fault::replicaCrash:
      if (models.size() > 2) {
        Replica& r = *models[rng_.below(models.size())];
        crash(r);
        after(recoveryDelay, [this, a = r.address] { replicas_.at(a).up = true; });
      }
      break;
    case Fault::breakStreams:
      for (Milliseconds t = 0; t < recoveryDelay; t += 200)
        after(t, [this] {
          for (auto& [key, target] : replicas_)
            if (target.pool == "model" && rng_.chance(0.7)) breakStreams(target);
        });
      break;
    case Fault::crashManyReplicas:
      for (Replica* const r : models)
        if (rng_.chance(0.6)) {
          crash(*r);
          after(300 + static_cast<Milliseconds>(rng_.below(1500)),
                [this, a = r->address] { replicas_.at(a).up = true; });
        }
      break;
    case Fault::replicaPowerOff:
      if (models.size() > 2) {
        Replica& r = *models[rng_.below(models.size())];
        r.poweredOff = true;
        after(recoveryDelay, [this, a = r.address] {
          Replica& k = replicas_.at(a);
          crash(k);
          k.poweredOff = false;
          k.up = true;
        });
      }
      break;
    case Fault::replicaVanish:
      if (models.size() > 4) {
        Replica& r = *models[rng_.below(models.size())];
        crash(r);
        after(2000, [this, a = r.address] {
          replicas_.at(a).listed = false;
          publishEndpointLists();
        });
      }
      break;
    case Fault::allSlow:
      for (auto& [key, target] : replicas_) target.slow = 12.0;
      after(recoveryDelay + 3000, [this] {
        for (auto& [key, target] : replicas_) target.slow = 1.0;
      });
      break;
    case Fault::requestBurst:
      currentDemand_ = plan_.demand * 6;
      after(recoveryDelay, [this] { currentDemand_ = plan_.demand; });
      break;
    case Fault::aggressiveRetries:
      aggressiveFraction_ = 0.7;
      currentDemand_ = plan_.demand * 4;
      after(recoveryDelay + 2000, [this] {
        aggressiveFraction_ = 0;
        currentDemand_ = plan_.demand;
      });
      break;
    case Fault::rollReplicas:
    case Fault::coldReplicas:
      if (models.size() > 3) {
        Replica& r = *models[rng_.below(models.size())];
        r.state = "leaving";
        publishEndpointLists();
        after(9000, [this, a = r.address] { replaceReplica(a); });
      }
      break;
    case Fault::restartRouter:
      if (data.size() > 2) {
        Node& n = *data[rng_.below(data.size())];
        if (n.frozen || n.draining) break;
        n.draining = true;
        std::string const link = n.link;
        std::uint64_t const incarnation = n.incarnation;
        if (plan_.mutation != Mutation::dropOnRestart) run(n, n.data->drain(local(n)));
        std::shared_ptr<std::function<void()>> const poll = std::make_shared<std::function<void()>>();
        Milliseconds const until = now_ + 100000;
        *poll = [this, link, incarnation, until, poll] {
          Node& k = *node(link);
          if (!k.alive || k.incarnation != incarnation) return;
          bool const wait = plan_.mutation != Mutation::dropOnRestart && (k.frozen || k.data->pendingCount() > 0);
          if (wait && now_ < until) {
            after(50, *poll);
            return;
          }
          std::size_t dropped = 0;
          for (auto const& [id, caller] : callers_)
            dropped += caller.open && caller.node == link && caller.incarnation == incarnation &&
                               caller.firstTokenReceived && !caller.responseReset
                           ? 1
                           : 0;
          if (dropped > 0)
            violation("a planned restart dropped " + std::to_string(dropped) + " pending requests at " + link +
                      ", where the router still had " + std::to_string(k.data->pendingCount()) +
                      " requests in progress, " + std::to_string(until - now_) + " ms before the drain limit");
          ++result_.counts["planned-restarts"];
          kill(k, false);
          boot(k);
        };
        after(400, *poll);
      }
      break;
    case Fault::restartController:
      if (control.size() >= static_cast<std::size_t>(plan_.controllers)) {
        Node& n = *control[rng_.below(control.size())];
        if (n.frozen) break;
        // A draining member may leave the membership before its process exits.
        lastControllerFaultAt_ = now_;
        run(n, n.control->drain(local(n)));
        after(500, [this, link = n.link, incarnation = n.incarnation] {
          Node* const k = node(link);
          if (k == nullptr || !k->alive || k->incarnation != incarnation) return;
          kill(*k, false);
          boot(*k);
        });
      }
      break;
    case Fault::changeStorm:
      for (int i = 0; i < 20; ++i)
        after(static_cast<Milliseconds>(rng_.below(1500)), [this, i] {
          change("family:storm" + std::to_string(i % 3), "", "PUT", "/v1/templates/storm" + std::to_string(i % 3),
                 R"({"paths":[{"path":"x","pool":"model","class":"short"}]})",
                 i < 3 ? "0" : std::to_string(1 + rng_.below(8)), "");
        });
      break;
    case Fault::races:
      putTemplate(lastRevision_, 0);
      putTemplate(lastRevision_, 0);
      putTemplate(lastRevision_, 0);
      change(family, "bad", "PUT", templatePath, R"({"note":"denied-bad","paths":[{"path":"x"}]})", lastRevision_,
             "denied-bad");
      change(family, "stale", "PUT", templatePath,
             R"({"note":"denied-stale","paths":[{"path":"x","pool":"model","class":"short"}]})", "999999",
             "denied-stale");
      break;
    case Fault::bigTemplate:
      putTemplate(lastRevision_, 2000);
      break;
    case Fault::evacuate: {
      std::string const z = "z" + std::to_string(1 + rng_.below(static_cast<std::uint64_t>(plan_.zones)));
      if (evacuations_.count(z) > 0) break;
      evacuations_[z] = {now_, false};
      change("zone:" + z, "evacuate", "PUT", "/v1/evacuations/" + z, "", "", "",
             [this, z](int status, QJsonObject const&) {
               if (status == 200) evacuations_[z] = {now_, true};
               after(9000, [this, z] {
                 evacuations_[z] = {now_, false};
                 change("zone:" + z, "lift", "DELETE", "/v1/evacuations/" + z, "", "", "",
                        [this, z](int, QJsonObject const&) { evacuations_.erase(z); });
               });
             });
      break;
    }
    case Fault::wallClockJump:
      wallJump_ = static_cast<Milliseconds>(rng_.below(2000000)) - 1000000;
      if (plan_.regimes) wallJump_ = std::max(wallJump_, -maxClockStepBack);
      break;
    case Fault::addController:
      if (addedControllers_ < 3) {
        Node added;
        added.link = "t" + std::to_string(++addedControllers_);
        added.zone = "z" + std::to_string(1 + rng_.below(static_cast<std::uint64_t>(plan_.zones)));
        added.disk = std::make_unique<SimulatedDisk>();
        std::string const link = added.link;
        boot(nodes_.emplace(link, std::move(added)).first->second);
      }
      break;
    case Fault::longAbsence:
      if (!control.empty()) {
        Node& n = *control[rng_.below(control.size())];
        Milliseconds const duration = plan_.replaceUnreachableAfter + 500 + static_cast<Milliseconds>(rng_.below(6000));
        switch (rng_.below(3)) {
          case 0:
            freeze(n, duration);
            break;
          case 1:
            cut({n.link}, allLinks, duration);
            break;
          default:
            kill(n, rng_.chance(0.5));
            bootLater(n, duration);
        }
      }
      break;
    case Fault::greyReplicas:
      if (models.size() > 2) {
        std::size_t const count = 1 + rng_.below(models.size() / 3);
        Milliseconds const duration = 12000 + static_cast<Milliseconds>(rng_.below(12000));
        for (std::size_t i = 0; i < count; ++i) {
          Replica& r = *models[rng_.below(models.size())];
          if (r.grey > 0) continue;
          r.grey = 0.4 + 0.1 * static_cast<double>(rng_.below(5));
          r.greySince = now_;
          after(duration, [this, a = r.address] { replicas_.at(a).grey = 0; });
        }
      }
      break;
    case Fault::flapReplicas:
      for (std::size_t i = 0; i < 3 && models.size() > 4; ++i) {
        std::string const a = models[rng_.below(models.size())]->address;
        Milliseconds t = 0;
        while (t < recoveryDelay + 4000) {
          after(t, [this, a] { crash(replicas_.at(a)); });
          t += 200 + static_cast<Milliseconds>(rng_.below(1500));
          after(t, [this, a] { replicas_.at(a).up = true; });
          t += 200 + static_cast<Milliseconds>(rng_.below(1500));
        }
      }
      break;
    case Fault::resetConnections:
      for (Milliseconds t = 0; t < recoveryDelay; t += 300)
        after(t, [this] {
          for (auto& [name, process] : nodes_) {
            if (!process.alive || !rng_.chance(0.2)) continue;
            resetLinks(process);
            if (process.data && rng_.chance(0.5)) resetCallers(process);
            if (process.data && rng_.chance(0.5)) resetReplicas(process);
          }
        });
      break;
    case Fault::forgetConnections:
      for (Milliseconds t = 0; t < recoveryDelay + 4000; t += 100)
        after(t, [this] {
          for (auto& [key, idle] : idle_)
            for (Idle& c : idle) c.forgotten = c.forgotten || rng_.chance(0.3);
        });
      break;
    case Fault::slowRouter:
    case Fault::slowController: {
      std::vector<Node*> const& all = f == Fault::slowRouter ? data : control;
      if (all.empty()) break;
      Node& n = *all[rng_.below(all.size())];
      n.eventDelay = 2 + static_cast<Milliseconds>(rng_.below(18));
      after(recoveryDelay + 3000, [this, link = n.link, incarnation = n.incarnation] {
        Node* const k = node(link);
        if (k != nullptr && k->alive && k->incarnation == incarnation) restoreSpeed(*k);
      });
      break;
    }
    case Fault::scaleOut:
      scaleOut();
      break;
    case Fault::zoneLoss:
      powerOffZone("z" + std::to_string(1 + rng_.below(static_cast<std::uint64_t>(plan_.zones))), recoveryDelay + 5000);
      break;
    case Fault::shiftLengths:
      currentDemand_ = plan_.demand * 3;
      for (Milliseconds t = 0; t < recoveryDelay + 4000; t += 1500)
        after(t, [this] { shape_ = shape_ == Shape::longPrompt ? Shape::longAnswer : Shape::longPrompt; });
      after(recoveryDelay + 4000, [this] {
        shape_ = Shape::usual;
        currentDemand_ = plan_.demand;
      });
      break;
    case Fault::reuseAddress: {
      std::string const last = "z" + std::to_string(plan_.zones);
      std::vector<Replica*> mine;
      for (Replica* const r : models)
        if (r->zone != last) mine.push_back(r);
      if (mine.size() < 2 || evacuations_.count(last) > 0) break;
      Replica& r = *mine[rng_.below(mine.size())];
      std::string const zone = r.zone;
      crash(r);
      r.zone = last;
      after(recoveryDelay + 2000, [this, a = r.address, zone] {
        Replica& k = replicas_.at(a);
        crash(k);
        k.zone = zone;
        k.up = true;
      });
      r.up = true;
      break;
    }
    case Fault::lossyNetwork:
      loss_ = 0.05 + 0.1 * static_cast<double>(rng_.below(3));
      duplication_ = 0.1;
      after(recoveryDelay + 2000, [this] {
        loss_ = 0;
        duplication_ = 0;
      });
      break;
    default:
      break;
  }
}

void SimulatedCluster::heal() {
  cuts_.clear();
  zoneCuts_.clear();
  loss_ = 0;
  duplication_ = 0;
  for (auto& [link, node] : nodes_) {
    node.diskDelay = 2;
    if (node.eventDelay > 0 && node.alive) restoreSpeed(node);
    if (node.diskStalled) {
      node.diskStalled = false;
      node.writing = false;
      if (node.alive) writeNext(node);
    }
    if (node.disk && (node.disk->full || node.disk->failing)) kill(node, false);
    if (!node.alive && plan_.mutation != Mutation::controllersStayDown) boot(node);
  }
}

}  // namespace corkward::testing
