#include "membership_model.h"

#include <corkward/core/error.h>

namespace corkward::explore {

namespace {

/// Returns the rules with short times (in ms), so that few timer events lie between two steps of a change.
Rules withShortTimes(Rules rules) {
  rules.tuning.heartbeatEvery = 50;
  rules.tuning.ownerTimeout = 200;
  rules.tuning.electionSpread = 1;
  rules.tuning.restartPause = 50;
  rules.tuning.restartSpread = 1;
  rules.tuning.resendEvery = 100;
  rules.tuning.replaceUnreachableAfter = 400;
  rules.cap = 500;
  return rules;
}

constexpr Milliseconds stepTime = 50;

}  // namespace

MembershipModel::MembershipModel(Rules rules, Bounds bounds)
    : rules_(withShortTimes(std::move(rules))),
      bounds_(bounds),
      cluster_(rules_),
      start_(stateOnSmallestMajority(bounds.members)) {}

/// Returns a state in which only the smallest possible majority, the last members, has the last confirmed change. The
/// first of them owns the register.
State MembershipModel::stateOnSmallestMajority(int members) const {
  State s = cluster_.foundedState(members, members < 5 ? 1 : 0);
  int const majority = members / 2 + 1;
  s.isolated = (1U << (members - majority)) - 1U;
  cluster_.triggerElection(s, members - majority);
  cluster_.deliverMessages(s, 0);
  cluster_.change(s, members - majority);
  cluster_.deliverMessages(s, 0);
  s.isolated = 0;
  s.net.clear();
  if (members < 5) return s;
  cluster_.kill(s, members - 1);
  cluster_.kill(s, members - 2);
  cluster_.runFor(s, rules_.tuning.replaceUnreachableAfter - 2 * stepTime);
  return s;
}

std::vector<MembershipModel::Action> MembershipModel::actions(State const& s) const {
  std::vector<Action> out{Action{Kind::advance, 0, 0}};
  if (s.net.empty()) out.push_back(Action{Kind::longWait, 0, 0});
  std::set<std::uint8_t> kinds;
  if (s.spent.faults < bounds_.faults)
    for (Packet const& p : s.net) kinds.insert(static_cast<std::uint8_t>(p.message->index()));
  for (std::uint8_t const k : kinds) out.push_back(Action{Kind::loseMessages, 0, k});
  bool const mayWipe = cluster_.openLosses(s) < (static_cast<int>(s.history->members.size()) - 1) / 2;
  for (std::uint8_t i = 0; i < s.machines.size(); ++i) {
    Machine const& m = *s.machines[i];
    bool const isolated = (s.isolated >> i & 1U) != 0;
    if (m.member && s.spent.calls < bounds_.changes && m.member->owns(operatorKey))
      out.push_back(Action{Kind::change, i, 0});
    if (s.spent.faults >= bounds_.faults) continue;
    if (isolated) out.push_back(Action{Kind::heal, i, 0});
    if (!m.member) out.push_back(Action{Kind::restart, i, 0});
    if (!m.member) continue;
    out.push_back(Action{Kind::kill, i, 0});
    if (!isolated) out.push_back(Action{Kind::isolate, i, 0});
    if (mayWipe) out.push_back(Action{Kind::wipe, i, 0});
  }
  return out;
}

State MembershipModel::apply(State const& s, Action const& action) const {
  State next = s;
  try {
    act(next, action);
  } catch (core::Error const& e) {
    next.broken = e.what();
  }
  cluster_.checkRebuild(next);
  return next;
}

void MembershipModel::act(State& s, Action const& action) const {
  int const machine = action.machine;
  unsigned const bit = 1U << action.machine;
  switch (action.kind) {
    case Kind::advance:
      if (!s.net.empty()) return cluster_.deliverMessages(s, 1);
      for (int i = 0; i < static_cast<int>(s.machines.size()); ++i) cluster_.clock(s, i, stepTime);
      return;
    case Kind::longWait:
      return cluster_.runFor(s, rules_.tuning.replaceUnreachableAfter + rules_.tuning.ownerTimeout);
    case Kind::kill:
      ++s.spent.faults;
      return cluster_.kill(s, machine);
    case Kind::restart:
      ++s.spent.faults;
      return cluster_.boot(s, machine);
    case Kind::wipe:
      ++s.spent.faults;
      cluster_.wipe(s, machine);
      return cluster_.boot(s, machine);
    case Kind::isolate:
      ++s.spent.faults;
      s.isolated |= bit;
      return;
    case Kind::heal:
      ++s.spent.faults;
      s.isolated &= ~bit;
      return;
    case Kind::loseMessages:
      ++s.spent.faults;
      std::erase_if(s.net, [&](Packet const& p) { return p.message->index() == action.message; });
      return;
    case Kind::change:
      ++s.spent.calls;
      return cluster_.change(s, machine);
  }
}

std::string MembershipModel::name(State const& s, Action const& action) const {
  std::string const at = " " + linkOf(action.machine);
  switch (action.kind) {
    case Kind::advance:
      return s.net.empty() ? "timer events, " + std::to_string(stepTime) + " ms later"
                           : std::to_string(s.net.size()) + " messages arrive";
    case Kind::longWait:
      return "wait until an unreachable member may be replaced";
    case Kind::kill:
      return "kill" + at;
    case Kind::restart:
      return "restart" + at + " with its disk unchanged";
    case Kind::wipe:
      return "restart" + at + " with an empty disk";
    case Kind::isolate:
      return "isolate" + at;
    case Kind::heal:
      return "reconnect" + at;
    case Kind::loseMessages:
      for (Packet const& p : s.net)
        if (p.message->index() == action.message)
          return std::string("lose every ") + transport::kindName(*p.message) + " in flight";
      return "";
    case Kind::change:
      return "change called at" + at;
  }
  return "";
}

}  // namespace corkward::explore
