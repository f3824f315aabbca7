#pragma once

#include <optional>

#include <corkward/control/controller_tuning.h>
#include <corkward/control/roster.h>
#include <corkward/control/router_registry.h>
#include <corkward/gossip/partial_view.h>

namespace corkward::control {

/// Decides when to compare the roster with the routers that are in contact, and which roster to propose.
class RosterReconciler {
 public:
  explicit RosterReconciler(ControllerTuning const& tuning)
      : removeUnresponsiveAfter_(tuning.removeUnresponsiveRouterAfter) {}

  /// @param now when this process started; a router without any contact is counted as unresponsive from then on
  void start(Milliseconds now) { startedAt_ = now; }
  /// Returns true if the next comparison is due and no proposal of this controller is pending.
  bool isDue(Milliseconds now) const { return now >= nextAt_ && !proposalPending_; }
  void scheduleNext(Milliseconds now);
  /// Returns the roster with new routers added and unresponsive ones removed, or std::nullopt if it does not change.
  std::optional<RosterValue> nextRoster(Milliseconds now, Roster const& roster, RouterRegistry const& routers,
                                        gossip::PartialView const& partialView) const;
  void proposalStarted() { proposalPending_ = true; }
  void proposalEnded() { proposalPending_ = false; }

 private:
  bool isUnresponsive(Milliseconds now, std::string const& link, RouterRegistry const& routers,
                      gossip::PartialView const& partialView) const;

  Milliseconds removeUnresponsiveAfter_;
  Milliseconds startedAt_ = 0;
  Milliseconds nextAt_ = 0;
  /// True while a proposal of this controller has no reply.
  bool proposalPending_ = false;
};

}  // namespace corkward::control
