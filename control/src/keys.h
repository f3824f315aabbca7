#pragma once

/// Keys of the replicated values.
///
/// The texts are bytes on disk, on the wire and on the fleet's page: they stay as they were first written, whatever the
/// code calls the thing. The code names them by these constants only.

#include <optional>
#include <string>
#include <string_view>

namespace corkward::control {

/// A template with all its instances.
inline constexpr std::string_view familyKeyPrefix = "family:";
/// The endpoint list of a pool, as the platform gives it.
inline constexpr std::string_view poolKeyPrefix = "pool:";
/// Whether a zone is evacuated.
inline constexpr std::string_view zoneKeyPrefix = "zone:";
/// An alert that operators' programs claim and close.
inline constexpr std::string_view alertKeyPrefix = "alert:";
/// The routers that a change must have reached.
inline constexpr char const* rosterKey = "roster";

inline bool hasPrefix(std::string const& key, std::string_view prefix) {
  return key.rfind(prefix, 0) == 0;
}

inline std::string keyOf(std::string_view prefix, std::string const& name) {
  return std::string(prefix) + name;
}

/// Name behind the prefix, or nothing when the key is of another kind.
inline std::optional<std::string> nameOf(std::string const& key, std::string_view prefix) {
  if (!hasPrefix(key, prefix)) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace corkward::control
