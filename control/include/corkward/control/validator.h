#pragma once

#include <optional>
#include <string>

#include <corkward/config/regimes.h>
#include <corkward/consensus/replicated_registers.h>

namespace corkward::control {

/// What an operator's path stands for.
struct Target {
  std::string key;
  std::string templateName;
  std::string instance;
};

/// Key of an operator's path, or nothing when there is no such page.
std::optional<Target> targetOf(std::string const& path);

/// Largest body of an operator's call.
inline constexpr std::size_t maxCallBodyBytes = 2U << 20;
/// Largest body of a call on the whole configuration, and largest whole configuration as text.
inline constexpr std::size_t maxFleetConfigurationBytes = 8U << 20;

/// What a judge asks of the other keys, as this controller knows them.
struct ClusterView {
  config::PoolKnown poolKnown;
  /// A pool that is not known may still come up, since a key that may name it is not recovered yet.
  config::PoolKnown poolUnsure = [](std::string const&) { return false; };
  /// Why a regime could not be served in a pool under these certificates.
  std::function<std::optional<config::RegimeFault>(config::Regimes const&, std::string const& regime,
                                                   std::string const& pool)>
      regimeFault = {};
  /// Regimes and certificates in place.
  std::function<config::Regimes()> regimes = {};
  /// What the tenants in place want of regimes.
  std::function<std::vector<config::RegimeUse>()> regimeUses = {};
};

/// Judges every call on every kind of key.
consensus::Verdict validateCall(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& around);

}  // namespace corkward::control
