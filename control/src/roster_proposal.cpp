// Proposes changes of the roster.
#include <corkward/control/controller.h>
#include <corkward/core/json.h>

#include "call_method.h"
#include "events.h"
#include "keys.h"
#include "paths.h"

namespace corkward::control {

void Controller::reconcileRoster(ControllerCommands& out, Milliseconds now) {
  if (draining_ || !rosterReconciler_.isDue(now) || !ready(now)) return;
  rosterReconciler_.scheduleNext(now);
  routers_.forgetUnresponsive(now, roster_.nodes());
  if (!isRosterProposer(now) || !isRosterRolledOut(now)) return;
  std::optional<RosterValue> const next = rosterReconciler_.nextRoster(now, roster_, routers_, partialView_);
  if (next) proposeRoster(out, now, *next);
}

bool Controller::isRosterProposer(Milliseconds now) const {
  std::string const owner = registers_.ownerLink(rosterKey, now);
  if (!owner.empty()) return owner == registers_.self().link;
  // A key without a value has no owner; its first value is proposed by the first member.
  return roster_.revision() == 0 && registers_.membership().front().id == registers_.self().id;
}

bool Controller::isRosterRolledOut(Milliseconds now) const {
  if (roster_.revision() == 0) return true;
  bool const isFenced = now - roster_.committedAt() > tuning_.servingLeaseDuration + tuning_.servingLeaseMargin;
  return isFenced && rollouts_.stateOf(rolloutInputs(now), rosterKey, roster_.revision(), roster_.committedAt()) !=
                         RolloutState::incomplete;
}

void Controller::proposeRoster(ControllerCommands& out, Milliseconds now, RosterValue const& next) {
  PendingCall pending;
  pending.key = rosterKey;
  pending.call.method = rosterMethod;
  pending.call.path = paths::rosterNodes;
  pending.call.ifMatch = std::to_string(roster_.revision());
  pending.call.body = core::jsonText(next.proposalJson());
  pending.since = now;
  std::uint64_t const id = calls_.add(std::move(pending));
  rosterReconciler_.proposalStarted();
  out.logEvents.push_back(core::LogEvent{events::rosterProposed, {{"nodes", std::to_string(next.nodes.size())}}});
  apply(out, now, registers_.submit(now, rosterKey, calls_.find(id)->call));
}

}  // namespace corkward::control
