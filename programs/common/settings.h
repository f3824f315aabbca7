#pragma once

#include <optional>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

namespace corkward::programs {

/// Settings of one process, from its file and flags; a flag goes before the file.
struct Settings {
  std::string link;
  /// Where links are listened for, when that is not the address that others use.
  std::string listen;
  std::string http;
  std::string zone;
  std::vector<std::string> seeds;
  std::string data;
  std::vector<std::string> founders;
  /// Folder for the records of regimes' work, and their bound; empty: none are kept.
  std::string audit;
  int auditMegabytes = 64;
  std::string logFile;
  std::string logLevel = "info";
  core::Tick drainLimitMs = 60000;
};

/// A setting that is unknown, missing or out of its range; the message begins with its name.
class SettingsError : public core::Error {
 public:
  using core::Error::Error;
};

enum class Role { router, controller };

/// Reads flags and the settings file and checks every value. Returns nothing when the start is to end here with exit
/// code 0 (--help, --version, --check). Throws SettingsError.
std::optional<Settings> readSettings(int argc, char const* const* argv, Role role);

}  // namespace corkward::programs
