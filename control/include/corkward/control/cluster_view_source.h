#pragma once

#include <set>
#include <string>

#include <corkward/config/config.h>
#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/validator.h>

namespace corkward::control {

/// Provides validators with a view of the other keys' committed values. A view refers to its source, which has to
/// outlive it.
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
  /// Updates the configured pools from a newly committed fleet configuration.
  void configure(config::FleetConfiguration const& configuration);
  /// Sets the wall time in milliseconds since 1970, by which the validity periods of certificates are checked. Until it
  /// is set, only the names in certificates are checked.
  void setWallTime(std::int64_t wallTime) { wallTime_ = wallTime; }
  config::WallTime const& wallTime() const { return wallTime_; }
  /// Returns the committed regimes and certificates.
  config::Regimes regimes() const;

 private:
  bool isPoolKnown(std::string const& pool) const;
  bool isPoolUnconfirmed(std::string const& pool) const;
  std::vector<config::RegimeRequirement> regimeUses() const;
  std::optional<config::RegimeFault> regimeFault(config::Regimes const& regimes, std::string const& regime,
                                                 std::string const& pool) const;

  consensus::ReplicatedRegisters const& registers_;
  /// Names of the pools in the fleet configuration.
  std::set<std::string> configuredPools_;
  config::WallTime wallTime_;
};

}  // namespace corkward::control
