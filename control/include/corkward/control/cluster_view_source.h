#pragma once

#include <set>
#include <string>

#include <corkward/config/config.h>
#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/validator.h>

namespace corkward::control {

/// Gives validators a view of the other keys' committed values. Views refer to their source, which has to
/// outlive them.
class ClusterViewSource {
 public:
  /// @param registers have to outlive the source
  explicit ClusterViewSource(consensus::ReplicatedRegisters const& registers) : registers_(registers) {}
  ~ClusterViewSource() = default;
  ClusterViewSource(ClusterViewSource const&) = delete;
  ClusterViewSource(ClusterViewSource&&) = delete;
  ClusterViewSource& operator=(ClusterViewSource const&) = delete;
  ClusterViewSource& operator=(ClusterViewSource&&) = delete;

  ClusterView view() const;
  /// Takes the pools of a newly committed configuration.
  void configure(config::FleetConfiguration const& configuration);
  /// Wall time, by which certificates are judged; unknown: only their names are.
  void setWallTime(std::int64_t wallTime) { wallTime_ = wallTime; }
  config::WallTime const& wallTime() const { return wallTime_; }
  /// Committed regimes and certificates.
  config::Regimes regimes() const;

 private:
  bool isPoolKnown(std::string const& pool) const;
  bool isPoolUnconfirmed(std::string const& pool) const;
  std::vector<config::RegimeRequirement> regimeUses() const;
  std::optional<config::RegimeFault> regimeFault(config::Regimes const& regimes, std::string const& regime,
                                                 std::string const& pool) const;

  consensus::ReplicatedRegisters const& registers_;
  /// Pools that the fleet configuration names.
  std::set<std::string> configuredPools_;
  config::WallTime wallTime_;
};

}  // namespace corkward::control
