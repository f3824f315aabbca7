#pragma once

/// Keys of the replicated values.
///
/// The texts are part of the storage format, the wire format and the HTTP resource /v1/fleet and must not change, also
/// where the code uses other terms. The code refers to them only by these constants.

#include <optional>
#include <string>
#include <string_view>

namespace corkward::control {

/// A template with all its instances.
inline constexpr std::string_view familyKeyPrefix = "family:";
/// The endpoint list of a pool, which the platform provides.
inline constexpr std::string_view poolKeyPrefix = "pool:";
/// Whether a zone is evacuated.
inline constexpr std::string_view zoneKeyPrefix = "zone:";
/// An alert, which operators' programs claim and close.
inline constexpr std::string_view alertKeyPrefix = "alert:";
/// The routers that a change must reach.
inline constexpr char const* rosterKey = "roster";

inline bool hasPrefix(std::string const& key, std::string_view prefix) {
  return key.rfind(prefix, 0) == 0;
}

inline std::string keyOf(std::string_view prefix, std::string const& name) {
  return std::string(prefix) + name;
}

/// Returns the name after the prefix, or std::nullopt if the key has another prefix.
inline std::optional<std::string> nameOf(std::string const& key, std::string_view prefix) {
  if (!hasPrefix(key, prefix)) return std::nullopt;
  return key.substr(prefix.size());
}

}  // namespace corkward::control
