#pragma once

#include <optional>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/log.h>
#include <corkward/core/types.h>

namespace corkward::programs {

/// Settings of a daemon, from its file and flags; a flag takes precedence over the file. Fields are called as the
/// settings are.
struct Settings {
  /// Address that peers reach this process at, ip:port.
  std::string link;
  /// Address to listen at for peers, when it differs from `link`; empty: the same.
  std::string listen;
  /// Address for callers (router) or operators (controller), ip:port.
  std::string http;
  /// Failure domain that this process runs in.
  std::string zone;
  /// Link addresses of processes to join by.
  std::vector<std::string> seeds;
  /// Directory of the write-ahead log; controllers only.
  std::string data;
  /// Link addresses of the first members; read when the directory is empty. Controllers only.
  std::vector<std::string> founders;
  /// Directory of the audit log; empty: nothing is recorded. Routers only.
  std::string audit;
  /// Most megabytes that the audit log takes.
  int auditMegabytes = 64;
  /// Log file; empty: standard error.
  std::string logFile;
  core::LogLevel logLevel = core::LogLevel::info;
  /// Milliseconds that pending work may take after SIGTERM.
  core::Milliseconds drainLimitMs = 60000;
};

/// A setting that is unknown, missing or out of its range; the message begins with its name.
class SettingsError : public core::Error {
 public:
  using core::Error::Error;
};

/// The daemon that settings are read for: it decides which settings there are.
enum class Role { router, controller };

/// Reads flags and the settings file and checks every value. Throws SettingsError.
/// @return nothing when the process is to end with exit code 0 (--help, --version, --check)
std::optional<Settings> readSettings(int argc, char const* const* argv, Role role);

}  // namespace corkward::programs
