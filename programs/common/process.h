#pragma once

#include <QCoreApplication>
#include <functional>
#include <iostream>
#include <string>

#include <corkward/core/log.h>
#include <corkward/http/server.h>
#include <corkward/transport/message.h>

#include "clock.h"
#include "settings.h"

namespace corkward::programs {

/// Answers /healthz, /readyz and /metrics; false when the request is for another page.
bool plainPage(http::Server& server, http::Request const& request, std::function<bool()> const& ready,
               std::function<std::string()> const& metrics);

/// How a process names itself to the others; the incarnation is a first guess from the wall clock.
transport::Contact contactOf(Settings const& settings, char const* role);

/// Path of a request without its query.
std::string pathOf(http::Request const& request);

/// Keeps a folder for this process alone. Throws SettingsError with the setting's name when another process has it.
class FolderLock {
 public:
  FolderLock(char const* setting, std::string const& folder);
  ~FolderLock();
  FolderLock(FolderLock const&) = delete;
  FolderLock& operator=(FolderLock const&) = delete;

 private:
  int fd_;
};

/// The end of a process after SIGTERM: when nothing is in hand, its HTTP edge is closed and nobody waits at it, or at
/// the limit.
class Drain {
 public:
  /// @param least for how long callers may still come, though nothing is in hand
  explicit Drain(core::Tick limit, core::Tick least = 0) : limitTicks_(limit), leastTicks_(least) {}
  /// True at the first call only.
  bool begin();
  /// Ends the event loop when it is time.
  void look(http::Server& http, std::size_t inHand);

 private:
  core::Tick limitTicks_;
  core::Tick leastTicks_;
  core::Tick until_ = 0;
  core::Tick least_ = 0;
};

/// Qt's own event loop, which spends less on each connection than glib's; to be called before there is an application.
void chooseEventLoop();

/// Reads the settings, starts the log and runs the node. Exit codes: 0, 1 for an error, 2 for a setting.
template <class Node>
int runProgram(char const* name, Role role, int argc, char** argv) {
  chooseEventLoop();
  QCoreApplication app(argc, argv);
  try {
    std::optional<Settings> const settings = readSettings(argc, argv, role);
    if (!settings) return 0;
    core::startLog(settings->link, settings->logFile, settings->logLevel);
    Node node(*settings);
    return QCoreApplication::exec();
  } catch (SettingsError const& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return 2;
  } catch (core::Error const& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return 1;
  }
}

}  // namespace corkward::programs
