#pragma once

#include <string>
#include <vector>

#include <corkward/control/rollout_tracker.h>

namespace corkward::control {

/// Controllers report to each other which routers they serve and what those have, so that each can evaluate rollouts.
class RouterStatusReporter {
 public:
  explicit RouterStatusReporter(ControllerTuning const& tuning) : tuning_(tuning) {}

  /// The next report is due at once.
  void reportSoon(Milliseconds now) { nextReportAt_ = now; }
  /// The report that goes to all members now, with queries for the incomplete rollouts; nothing: none is due.
  std::optional<transport::RouterStatusReport> dueReport(Milliseconds now, Roster const& roster,
                                                         RouterRegistry const& routers, RolloutTracker const& rollouts);
  /// Reply to a member's report that queries the progress of rollouts.
  transport::RouterStatusReport replyTo(Milliseconds now, transport::RouterStatusReport const& report,
                                        Roster const& roster, RouterRegistry const& routers,
                                        CommittedValues const& values) const;

 private:
  transport::RouterStatusReport status(Milliseconds now, Roster const& roster, RouterRegistry const& routers) const;
  /// Pause until the next report.
  /// @param newestSince start of the newest incomplete rollout; nothing: there is none
  Milliseconds pauseAfter(Milliseconds now, std::optional<Milliseconds> newestSince) const;

  ControllerTuning tuning_;
  Milliseconds nextReportAt_ = 0;
};

}  // namespace corkward::control
