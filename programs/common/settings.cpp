#include "settings.h"

#include <QHostAddress>
#include <boost/program_options.hpp>
#include <cerrno>
#include <fstream>
#include <iostream>
#include <system_error>
#include <sys/stat.h>
#include <unistd.h>

#include <corkward/config/config.h>

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

void checkAddress(std::string const& name, std::string const& value, bool needed) {
  if (value.empty()) {
    if (needed) throw SettingsError(name + ": missing");
    return;
  }
  std::size_t const colon = value.rfind(':');
  QHostAddress host;
  bool ok = colon != std::string::npos && host.setAddress(QString::fromStdString(value.substr(0, colon))) &&
            host.protocol() == QAbstractSocket::IPv4Protocol;
  if (ok) {
    int const port = QString::fromStdString(value.substr(colon + 1)).toInt(&ok);
    ok = ok && port > 0 && port <= 65535;
  }
  if (!ok) throw SettingsError(name + ": must be ip:port, but is " + value);
}

void checkFolder(std::string const& name, std::string const& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) == 0) {
    if (!S_ISDIR(info.st_mode)) throw SettingsError(name + ": is not a folder: " + path);
    if (::access(path.c_str(), W_OK | X_OK) != 0) throw SettingsError(name + ": cannot be written: " + path);
  }
}

constexpr std::size_t maxSeeds = 8;
constexpr std::size_t maxFounders = 9;
constexpr int mostDrainSeconds = 3600;

core::Tick drainLimitOf(int seconds) {
  if (seconds < 1 || seconds > mostDrainSeconds) throw SettingsError("drain-limit: must be 1 to 3600");
  return core::Tick{1000} * seconds;
}

/// The options that a settings file may hold as well; values go to the settings.
po::options_description sharedOptions(Settings& s, bool disk) {
  po::options_description shared("Settings, in the file or as flags");
  shared.add_options()("link", po::value<std::string>(&s.link), "own address for other processes, ip:port")(
      "listen", po::value<std::string>(&s.listen),
      "address to listen at for links, when others reach it at another one")(
      "http", po::value<std::string>(&s.http),
      disk ? "own address for operators and the platform, ip:port" : "own address for callers, ip:port")(
      "zone", po::value<std::string>(&s.zone), "own zone")(
      "seed", po::value<std::vector<std::string>>(&s.seeds),
      "link address of another process to enter by; up to 8 times")("log-file", po::value<std::string>(&s.logFile),
                                                                    "file for the log; standard error when empty")(
      "log-level", po::value<std::string>(&s.logLevel)->default_value("info"), "trace, debug, info, warn or error")(
      "drain-limit",
      po::value<int>()->default_value(60)->notifier([&s](int seconds) { s.drainLimitMs = drainLimitOf(seconds); }),
      "seconds that work in hand may take after SIGTERM, 1 to 3600");
  if (disk)
    shared.add_options()("data", po::value<std::string>(&s.data), "folder for this machine's write-ahead log")(
        "founder", po::value<std::vector<std::string>>(&s.founders),
        "link address of a founder of the membership, once for each; counts at the first start of an empty folder");
  else
    shared.add_options()("audit", po::value<std::string>(&s.audit),
                         "folder for the records of regimes' work; without it nothing of a regime is served here")(
        "audit-megabytes", po::value<int>(&s.auditMegabytes)->default_value(64),
        "most that the records take, 2 to 65536");
  return shared;
}

po::options_description flagOptions() {
  po::options_description flags("Flags");
  flags.add_options()("settings", po::value<std::string>(), "settings file: name = value lines")(
      "check", "check the settings and exit")("help", "print this and exit")("version", "print the version and exit");
  return flags;
}

void checkAddresses(Settings const& s, bool disk) {
  checkAddress("link", s.link, true);
  checkAddress("http", s.http, true);
  checkAddress("listen", s.listen, false);
  if (s.listen == s.http) throw SettingsError("http: must differ from listen");
  if (s.link == s.http) throw SettingsError("http: must differ from link");
  if (s.zone.empty()) throw SettingsError("zone: missing");
  if (!config::validName(s.zone)) throw SettingsError("zone: not a valid name: " + s.zone);
  if (s.seeds.size() > maxSeeds) throw SettingsError("seed: more than 8");
  if (s.seeds.empty() && !disk) throw SettingsError("seed: missing");
  for (std::string const& seed : s.seeds) checkAddress("seed", seed, true);
}

void checkLogLevel(std::string const& level) {
  constexpr char const* levels[] = {"trace", "debug", "info", "warn", "error"};
  bool known = false;
  for (char const* l : levels) known = known || level == l;
  if (!known) throw SettingsError("log-level: must be trace, debug, info, warn or error, but is " + level);
}

void checkDisk(Settings const& s) {
  if (s.data.empty()) throw SettingsError("data: missing");
  checkFolder("data", s.data);
  if (s.founders.empty() && s.seeds.empty()) throw SettingsError("seed: missing, and no founder");
  if (s.founders.size() > maxFounders) throw SettingsError("founder: more than 9");
  for (std::string const& f : s.founders) checkAddress("founder", f, true);
}

/// Throws SettingsError at the first value that is missing or out of its range.
void checkSettings(Settings const& s, bool disk) {
  checkAddresses(s, disk);
  checkLogLevel(s.logLevel);
  if (disk) checkDisk(s);
  if (!s.audit.empty()) checkFolder("audit", s.audit);
  if (s.auditMegabytes < 2 || s.auditMegabytes > 65536) throw SettingsError("audit-megabytes: must be 2 to 65536");
}

/// Adds what the settings file holds to the flags, which go before it.
void storeFile(std::string const& path, po::options_description const& shared, po::variables_map& vm) {
  std::ifstream file(path);
  if (!file) throw SettingsError("settings: cannot be read: " + path + ": " + std::generic_category().message(errno));
  po::store(po::parse_config_file(file, shared, false), vm);
}

}  // namespace

std::optional<Settings> readSettings(int argc, char const* const* argv, Role role) {
  Settings s;
  bool const disk = role == Role::controller;
  std::string const program = disk ? "corkward-control" : "corkward-router";
  po::options_description const shared = sharedOptions(s, disk);
  po::options_description all(program);
  all.add(flagOptions()).add(shared);
  po::variables_map vm;
  try {
    po::store(po::command_line_parser(argc, argv).options(all).positional(po::positional_options_description()).run(),
              vm);
    if (vm.count("help") > 0) {
      std::cout << all << "\n";
      return std::nullopt;
    }
    if (vm.count("version") > 0) {
      std::cout << program << " " << CORKWARD_VERSION << "\n";
      return std::nullopt;
    }
    if (vm.count("settings") > 0) storeFile(vm["settings"].as<std::string>(), shared, vm);
    po::notify(vm);
  } catch (po::error const& e) {
    throw SettingsError(e.what());
  }
  checkSettings(s, disk);
  if (vm.count("check") > 0) {
    std::cout << "settings are valid\n";
    return std::nullopt;
  }
  return s;
}

}  // namespace corkward::programs
