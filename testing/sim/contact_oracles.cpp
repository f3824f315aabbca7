#include <algorithm>

#include <corkward/config/config.h>

#include "internal.h"

/// Decides from the injected faults which processes are in contact with a stable core, and checks the rules that hold
/// for these processes.
namespace corkward::testing {

namespace {

constexpr Milliseconds inspectionInterval = 50;

}  // namespace

bool SimulatedCluster::isRunning(Node const& n) const {
  return n.alive && !n.frozen && n.eventDelay == 0 && !n.draining;
}

bool SimulatedCluster::isConnected(std::string const& a, std::string const& b) const {
  if (a == b) return true;
  if (cuts_.count({a, b}) > 0 || cuts_.count({b, a}) > 0) return false;
  Node const* const x = node(a);
  Node const* const y = node(b);
  bool const differentZones = x != nullptr && y != nullptr && x->zone != y->zone;
  return !differentZones || (zoneCuts_.count(x->zone) == 0 && zoneCuts_.count(y->zone) == 0);
}

std::set<std::string> SimulatedCluster::stableCore() const {
  std::size_t disks = 0;
  std::set<std::string> out;
  for (auto const& [link, node] : nodes_) disks += node.disk ? 1 : 0;
  for (auto const& [address, machine] : nodes_) {
    if (!machine.disk || !isRunning(machine)) continue;
    std::size_t reached = 0;
    for (auto const& [name, process] : nodes_)
      reached += process.disk && isRunning(process) && isConnected(address, name) ? 1 : 0;
    if (reached > disks / 2) out.insert(address);
  }
  return out;
}

std::string SimulatedCluster::coreState() const {
  std::string out;
  for (auto const& [link, node] : nodes_) {
    if (!node.disk) continue;
    bool const harmed = node.diskStalled || node.diskDelay != 2 || node.disk->full || node.disk->failing;
    out += link + ":" + std::to_string(node.incarnation) + (isRunning(node) ? "+" : "-") + (harmed ? "!" : "");
    for (auto const& [address, machine] : nodes_)
      if (machine.disk) out += isConnected(link, address) ? "1" : "0";
    out += " ";
  }
  return out;
}

bool SimulatedCluster::hasNoFaults() const {
  if (!cuts_.empty() || !zoneCuts_.empty() || loss_ > 0) return false;
  return std::all_of(nodes_.begin(), nodes_.end(), [](auto const& entry) {
    Node const& node = entry.second;
    bool const disk =
        !node.disk || (!node.diskStalled && node.diskDelay == 2 && !node.disk->full && !node.disk->failing);
    return disk && node.eventDelay == 0 && !node.frozen;
  });
}

bool SimulatedCluster::inContact(Node const& n) const {
  return !stableCore_.empty() && now_ - coreChangedAt_ >= plan_.bounds.inContact &&
         now_ - n.lastFaultAt >= plan_.bounds.inContact;
}

Milliseconds SimulatedCluster::effectiveFrom(Node const& n, Milliseconds since) const {
  if (plan_.fenced) return since;
  if (!inContact(n)) return -1;
  return std::max({since, n.lastFaultAt + plan_.bounds.inContact, coreChangedAt_ + plan_.bounds.inContact}) +
         plan_.bounds.applied;
}

bool SimulatedCluster::isAnyRouterConnected() const {
  for (auto const& [routerLink, router] : nodes_) {
    if (!router.data || !isRunning(router)) continue;
    for (auto const& [controllerLink, controller] : nodes_)
      if (controller.control && isRunning(controller) && isConnected(routerLink, controllerLink)) return true;
  }
  return false;
}

void SimulatedCluster::watchRouterContact() {
  after(inspectionInterval, [this] { watchRouterContact(); });
  if (!isAnyRouterConnected()) routersCutOffAt_ = now_;
}

Milliseconds SimulatedCluster::removalEffectiveFrom(Node const& n, Milliseconds listedAt) const {
  if (listedAt < 0) return -1;
  Milliseconds const effective = effectiveFrom(n, listedAt);
  if (!plan_.listReader || effective < 0) return effective;
  return std::max(effective, routersCutOffAt_);
}

void SimulatedCluster::checkContactRules() {
  if (now_ > trafficFrom - 10000 + plan_.length + recoveryPeriod + 15000) return;
  after(inspectionInterval, [this] { checkContactRules(); });
  std::string const state = coreState();
  if (state != coreState_) coreChangedAt_ = now_;
  coreState_ = state;
  stableCore_ = stableCore();
  if (!hasNoFaults()) lastFaultAt_ = now_;
  bool const bad = state.find('-') != std::string::npos || state.find('!') != std::string::npos ||
                   state.find('0') != std::string::npos;
  if (!hasNoFaults() || bad || state.empty()) lastControllerFaultAt_ = now_;
  for (auto& n : nodes_) {
    bool const path = std::all_of(stableCore_.begin(), stableCore_.end(),
                                  [&](std::string const& link) { return isConnected(n.first, link); });
    if (!isRunning(n.second) || !path || loss_ > 0) n.second.lastFaultAt = now_;
  }
  checkRouterRevisions();
  checkMembersVote();
  checkAcknowledgements();
}

void SimulatedCluster::checkFirstServing(Node& n) {
  if (n.hasServed || !n.alive || !n.data || !n.data->servingLease(local(n))) return;
  n.hasServed = true;
  std::uint64_t const have = n.data->revisionOf(config::fleetConfigurationKey);
  if (have < n.confirmedAtBoot)
    violation("a router started serving with an old configuration: " + n.link + " with revision " +
              std::to_string(have) + ", confirmed before its start was " + std::to_string(n.confirmedAtBoot));
}

void SimulatedCluster::checkRouterRevisions() {
  for (auto& [link, node] : nodes_) {
    Node& k = node;
    if (!k.data || !k.alive || k.frozen) continue;
    std::uint64_t const have = k.data->revisionOf(config::fleetConfigurationKey);
    if (!inContact(k)) continue;
    for (ConfigurationChange const& o : configurationChanges_)
      if (o.acknowledgedAt >= 0 && o.revision > have && now_ > o.acknowledgedAt + plan_.bounds.applied) {
        violation("configuration out of date despite contact: " + link + " has revision " + std::to_string(have) +
                  ", " + std::to_string(o.revision) + " was confirmed " + std::to_string(now_ - o.acknowledgedAt) +
                  " ms ago; last fault " + std::to_string(now_ - k.lastFaultAt) + " ms ago");
        break;
      }
  }
}

void SimulatedCluster::checkMembersVote() {
  Milliseconds const since = std::max(coreChangedAt_, lastControllerFaultAt_);
  if (now_ - since < plan_.bounds.catchUp) return;
  std::size_t disks = 0;
  for (auto const& [link, node] : nodes_) disks += node.disk ? 1 : 0;
  for (auto const& n : nodes_) {
    if (!n.second.control) continue;
    consensus::ReplicatedRegisters const& r = n.second.control->registers();
    bool const member = std::any_of(r.membership().begin(), r.membership().end(),
                                    [&](consensus::Member const& m) { return m.id == r.self().id; });
    if (r.isVoting() && member && r.membership().size() == disks) continue;
    violation("does not vote in time: " + n.first + (member ? "" : " is no member") +
              (r.isVoting() ? "" : " has no vote") + ", membership of " + std::to_string(r.membership().size()) +
              " of " + std::to_string(disks) + ", " + std::to_string(now_ - since) + " ms after the last repair");
  }
}

void SimulatedCluster::checkAcknowledgements() {
  Milliseconds const stableFrom = std::max(coreChangedAt_, lastFaultAt_) + plan_.bounds.inContact;
  for (ConfigurationChange& o : configurationChanges_) {
    if (o.reportedLate || o.acknowledgedAt >= 0 || o.closed || o.sentAt < stableFrom || stableCore_.empty()) continue;
    if (now_ - o.sentAt <= plan_.bounds.acknowledged) continue;
    o.reportedLate = true;
    violation("no acknowledgement in " + std::to_string(now_ - o.sentAt) + " ms of a stable core: " + o.id);
  }
}

}  // namespace corkward::testing
