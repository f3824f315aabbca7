#pragma once

/// Validation of operators' calls: which key a path stands for, and what a call does to the key's committed value.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <corkward/config/regimes.h>
#include <corkward/consensus/replicated_registers.h>

namespace corkward::control {

/// What an operator's path stands for.
struct Target {
  /// Key of the replicated value.
  std::string key;
  /// Template of a family's key; empty for keys of other kinds.
  std::string templateName;
  /// What the path names within the value: an instance of a template, a certificate or a node; empty: the value itself.
  std::string entry;
};

/// Target of an operator's path, or nothing when there is no such page.
std::optional<Target> targetOf(std::string const& path);

/// Largest body of an operator's call, in bytes.
inline constexpr std::size_t maxCallBodyBytes = 2U << 20;
/// Largest body of a call on the fleet configuration, and largest fleet configuration as text, in bytes.
inline constexpr std::size_t maxFleetConfigurationBytes = 8U << 20;

/// What the validation of one key needs of the other keys, as this controller knows them.
struct ClusterView {
  config::IsKnownPool poolKnown;
  /// A pool that is not known may still come up, since a key that may name it is not recovered yet.
  config::IsKnownPool poolUnconfirmed = [](std::string const&) { return false; };
  /// Why a regime could not be served in a pool under these certificates.
  std::function<std::optional<config::RegimeFault>(config::Regimes const&, std::string const& regime,
                                                   std::string const& pool)>
      regimeFault = {};
  /// Committed regimes and certificates.
  std::function<config::Regimes()> regimes = {};
  /// Which regimes the committed tenants use, and in which pools.
  std::function<std::vector<config::RegimeRequirement>()> regimeUses = {};
};

/// Validates a call on a key of any kind; pure.
/// @param revision newest revision of the key; 0: it has no value
/// @param value the key's committed value, with its history
/// @return the reply's HTTP status and body, and the next value when the call is to change the key
consensus::Verdict validateCall(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& clusterView);

}  // namespace corkward::control
