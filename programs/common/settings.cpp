#include "settings.h"

#include <QHostAddress>
#include <boost/program_options.hpp>
#include <cerrno>
#include <fstream>
#include <iostream>
#include <optional>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

#include <corkward/config/config.h>
#include <corkward/http/socket_address.h>

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

constexpr std::size_t maxSeeds = 8;
constexpr std::size_t maxFounders = 9;
constexpr int defaultDrainSeconds = 60;
constexpr int maxDrainSeconds = 3600;
constexpr core::Milliseconds millisPerSecond = 1000;
constexpr int minAuditMegabytes = 2;
constexpr int maxAuditMegabytes = 65536;

enum class Presence { optional, required };

bool isAddress(std::string const& value) {
  std::optional<http::SocketAddress> const address = http::socketAddressOf(value);
  if (!address || address->port == 0) return false;
  return QHostAddress(QString::fromStdString(address->host)).protocol() == QAbstractSocket::IPv4Protocol;
}

void checkAddress(std::string const& name, std::string const& value, Presence presence) {
  if (value.empty()) {
    if (presence == Presence::required) throw SettingsError(name + ": missing");
    return;
  }
  if (!isAddress(value)) throw SettingsError(name + ": must be ip:port, but is " + value);
}

/// Throws SettingsError if the path exists and is not a writable directory. A missing directory is created later.
void checkDirectory(std::string const& name, std::string const& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) return;
  if (!S_ISDIR(info.st_mode)) throw SettingsError(name + ": is not a folder: " + path);
  if (::access(path.c_str(), W_OK | X_OK) != 0) throw SettingsError(name + ": cannot be written: " + path);
}

core::Milliseconds drainLimitOf(int seconds) {
  if (seconds < 1 || seconds > maxDrainSeconds) throw SettingsError("drain-limit: must be 1 to 3600");
  return millisPerSecond * seconds;
}

/// Settings as read. The log level is parsed only after the addresses are checked, so that errors are reported in this
/// order.
struct RawSettings {
  Settings settings;
  std::string logLevel;
};

void addControllerOptions(po::options_description& options, Settings& settings) {
  options.add_options()("data", po::value<std::string>(&settings.data), "directory for this machine's write-ahead log")(
      "founder", po::value<std::vector<std::string>>(&settings.founders),
      "link address of one of the first members of the controllers' membership; repeat the flag for each of them; read "
      "only at the first start with an empty data directory");
}

void addRouterOptions(po::options_description& options, Settings& settings) {
  options.add_options()(
      "audit", po::value<std::string>(&settings.audit),
      "directory for the audit log of regimes; without it this router serves no tenant under a regime")(
      "audit-megabytes", po::value<int>(&settings.auditMegabytes)->default_value(settings.auditMegabytes),
      "maximum size of the audit log in megabytes, 2 to 65536");
}

/// Returns the options that are allowed both as flags and in a settings file. Their values are stored in `raw`.
po::options_description settingsOptions(RawSettings& raw, Role role) {
  Settings& settings = raw.settings;
  po::options_description options("Settings, in the file or as flags");
  options.add_options()("link", po::value<std::string>(&settings.link),
                        "address at which other processes reach this one, ip:port")(
      "listen", po::value<std::string>(&settings.listen),
      "address to listen at for other processes, if it differs from link, ip:port")(
      "http", po::value<std::string>(&settings.http),
      role == Role::controller ? "address to listen at for operators and the platform, ip:port"
                               : "address to listen at for callers, ip:port")(
      "zone", po::value<std::string>(&settings.zone), "zone (failure domain) of this process")(
      "seed", po::value<std::vector<std::string>>(&settings.seeds),
      "link address of another process through which this one joins the fleet; up to 8 times")(
      "log-file", po::value<std::string>(&settings.logFile), "log file; standard error if empty")(
      "log-level", po::value<std::string>(&raw.logLevel)->default_value("info"), "trace, debug, info, warn or error")(
      "drain-limit", po::value<int>()->default_value(defaultDrainSeconds)->notifier([&settings](int seconds) {
        settings.drainLimitMs = drainLimitOf(seconds);
      }),
      "seconds after SIGTERM before requests in progress are abandoned, 1 to 3600");
  if (role == Role::controller)
    addControllerOptions(options, settings);
  else
    addRouterOptions(options, settings);
  return options;
}

po::options_description flagOptions() {
  po::options_description flags("Flags");
  flags.add_options()("settings", po::value<std::string>(), "settings file with lines of the form name = value")(
      "check", "check the settings and exit")("help", "print this and exit")("version", "print the version and exit");
  return flags;
}

void checkAddresses(Settings const& settings, Role role) {
  checkAddress("link", settings.link, Presence::required);
  checkAddress("http", settings.http, Presence::required);
  checkAddress("listen", settings.listen, Presence::optional);
  if (settings.listen == settings.http) throw SettingsError("http: must differ from listen");
  if (settings.link == settings.http) throw SettingsError("http: must differ from link");
  if (settings.zone.empty()) throw SettingsError("zone: missing");
  if (!config::isValidName(settings.zone)) throw SettingsError("zone: not a valid name: " + settings.zone);
  if (settings.seeds.size() > maxSeeds) throw SettingsError("seed: more than 8");
  if (settings.seeds.empty() && role == Role::router) throw SettingsError("seed: missing");
  for (std::string const& seed : settings.seeds) checkAddress("seed", seed, Presence::required);
}

core::LogLevel parseLogLevel(std::string const& text) {
  std::optional<core::LogLevel> const level = core::logLevelOf(text);
  if (!level) throw SettingsError("log-level: must be trace, debug, info, warn or error, but is " + text);
  return *level;
}

void checkControllerSettings(Settings const& settings) {
  if (settings.data.empty()) throw SettingsError("data: missing");
  checkDirectory("data", settings.data);
  if (settings.founders.empty() && settings.seeds.empty()) throw SettingsError("seed: missing, and no founder");
  if (settings.founders.size() > maxFounders) throw SettingsError("founder: more than 9");
  for (std::string const& founder : settings.founders) checkAddress("founder", founder, Presence::required);
}

/// Returns the settings if they are valid. Throws SettingsError at the first value that is missing or out of range.
Settings checked(RawSettings const& raw, Role role) {
  Settings settings = raw.settings;
  checkAddresses(settings, role);
  settings.logLevel = parseLogLevel(raw.logLevel);
  if (role == Role::controller) checkControllerSettings(settings);
  if (!settings.audit.empty()) checkDirectory("audit", settings.audit);
  if (settings.auditMegabytes < minAuditMegabytes || settings.auditMegabytes > maxAuditMegabytes)
    throw SettingsError("audit-megabytes: must be 2 to 65536");
  return settings;
}

/// Adds the values of the settings file. A value that was already given by a flag is not replaced.
void storeFile(std::string const& path, po::options_description const& options, po::variables_map& values) {
  std::ifstream file(path);
  if (!file) throw SettingsError("settings: cannot be read: " + path + ": " + std::generic_category().message(errno));
  po::store(po::parse_config_file(file, options, false), values);
}

}  // namespace

std::optional<Settings> readSettings(int argc, char const* const* argv, Role role) {
  RawSettings raw;
  std::string const program = role == Role::controller ? "corkward-control" : "corkward-router";
  po::options_description const options = settingsOptions(raw, role);
  po::options_description all(program);
  all.add(flagOptions()).add(options);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(all).positional(po::positional_options_description()).run(),
              values);
    if (values.count("help") > 0) {
      std::cout << all << "\n";
      return std::nullopt;
    }
    if (values.count("version") > 0) {
      std::cout << program << " " << CORKWARD_VERSION << "\n";
      return std::nullopt;
    }
    if (values.count("settings") > 0) storeFile(values["settings"].as<std::string>(), options, values);
    po::notify(values);
  } catch (po::error const& error) {
    throw SettingsError(error.what());
  }
  Settings const settings = checked(raw, role);
  if (values.count("check") > 0) {
    std::cout << "settings are valid\n";
    return std::nullopt;
  }
  return settings;
}

}  // namespace corkward::programs
