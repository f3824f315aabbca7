#pragma once

#include <optional>
#include <string>

#include <corkward/blueprint/regimes.h>
#include <corkward/mooring/mooring.h>

namespace corkward::substation {

/// What an operator's path stands for.
struct Target {
  std::string key;
  std::string templateName;
  std::string instance;
};

/// Key of an operator's path, or nothing when there is no such page.
std::optional<Target> targetOf(std::string const& path);

/// Largest body of an operator's call.
inline constexpr std::size_t maxBody = 2U << 20;
/// Largest body of a call on the whole blueprint, and largest whole blueprint as text.
inline constexpr std::size_t maxWholeBody = 8U << 20;

/// What a judge asks of the other keys, as this substation knows them.
struct Around {
  blueprint::PoolKnown poolKnown;
  /// Why a regime could not be served in a pool under these certificates.
  std::function<std::optional<blueprint::RegimeFault>(blueprint::Regimes const&, std::string const& regime, std::string const& pool)> regimeFault = {};
  /// Regimes and certificates in place.
  std::function<blueprint::Regimes()> regimes = {};
  /// What the tenants in place want of regimes.
  std::function<std::vector<blueprint::RegimeUse>()> regimeUses = {};
};

/// Judges every call on every kind of key.
mooring::Verdict judge(std::string const& key, std::uint64_t stamp, QJsonObject const& value, signal::Call const& call, Around const& around);

}  // namespace corkward::substation
