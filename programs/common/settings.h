#pragma once

#include <optional>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/log.h>
#include <corkward/core/types.h>

namespace corkward::programs {

/// Settings of a daemon from its settings file and its flags. A flag takes precedence over the file.
struct Settings {
  /// Address at which peers reach this process, ip:port.
  std::string link;
  /// Address to listen at for peers. Empty if it is the same as `link`.
  std::string listen;
  /// Address for callers (router) or operators (controller), ip:port.
  std::string http;
  /// Failure domain that this process runs in.
  std::string zone;
  /// Link addresses of processes through which this one joins the fleet.
  std::vector<std::string> seeds;
  /// Directory of the write-ahead log. Controllers only.
  std::string data;
  /// Link addresses of the first members of the membership, used only if `data` is an empty directory. Controllers
  /// only.
  std::vector<std::string> founders;
  /// Directory of the audit log. Empty if no audit records are written. Routers only.
  std::string audit;
  /// Maximum size of the audit log in megabytes.
  int auditMegabytes = 64;
  /// Log file. Empty to log to standard error.
  std::string logFile;
  core::LogLevel logLevel = core::LogLevel::info;
  /// Milliseconds after SIGTERM before requests in progress are abandoned.
  core::Milliseconds drainLimitMs = 60000;
  /// Memory that the process may take in bytes; 0 for a default. No setting of the settings file.
  std::uint64_t processMemoryBytes = 0;
};

/// A setting is unknown, missing or out of range. The error text names the setting.
class SettingsError : public core::Error {
 public:
  using core::Error::Error;
};

/// The daemon for which settings are read. It determines which settings are allowed.
enum class Role { router, controller };

/// Reads flags and the settings file and checks every value. Throws SettingsError.
/// @return std::nullopt if the process should end with exit code 0 (after --help, --version or --check)
std::optional<Settings> readSettings(int argc, char const* const* argv, Role role);

}  // namespace corkward::programs
