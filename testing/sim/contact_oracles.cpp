#include <algorithm>

#include <corkward/config/config.h>

#include "internal.h"

/// Which machines are in touch with a settled core, by what was done to them, and what holds for them then.
namespace corkward::testing {

namespace {

constexpr Milliseconds inspectionInterval = 50;

}  // namespace

bool SimulatedCluster::running(Node const& n) const {
  return n.alive && !n.frozen && n.step == 0 && !n.draining;
}

bool SimulatedCluster::joined(std::string const& a, std::string const& b) const {
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
    if (!machine.disk || !running(machine)) continue;
    std::size_t reached = 0;
    for (auto const& [name, process] : nodes_)
      reached += process.disk && running(process) && joined(address, name) ? 1 : 0;
    if (reached > disks / 2) out.insert(address);
  }
  return out;
}

std::string SimulatedCluster::coreState() const {
  std::string out;
  for (auto const& [link, node] : nodes_) {
    if (!node.disk) continue;
    bool const harmed = node.diskStalled || node.diskDelay != 2 || node.disk->full || node.disk->failing;
    out += link + ":" + std::to_string(node.incarnation) + (running(node) ? "+" : "-") + (harmed ? "!" : "");
    for (auto const& [address, machine] : nodes_)
      if (machine.disk) out += joined(link, address) ? "1" : "0";
    out += " ";
  }
  return out;
}

bool SimulatedCluster::calm() const {
  if (!cuts_.empty() || !zoneCuts_.empty() || loss_ > 0) return false;
  return std::all_of(nodes_.begin(), nodes_.end(), [](auto const& entry) {
    Node const& node = entry.second;
    bool const disk =
        !node.disk || (!node.diskStalled && node.diskDelay == 2 && !node.disk->full && !node.disk->failing);
    return disk && node.step == 0 && !node.frozen;
  });
}

bool SimulatedCluster::inContact(Node const& n) const {
  return !stableCore_.empty() && now_ - coreChangedAt_ >= plan_.bounds.inContact &&
         now_ - n.troubledAt >= plan_.bounds.inContact;
}

Milliseconds SimulatedCluster::boundFrom(Node const& n, Milliseconds since) const {
  if (plan_.fenced) return since;
  if (!inContact(n)) return -1;
  return std::max({since, n.troubledAt + plan_.bounds.inContact, coreChangedAt_ + plan_.bounds.inContact}) +
         plan_.bounds.applied;
}

void SimulatedCluster::inspect() {
  if (now_ > trafficFrom - 10000 + plan_.length + recoveryPeriod + 15000) return;
  after(inspectionInterval, [this] { inspect(); });
  std::string const state = coreState();
  if (state != coreState_) coreChangedAt_ = now_;
  coreState_ = state;
  stableCore_ = stableCore();
  if (!calm()) troubledAt_ = now_;
  bool const bad = state.find('-') != std::string::npos || state.find('!') != std::string::npos ||
                   state.find('0') != std::string::npos;
  if (!calm() || bad || state.empty()) memberTroubledAt_ = now_;
  for (auto& n : nodes_) {
    bool const path = std::all_of(stableCore_.begin(), stableCore_.end(),
                                  [&](std::string const& link) { return joined(n.first, link); });
    if (!running(n.second) || !path || loss_ > 0) n.second.troubledAt = now_;
  }
  inspectRouters();
  inspectMembers();
  inspectOrders();
}

void SimulatedCluster::inspectBeginning(Node& n) {
  if (n.begun || !n.alive || !n.data || !n.data->servingLease(local(n))) return;
  n.begun = true;
  std::uint64_t const have = n.data->revisionOf(config::fleetConfigurationKey);
  if (have < n.confirmedBefore)
    violation("a router began with an old configuration: " + n.link + " with revision " + std::to_string(have) +
              ", confirmed before its start was " + std::to_string(n.confirmedBefore));
}

void SimulatedCluster::inspectRouters() {
  for (auto& [link, node] : nodes_) {
    Node& k = node;
    if (!k.data || !k.alive || k.frozen) continue;
    std::uint64_t const have = k.data->revisionOf(config::fleetConfigurationKey);
    if (!inContact(k)) continue;
    for (Order const& o : orders_)
      if (o.acknowledgedAt >= 0 && o.revision > have && now_ > o.acknowledgedAt + plan_.bounds.applied) {
        violation("out of date though in touch: " + link + " has revision " + std::to_string(have) + ", " +
                  std::to_string(o.revision) + " was confirmed " + std::to_string(now_ - o.acknowledgedAt) +
                  " ms ago; in trouble last " + std::to_string(now_ - k.troubledAt) + " ms ago");
        break;
      }
  }
}

void SimulatedCluster::inspectMembers() {
  Milliseconds const since = std::max(coreChangedAt_, memberTroubledAt_);
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

void SimulatedCluster::inspectOrders() {
  Milliseconds const stableFrom = std::max(coreChangedAt_, troubledAt_) + plan_.bounds.inContact;
  for (Order& o : orders_) {
    if (o.judgedLate || o.acknowledgedAt >= 0 || o.closed || o.sentAt < stableFrom || stableCore_.empty()) continue;
    if (now_ - o.sentAt <= plan_.bounds.acknowledged) continue;
    o.judgedLate = true;
    violation("no acknowledgement in " + std::to_string(now_ - o.sentAt) + " ms of a settled core: " + o.id);
  }
}

}  // namespace corkward::testing
