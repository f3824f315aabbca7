// Which key an operator's path stands for.
#include <vector>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

#include "keys.h"

namespace corkward::control {

namespace {

constexpr char const* apiVersion = "v1";
constexpr std::size_t maxNodeLinkBytes = 63;

/// Parts of a path between its slashes; a path that begins with one has no empty first part.
std::vector<std::string> partsOf(std::string const& path) {
  std::vector<std::string> parts;
  std::string part;
  for (std::size_t i = 1; i <= path.size(); ++i) {
    if (i == path.size() || path[i] == '/') {
      parts.push_back(part);
      part.clear();
    } else {
      part += path[i];
    }
  }
  return parts;
}

/// templates/NAME or templates/NAME/instances/NAME
std::optional<Target> familyTarget(std::vector<std::string> const& parts) {
  if (parts.size() < 3 || !config::isValidName(parts[2])) return std::nullopt;
  std::string const key = keyOf(familyKeyPrefix, parts[2]);
  if (parts.size() == 3) return Target{key, parts[2], ""};
  bool const isInstance = parts.size() == 5 && parts[3] == "instances" && config::isValidName(parts[4]);
  if (isInstance) return Target{key, parts[2], parts[4]};
  return std::nullopt;
}

/// certificates or certificates/NAME
std::optional<Target> certificatesTarget(std::vector<std::string> const& parts) {
  if (parts.size() == 2) return Target{config::regimesKey, "", ""};
  if (parts.size() == 3 && config::isValidName(parts[2])) return Target{config::regimesKey, "", parts[2]};
  return std::nullopt;
}

/// evacuations/ZONE
std::optional<Target> evacuationTarget(std::vector<std::string> const& parts) {
  std::string const zone = config::percentDecodeLabel(parts.back());
  if (parts.size() != 3 || !config::isValidLabel(zone)) return std::nullopt;
  return Target{keyOf(zoneKeyPrefix, zone), "", ""};
}

/// platform/pools/POOL
std::optional<Target> poolTarget(std::vector<std::string> const& parts) {
  std::string const pool = config::percentDecodeLabel(parts.back());
  if (parts.size() != 4 || parts[2] != "pools" || !config::isValidLabel(pool)) return std::nullopt;
  return Target{keyOf(poolKeyPrefix, pool), "", ""};
}

/// alerts/NAME
std::optional<Target> alertTarget(std::vector<std::string> const& parts) {
  if (parts.size() != 3 || !config::isValidName(parts[2])) return std::nullopt;
  return Target{keyOf(alertKeyPrefix, parts[2]), "", ""};
}

/// nodes/LINK
std::optional<Target> nodeTarget(std::vector<std::string> const& parts) {
  if (parts.size() != 3 || parts[2].empty() || parts[2].size() > maxNodeLinkBytes) return std::nullopt;
  return Target{rosterKey, "", parts[2]};
}

}  // namespace

std::optional<Target> targetOf(std::string const& path) {
  if (path == config::fleetConfigurationPage) return Target{config::fleetConfigurationKey, "", ""};
  std::vector<std::string> const parts = partsOf(path);
  if (parts.size() < 2 || parts[0] != apiVersion) return std::nullopt;
  std::string const& page = parts[1];
  if (page == "templates") return familyTarget(parts);
  if (page == "certificates") return certificatesTarget(parts);
  if (page == "evacuations") return evacuationTarget(parts);
  if (page == "alerts") return alertTarget(parts);
  if (page == "platform") return poolTarget(parts);
  if (page == "nodes") return nodeTarget(parts);
  if (page == "roster" && parts.size() == 3) return Target{rosterKey, "", ""};
  return std::nullopt;
}

}  // namespace corkward::control
