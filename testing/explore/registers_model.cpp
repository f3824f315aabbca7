#include "registers_model.h"

#include <algorithm>

#include <corkward/core/error.h>

namespace corkward::explore {

namespace {

Rules withoutMembership(Rules rules) {
  rules.dropMembership = true;
  return rules;
}

/// Returns whether a message of this kind that has no effect now can never have one later.
bool staysWithoutEffect(transport::Message const& message) {
  return std::holds_alternative<transport::Promise>(message) || std::holds_alternative<transport::Accepted>(message) ||
         std::holds_alternative<transport::Commit>(message);
}

}  // namespace

RegistersModel::RegistersModel(Rules rules, Bounds bounds)
    : bounds_(bounds),
      cluster_(withoutMembership(std::move(rules))),
      start_(cluster_.foundedState(bounds.members, 0)) {}

std::vector<RegistersModel::Action> RegistersModel::actions(State const& s) const {
  std::vector<Action> out;
  for (std::uint16_t i = 0; i < s.net.size(); ++i) {
    out.push_back(Action{Kind::deliver, 0, i, 0});
    if (s.spent.faults >= bounds_.faults) continue;
    out.push_back(Action{Kind::deliverTwice, 0, i, 0});
    bool const writes = std::holds_alternative<transport::Prepare>(*s.net[i].message) ||
                        std::holds_alternative<transport::Accept>(*s.net[i].message);
    if (!writes) continue;
    out.push_back(Action{Kind::deliverSlow, 0, i, 0});
    out.push_back(Action{Kind::deliverCrash, 0, i, 0});
  }
  for (std::uint8_t m = 0; m < s.machines.size(); ++m) actionsOf(out, s, m);
  return out;
}

void RegistersModel::actionsOf(std::vector<Action>& out, State const& s, std::uint8_t machine) const {
  Machine const& m = *s.machines[machine];
  bool const owns = m.member->owns(operatorKey);
  if (!m.pending.empty()) out.push_back(Action{Kind::sync, machine, 0, 0});
  if (owns && s.spent.calls < bounds_.changes) out.push_back(Action{Kind::change, machine, 0, 0});
  if (owns && s.spent.reads < bounds_.reads) out.push_back(Action{Kind::read, machine, 0, 0});
  if (!owns && s.spent.elections < bounds_.elections) out.push_back(Action{Kind::election, machine, 0, 0});
  bool const needsTimer = owns || !m.member->isVoting();
  if (needsTimer && s.spent.clocks < bounds_.clocks) out.push_back(Action{Kind::clock, machine, 0, 0});
  if (s.spent.faults >= bounds_.faults && m.pending.empty()) return;
  for (std::uint8_t persistedRecords = 0; persistedRecords <= m.pending.size(); ++persistedRecords)
    out.push_back(Action{Kind::crash, machine, 0, persistedRecords});
  if (s.spent.faults < bounds_.faults) out.push_back(Action{Kind::wipe, machine, 0, 0});
}

State RegistersModel::apply(State const& s, Action const& action) const {
  State next = s;
  try {
    act(next, action);
  } catch (core::Error const& e) {
    next.broken = e.what();
  }
  if (next.broken.empty()) cluster_.checkRebuild(next);
  if (next.broken.empty()) prune(next);
  return next;
}

void RegistersModel::deliver(State& s, Action const& action) const {
  Packet const p = s.net[action.packet];
  if (action.kind != Kind::deliverTwice) s.net.erase(s.net.begin() + action.packet);
  if (action.kind != Kind::deliver) ++s.spent.faults;
  bool const slow = action.kind == Kind::deliverSlow || action.kind == Kind::deliverCrash;
  cluster_.deliver(s, p, slow ? Sync::later : Sync::atOnce);
  if (action.kind != Kind::deliverCrash) return;
  cluster_.kill(s, p.to);
  cluster_.boot(s, p.to);
}

void RegistersModel::act(State& s, Action const& action) const {
  int const machine = action.machine;
  switch (action.kind) {
    case Kind::deliver:
    case Kind::deliverTwice:
    case Kind::deliverSlow:
    case Kind::deliverCrash:
      return deliver(s, action);
    case Kind::sync:
      return cluster_.sync(s, machine, s.machines[action.machine]->pending.size(), true);
    case Kind::crash:
      if (s.machines[action.machine]->pending.empty()) ++s.spent.faults;
      cluster_.sync(s, machine, action.persistedRecords, false);
      cluster_.kill(s, machine);
      return cluster_.boot(s, machine);
    case Kind::wipe:
      ++s.spent.faults;
      cluster_.wipe(s, machine);
      return cluster_.boot(s, machine);
    case Kind::election:
      ++s.spent.elections;
      return cluster_.triggerElection(s, machine);
    case Kind::change:
      ++s.spent.calls;
      return cluster_.change(s, machine);
    case Kind::read:
      ++s.spent.reads;
      return cluster_.read(s, machine);
    case Kind::clock:
      ++s.spent.clocks;
      return cluster_.clock(s, machine, cluster_.rules().tuning.heartbeatEvery);
  }
}

void RegistersModel::prune(State& s) const {
  std::erase_if(s.net, [&](Packet& p) {
    if (!staysWithoutEffect(*p.message)) return false;
    Machine const& m = *s.machines[static_cast<std::size_t>(p.to)];
    std::uint64_t const digest = cluster_.digest(m);
    if (p.hadEffectAt != digest && !cluster_.hasEffect(p, m)) return true;
    p.hadEffectAt = digest;
    return false;
  });
}

std::string RegistersModel::name(State const& s, Action const& action) const {
  std::string const at = " " + linkOf(action.machine);
  switch (action.kind) {
    case Kind::deliver:
      return "deliver " + nameOf(s.net[action.packet]);
    case Kind::deliverTwice:
      return "deliver, and again later: " + nameOf(s.net[action.packet]);
    case Kind::deliverSlow:
      return "deliver, with a delayed sync: " + nameOf(s.net[action.packet]);
    case Kind::deliverCrash:
      return "deliver, crash before the write, restart: " + nameOf(s.net[action.packet]);
    case Kind::sync:
      return "sync the pending records at" + at;
    case Kind::crash:
      return "crash and restart" + at + ", " + std::to_string(action.persistedRecords) + " pending records kept";
    case Kind::wipe:
      return "wipe the disk and restart" + at;
    case Kind::election:
      return "election starts at" + at;
    case Kind::change:
      return "change called at" + at;
    case Kind::read:
      return "read called at" + at;
    case Kind::clock:
      return "timer event, the next heartbeat is due, at" + at;
  }
  return "";
}

}  // namespace corkward::explore
