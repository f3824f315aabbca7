// Maps the path of an operator call to its key.
#include <vector>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

#include "keys.h"

namespace corkward::control {

namespace {

constexpr char const* apiVersion = "v1";
constexpr std::size_t maxNodeLinkBytes = 63;

/// Returns the segments of a path between its slashes. The slash at the start of the path creates no empty segment.
std::vector<std::string> segmentsOf(std::string const& path) {
  std::vector<std::string> segments;
  std::string segment;
  for (std::size_t i = 1; i <= path.size(); ++i) {
    if (i == path.size() || path[i] == '/') {
      segments.push_back(segment);
      segment.clear();
    } else {
      segment += path[i];
    }
  }
  return segments;
}

/// Returns the target of the path `templates/NAME` or `templates/NAME/instances/NAME`.
std::optional<Target> familyTarget(std::vector<std::string> const& segments) {
  if (segments.size() < 3 || !config::isValidName(segments[2])) return std::nullopt;
  std::string const key = keyOf(familyKeyPrefix, segments[2]);
  if (segments.size() == 3) return Target{key, segments[2], ""};
  bool const isInstance = segments.size() == 5 && segments[3] == "instances" && config::isValidName(segments[4]);
  if (isInstance) return Target{key, segments[2], segments[4]};
  return std::nullopt;
}

/// Returns the target of the path `certificates` or `certificates/NAME`.
std::optional<Target> certificatesTarget(std::vector<std::string> const& segments) {
  if (segments.size() == 2) return Target{config::regimesKey, "", ""};
  if (segments.size() == 3 && config::isValidName(segments[2])) return Target{config::regimesKey, "", segments[2]};
  return std::nullopt;
}

/// Returns the target of the path `evacuations/ZONE`.
std::optional<Target> evacuationTarget(std::vector<std::string> const& segments) {
  std::string const zone = config::percentDecodeLabel(segments.back());
  if (segments.size() != 3 || !config::isValidLabel(zone)) return std::nullopt;
  return Target{keyOf(zoneKeyPrefix, zone), "", ""};
}

/// Returns the target of the path `platform/pools/POOL`.
std::optional<Target> poolTarget(std::vector<std::string> const& segments) {
  std::string const pool = config::percentDecodeLabel(segments.back());
  if (segments.size() != 4 || segments[2] != "pools" || !config::isValidLabel(pool)) return std::nullopt;
  return Target{keyOf(poolKeyPrefix, pool), "", ""};
}

/// Returns the target of the path `alerts/NAME`.
std::optional<Target> alertTarget(std::vector<std::string> const& segments) {
  if (segments.size() != 3 || !config::isValidName(segments[2])) return std::nullopt;
  return Target{keyOf(alertKeyPrefix, segments[2]), "", ""};
}

/// Returns the target of the path `nodes/LINK`.
std::optional<Target> nodeTarget(std::vector<std::string> const& segments) {
  if (segments.size() != 3 || segments[2].empty() || segments[2].size() > maxNodeLinkBytes) return std::nullopt;
  return Target{rosterKey, "", segments[2]};
}

}  // namespace

std::optional<Target> targetOf(std::string const& path) {
  if (path == config::fleetConfigurationPage) return Target{config::fleetConfigurationKey, "", ""};
  std::vector<std::string> const segments = segmentsOf(path);
  if (segments.size() < 2 || segments[0] != apiVersion) return std::nullopt;
  std::string const& page = segments[1];
  if (page == "templates") return familyTarget(segments);
  if (page == "certificates") return certificatesTarget(segments);
  if (page == "evacuations") return evacuationTarget(segments);
  if (page == "alerts") return alertTarget(segments);
  if (page == "platform") return poolTarget(segments);
  if (page == "nodes") return nodeTarget(segments);
  if (page == "roster" && segments.size() == 3) return Target{rosterKey, "", ""};
  return std::nullopt;
}

}  // namespace corkward::control
