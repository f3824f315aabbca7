#pragma once

/// HTTP paths of the operators' pages that this package itself names; bytes on the wire.

#include <string_view>

namespace corkward::control::paths {

inline constexpr std::string_view fleet = "/v1/fleet";
inline constexpr std::string_view templates = "/v1/templates";
/// Followed by a change id.
inline constexpr std::string_view changes = "/v1/changes/";
/// Followed by the name of a singleton role.
inline constexpr std::string_view singletonRoles = "/v1/duties/";
/// Followed by a pool's name as a part of an address.
inline constexpr std::string_view platformPools = "/v1/platform/pools/";
/// Only between controllers: a controller's own proposal of a roster.
inline constexpr std::string_view rosterNodes = "/v1/roster/nodes";

}  // namespace corkward::control::paths
