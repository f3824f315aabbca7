#pragma once

#include <array>
#include <string_view>

/// Names of earlier releases that are still accepted. A former name has the same effect as the current one and sends
/// the same requests. Operators' scripts and deployments use former names, so no release drops one. This is the only
/// place where they are declared.
namespace corkward::programs::former_names {

struct FormerName {
  char const* former;
  char const* current;
};

/// Options of `corkward` and `corkward-runbook`, without the dashes.
inline constexpr FormerName controllerOption{"substation", "controller"};
inline constexpr FormerName revisionOption{"stamp", "revision"};

/// Roles of `corkward-hosted`.
inline constexpr FormerName routerRole{"nacelle", "router"};
inline constexpr FormerName controllerRole{"substation", "control"};

/// Commands of `corkward`.
inline constexpr std::array<FormerName, 4> commands{{{"blueprint-get", "fleet-configuration-get"},
                                                     {"blueprint-put", "fleet-configuration-put"},
                                                     {"blueprint-patch", "fleet-configuration-patch"},
                                                     {"node-gone", "node-remove"}}};

/// Returns whether a text is the current or the former name.
constexpr bool matches(FormerName const& name, std::string_view text) {
  return text == name.current || text == name.former;
}

}  // namespace corkward::programs::former_names
