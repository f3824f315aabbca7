#include "membership_model.h"

#include <corkward/core/error.h>

namespace corkward::explore {

namespace {

/// Times of this model, ms: few clock events from one step of a change to the next.
Rules quick(Rules rules) {
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

constexpr Milliseconds step = 50;

}  // namespace

MembershipModel::MembershipModel(Rules rules, Bounds bounds)
    : rules_(quick(std::move(rules))), bounds_(bounds), cluster_(rules_), start_(lagging(bounds.members)) {}

/// The last confirmed change is on the smallest majority that there is: the last members, the first of these the owner.
State MembershipModel::lagging(int members) const {
  State s = cluster_.founded(members, members < 5 ? 1 : 0);
  int const most = members / 2 + 1;
  s.cut = (1U << (members - most)) - 1U;
  cluster_.handover(s, members - most);
  cluster_.wave(s, 0);
  cluster_.change(s, members - most);
  cluster_.wave(s, 0);
  s.cut = 0;
  s.net.clear();
  if (members < 5) return s;
  cluster_.kill(s, members - 1);
  cluster_.kill(s, members - 2);
  cluster_.runFor(s, rules_.tuning.replaceUnreachableAfter - 2 * step);
  return s;
}

std::vector<MembershipModel::Action> MembershipModel::actions(State const& s) const {
  std::vector<Action> out{Action{Kind::goOn, 0, 0}};
  if (s.net.empty()) out.push_back(Action{Kind::longWait, 0, 0});
  std::set<std::uint8_t> kinds;
  if (s.spent.faults < bounds_.faults)
    for (Packet const& p : s.net) kinds.insert(static_cast<std::uint8_t>(p.message->index()));
  for (std::uint8_t const k : kinds) out.push_back(Action{Kind::lose, 0, k});
  bool const mayLose = cluster_.openLosses(s) < (static_cast<int>(s.history->members.size()) - 1) / 2;
  for (std::uint8_t i = 0; i < s.machines.size(); ++i) {
    Machine const& m = *s.machines[i];
    bool const cut = (s.cut >> i & 1U) != 0;
    if (m.member && s.spent.calls < bounds_.changes && m.member->owns(callersKey))
      out.push_back(Action{Kind::change, i, 0});
    if (s.spent.faults >= bounds_.faults) continue;
    if (cut) out.push_back(Action{Kind::heal, i, 0});
    if (!m.member) out.push_back(Action{Kind::back, i, 0});
    if (!m.member) continue;
    out.push_back(Action{Kind::kill, i, 0});
    if (!cut) out.push_back(Action{Kind::cutOff, i, 0});
    if (mayLose) out.push_back(Action{Kind::wipe, i, 0});
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
    case Kind::goOn:
      if (!s.net.empty()) return cluster_.wave(s, 1);
      for (int i = 0; i < static_cast<int>(s.machines.size()); ++i) cluster_.clock(s, i, step);
      return;
    case Kind::longWait:
      return cluster_.runFor(s, rules_.tuning.replaceUnreachableAfter + rules_.tuning.ownerTimeout);
    case Kind::kill:
      ++s.spent.faults;
      return cluster_.kill(s, machine);
    case Kind::back:
      ++s.spent.faults;
      return cluster_.boot(s, machine);
    case Kind::wipe:
      ++s.spent.faults;
      cluster_.wipe(s, machine);
      return cluster_.boot(s, machine);
    case Kind::cutOff:
      ++s.spent.faults;
      s.cut |= bit;
      return;
    case Kind::heal:
      ++s.spent.faults;
      s.cut &= ~bit;
      return;
    case Kind::lose:
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
    case Kind::goOn:
      return s.net.empty() ? "clock events, " + std::to_string(step) + " ms later"
                           : std::to_string(s.net.size()) + " messages arrive";
    case Kind::longWait:
      return "a long wait";
    case Kind::kill:
      return "lose" + at;
    case Kind::back:
      return "start" + at + " with the disk it has";
    case Kind::wipe:
      return "restart" + at + " with an empty disk";
    case Kind::cutOff:
      return "cut off" + at;
    case Kind::heal:
      return "heal the cut of" + at;
    case Kind::lose:
      for (Packet const& p : s.net)
        if (p.message->index() == action.message)
          return std::string("lose every ") + transport::kindName(*p.message) + " under way";
      return "";
    case Kind::change:
      return "change called at" + at;
  }
  return "";
}

}  // namespace corkward::explore
