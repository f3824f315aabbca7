#pragma once

/// HTTP resources that a controller serves from its own state, and its metrics.

#include <string>

#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/rollout_tracker.h>
#include <corkward/core/journal.h>

namespace corkward::control {

/// Returns the status of the fleet by this controller's state. The state may be out of date; the status contains the
/// age of the last contact with a majority of the disks.
QJsonObject fleetPage(Milliseconds now, consensus::ReplicatedRegisters const& registers, Roster const& roster,
                      RouterRegistry const& routers, RolloutTracker const& rollouts, bool ready);

/// Returns the names of all templates.
QJsonObject templatesPage(CommittedValues const& values);

/// Returns the outcome of the change whose id is in the call's path.
/// @param rollouts null if replies to changes do not wait for their rollouts
OperatorResponse changePage(transport::OperatorCall const& call, CommittedValues const& values,
                            RolloutTracker const* rollouts, RolloutInputs const& inputs);

/// Metrics of a controller that are not counted in the journal.
struct ControllerGauges {
  bool ready = false;
  /// Age of the last contact with a majority of the disks, or -1 if there was none yet.
  Milliseconds quorumContactAge = -1;
  std::size_t ownedKeys = 0;
  std::size_t ownedQuotaPartitions = 0;
  std::size_t pendingCalls = 0;
};

/// Returns the metrics in the Prometheus text format.
std::string metricsText(core::Journal const& journal, ControllerGauges const& gauges, config::Regimes const& regimes,
                        config::WallTime const& wallTime);

}  // namespace corkward::control
