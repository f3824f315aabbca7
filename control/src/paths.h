#pragma once

/// Paths of the operators' HTTP resources that this package names. The texts are part of the HTTP API.

#include <string_view>

namespace corkward::control::paths {

inline constexpr std::string_view fleet = "/v1/fleet";
inline constexpr std::string_view templates = "/v1/templates";
/// A change id follows.
inline constexpr std::string_view changes = "/v1/changes/";
/// The name of a singleton role follows.
inline constexpr std::string_view singletonRoles = "/v1/duties/";
/// A pool's percent-encoded name follows.
inline constexpr std::string_view platformPools = "/v1/platform/pools/";
/// Path of a controller's own proposal of a roster. It is used between controllers only.
inline constexpr std::string_view rosterNodes = "/v1/roster/nodes";

}  // namespace corkward::control::paths
