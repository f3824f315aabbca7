#include <corkward/control/cluster_view_source.h>

#include <algorithm>

#include <corkward/control/committed_values.h>

#include "keys.h"

namespace corkward::control {

void ClusterViewSource::configure(config::FleetConfiguration const& configuration) {
  configuredPools_.clear();
  for (config::PoolSettings const& pool : configuration.pools) configuredPools_.insert(pool.name);
}

bool ClusterViewSource::isPoolKnown(std::string const& pool) const {
  return configuredPools_.count(pool) > 0 || registers_.committed().count(keyOf(poolKeyPrefix, pool)) > 0;
}

bool ClusterViewSource::isPoolUnconfirmed(std::string const& pool) const {
  bool const isConfigurationUnconfirmed = registers_.committed().count(config::fleetConfigurationKey) == 0 &&
                                          registers_.mayHaveAcceptedValue(config::fleetConfigurationKey);
  return isConfigurationUnconfirmed || registers_.mayHaveAcceptedValue(keyOf(poolKeyPrefix, pool));
}

config::Regimes ClusterViewSource::regimes() const {
  consensus::CommittedValue const* const committed = findValue(registers_.committed(), config::regimesKey);
  return committed == nullptr ? config::Regimes{} : config::readStoredRegimes(committed->value);
}

std::vector<config::RegimeRequirement> ClusterViewSource::regimeUses() const {
  std::vector<config::RegimeRequirement> uses;
  for (auto const& [key, committed] : registers_.committed()) {
    std::optional<std::string> const templateName = nameOf(key, familyKeyPrefix);
    if (!templateName) continue;
    std::vector<config::RegimeRequirement> const ofFamily =
        config::regimeRequirements(config::renderPaths(*templateName, committed.value));
    uses.insert(uses.end(), ofFamily.begin(), ofFamily.end());
  }
  return uses;
}

std::optional<config::RegimeFault> ClusterViewSource::regimeFault(config::Regimes const& regimes,
                                                                  std::string const& regime,
                                                                  std::string const& pool) const {
  std::optional<config::RegimeFault> fault = config::findRegimeFault(regimes, regime, pool, wallTime_);
  consensus::CommittedValue const* const list = findValue(registers_.committed(), keyOf(poolKeyPrefix, pool));
  if (fault || !wallTime_ || list == nullptr) return fault;
  std::vector<config::Replica> const replicas = config::readStoredEndpointList(list->value).replicas;
  bool const anyCertified = std::any_of(replicas.begin(), replicas.end(), [&](config::Replica const& replica) {
    return config::findCertificate(regimes, regime, pool, replica, wallTime_) != nullptr;
  });
  if (anyCertified) return std::nullopt;
  return config::RegimeFault{"/certificates",
                             "no replica on the list of pool " + pool + " is certified for regime " + regime};
}

ClusterView ClusterViewSource::view() const {
  ClusterView view;
  view.poolKnown = [this](std::string const& pool) { return isPoolKnown(pool); };
  view.poolUnconfirmed = [this](std::string const& pool) { return isPoolUnconfirmed(pool); };
  view.regimes = [this] { return regimes(); };
  view.regimeUses = [this] { return regimeUses(); };
  view.regimeFault = [this](config::Regimes const& regimes, std::string const& regime, std::string const& pool) {
    return regimeFault(regimes, regime, pool);
  };
  return view;
}

}  // namespace corkward::control
