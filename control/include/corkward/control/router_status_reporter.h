#pragma once

#include <string>
#include <vector>

#include <corkward/control/rollout_tracker.h>

namespace corkward::control {

/// Creates the reports by which controllers tell each other which routers they serve and which revisions these have, so
/// that each controller can evaluate rollouts.
class RouterStatusReporter {
 public:
  explicit RouterStatusReporter(ControllerTuning const& tuning) : tuning_(tuning) {}

  /// Makes the next report due at once.
  void reportSoon(Milliseconds now) { nextReportAt_ = now; }
  /// Returns the report to send to all members now, with queries for the incomplete rollouts, or std::nullopt if none
  /// is due.
  std::optional<transport::RouterStatusReport> dueReport(Milliseconds now, Roster const& roster,
                                                         RouterRegistry const& routers, RolloutTracker const& rollouts);
  /// Returns the reply to a member's report that queries the progress of rollouts.
  transport::RouterStatusReport replyTo(Milliseconds now, transport::RouterStatusReport const& report,
                                        Roster const& roster, RouterRegistry const& routers,
                                        CommittedValues const& values) const;

 private:
  transport::RouterStatusReport status(Milliseconds now, Roster const& roster, RouterRegistry const& routers) const;
  /// Returns the pause until the next report.
  /// @param newestSince start of the newest incomplete rollout, if any
  Milliseconds pauseAfter(Milliseconds now, std::optional<Milliseconds> newestSince) const;

  ControllerTuning tuning_;
  Milliseconds nextReportAt_ = 0;
};

}  // namespace corkward::control
