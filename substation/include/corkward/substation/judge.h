#pragma once

#include <optional>
#include <string>

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

/// Judges every call on every kind of key. Pools tells which pools are known.
mooring::Verdict judge(std::string const& key, std::uint64_t stamp, QJsonObject const& value, signal::Call const& call,
                       std::function<bool(std::string const&)> const& poolKnown);

}  // namespace corkward::substation
