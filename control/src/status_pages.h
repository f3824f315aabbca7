#pragma once

/// Pages that a controller answers from what it knows, and its metrics.

#include <string>

#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/rollout_tracker.h>
#include <corkward/core/journal.h>

namespace corkward::control {

/// The fleet as this controller sees it; whether or not it is current, it shows the age of the last contact with a
/// majority.
QJsonObject fleetPage(Milliseconds now, consensus::ReplicatedRegisters const& registers, Roster const& roster,
                      RouterRegistry const& routers, RolloutTracker const& rollouts, bool ready);

/// Names of all templates.
QJsonObject templatesPage(CommittedValues const& values);

/// What became of the change that a path names by its id.
/// @param rollouts null: changes are answered without their rollout
OperatorResponse changePage(transport::OperatorCall const& call, CommittedValues const& values,
                            RolloutTracker const* rollouts, RolloutInputs const& inputs);

/// Figures of the metrics page that are not counted in the journal.
struct ControllerGauges {
  bool ready = false;
  /// -1: no contact with a majority so far.
  Milliseconds quorumContactAge = -1;
  std::size_t ownedKeys = 0;
  std::size_t ownedQuotaPartitions = 0;
  std::size_t pendingCalls = 0;
};

/// Metrics in Prometheus' text form.
std::string metricsText(core::Journal const& journal, ControllerGauges const& gauges, config::Regimes const& regimes,
                        config::WallTime const& wallTime);

}  // namespace corkward::control
