#pragma once

#include <optional>

#include <corkward/control/controller_tuning.h>
#include <corkward/control/roster.h>
#include <corkward/control/router_registry.h>
#include <corkward/gossip/partial_view.h>

namespace corkward::control {

/// Decides when the roster is compared with the routers that are heard, and which roster follows from that.
class RosterReconciler {
 public:
  explicit RosterReconciler(ControllerTuning const& tuning) : removeSilentAfter_(tuning.removeSilentRouterAfter) {}

  /// @param now when this process started: silence is counted from there on
  void start(Milliseconds now) { startedAt_ = now; }
  /// True when the time has come and no proposal from here is pending.
  bool isDue(Milliseconds now) const { return now >= nextAt_ && !proposalPending_; }
  void scheduleNext(Milliseconds now);
  /// The roster with routers that are newly heard and without those that are silent; nothing: it is to stay.
  std::optional<RosterValue> nextRoster(Milliseconds now, Roster const& roster, RouterRegistry const& routers,
                                        gossip::PartialView const& partialView) const;
  void proposalStarted() { proposalPending_ = true; }
  void proposalEnded() { proposalPending_ = false; }

 private:
  bool isSilent(Milliseconds now, std::string const& link, RouterRegistry const& routers,
                gossip::PartialView const& partialView) const;

  Milliseconds removeSilentAfter_;
  Milliseconds startedAt_ = 0;
  Milliseconds nextAt_ = 0;
  /// A call with a proposal from here has not been answered.
  bool proposalPending_ = false;
};

}  // namespace corkward::control
