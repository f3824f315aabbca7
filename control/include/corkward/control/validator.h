#pragma once

/// Validation of operator calls: which key a path denotes, and how a call changes the key's committed value.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <corkward/config/regimes.h>
#include <corkward/consensus/replicated_registers.h>

namespace corkward::control {

/// What the path of an operator call denotes.
struct Target {
  /// Key of the replicated value.
  std::string key;
  /// Template name if the key is that of a template family; empty for keys of other kinds.
  std::string templateName;
  /// Name of the entry within the value: an instance of a template, a certificate or a router on the roster. Empty if
  /// the path denotes the value itself.
  std::string entry;
};

/// Returns the target of an operator call's path, or std::nullopt if no HTTP resource has this path.
std::optional<Target> targetOf(std::string const& path);

/// Largest body of an operator call, in bytes.
inline constexpr std::size_t maxCallBodyBytes = 2U << 20;
/// Largest body of a call on the fleet configuration, and largest text of a fleet configuration, in bytes.
inline constexpr std::size_t maxFleetConfigurationBytes = 8U << 20;

/// What the validation of one key needs to know about the other keys.
struct ClusterView {
  config::IsKnownPool poolKnown;
  /// Returns true if an unknown pool may still turn out to exist, because a key that may name it is not recovered yet.
  config::IsKnownPool poolUnconfirmed = [](std::string const&) { return false; };
  /// Returns why a regime cannot be served in a pool under these certificates, or std::nullopt if it can.
  std::function<std::optional<config::RegimeFault>(config::Regimes const&, std::string const& regime,
                                                   std::string const& pool)>
      regimeFault = {};
  /// Returns the committed regimes and certificates.
  std::function<config::Regimes()> regimes = {};
  /// Returns which regimes the committed instances use, and in which pools.
  std::function<std::vector<config::RegimeRequirement>()> regimeUses = {};
};

/// Validates a call on a key of any kind. This is a pure function.
/// @param revision newest revision of the key, or 0 if it has no value
/// @param value the key's committed value, with its history
/// @return the reply's HTTP status and body, and the next value if the call changes the key
consensus::Verdict validateCall(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& clusterView);

}  // namespace corkward::control
