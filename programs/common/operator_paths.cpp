#include "operator_paths.h"

#include <corkward/config/config.h>

namespace corkward::programs::paths {

std::string ofTemplate(std::string const& templateName, std::string const& instance) {
  return std::string(templates) + "/" + templateName + (instance.empty() ? "" : "/instances/" + instance);
}

std::string ofCertificate(std::string const& certificate) {
  return std::string(certificates) + "/" + certificate;
}

std::string ofEvacuation(std::string const& zone) {
  return "/v1/evacuations/" + config::percentEncodeLabel(zone);
}

std::string ofPool(std::string const& pool) {
  return "/v1/platform/pools/" + config::percentEncodeLabel(pool);
}

std::string ofChange(std::string const& changeId) {
  return "/v1/changes/" + changeId;
}

std::string ofNode(std::string const& link) {
  return "/v1/nodes/" + link;
}

std::string ofAlert(std::string const& alert) {
  return "/v1/alerts/" + alert;
}

std::string ofSingletonRole(std::string const& role) {
  return "/v1/duties/" + role;
}

}  // namespace corkward::programs::paths
