#pragma once

#include <QCoreApplication>
#include <optional>

#include <corkward/core/log.h>
#include <corkward/core/standard_streams.h>
#include <corkward/transport/message.h>

#include "process_descriptors.h"
#include "process_memory.h"
#include "settings.h"
#include "signals.h"
#include "startup.h"

namespace corkward::programs {

/// Returns the contact data that a process announces to its peers. The initial incarnation is the wall clock's time.
transport::Contact contactOf(Settings const& settings, char const* role);

/// Selects Qt's own event loop, which uses less CPU time per connection than glib's. Must be called before the
/// QCoreApplication is constructed.
void selectQtEventLoop();

/// Exit codes of the daemons.
enum class DaemonExit : int { ok = 0, error = 1, invalidSettings = 2 };

/// Reports the exception that is being handled as one line on standard error. Returns the exit code of the process.
/// Called from a catch block.
int reportError(char const* program);

/// Main function of a daemon. Reads the settings, starts the log and runs the daemon until its event loop ends.
/// @tparam Daemon the daemon's class, which is constructed from the settings
/// @return the exit code of the process
template <class Daemon>
int runDaemon(char const* program, Role role, int argc, char** argv) {
  holdSignals();
  core::makeStandardStreamsNonBlocking();
  returnFreedBuffers();
  selectQtEventLoop();
  DaemonApplication application(argc, argv);
  try {
    std::optional<Settings> const settings = readSettings(argc, argv, role);
    if (!settings) return static_cast<int>(DaemonExit::ok);
    core::startLog(settings->link, settings->logFile, settings->logLevel);
    setProcessDescriptors(0);
    return runNode<Daemon>(application, settings->drainLimitMs, *settings);
  } catch (...) {
    return reportError(program);
  }
}

}  // namespace corkward::programs
