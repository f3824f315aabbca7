#pragma once

#include <string>

/// Paths of the operator interface (docs/interface.md). Names of zones and pools may contain any character and are
/// percent-encoded.
namespace corkward::programs::paths {

inline constexpr char const* templates = "/v1/templates";
inline constexpr char const* certificates = "/v1/certificates";
inline constexpr char const* fleet = "/v1/fleet";
inline constexpr char const* metrics = "/metrics";

/// Returns the path of a template, or of one of its instances if an instance name is given.
std::string ofTemplate(std::string const& templateName, std::string const& instance = "");
std::string ofCertificate(std::string const& certificate);
std::string ofEvacuation(std::string const& zone);
std::string ofPool(std::string const& pool);
std::string ofChange(std::string const& changeId);
std::string ofNode(std::string const& link);
std::string ofAlert(std::string const& alert);
std::string ofSingletonRole(std::string const& role);

}  // namespace corkward::programs::paths
