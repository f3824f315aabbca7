#pragma once

#include <cstddef>
#include <deque>
#include <exception>
#include <memory>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

#include "clock.h"
#include "daemon_application.h"

namespace corkward::programs {

/// Waits while a resource that a process needs at its start is held by another process: an address to listen at, or the
/// lock of its data directory. A predecessor that is draining holds both until its drain limit.
class StartupRetry {
 public:
  /// @param drainLimit milliseconds for which a predecessor may drain
  explicit StartupRetry(core::Milliseconds drainLimit);
  /// Waits a moment before the next attempt, after one that failed with the error. Returns false if SIGTERM or SIGINT
  /// arrived meanwhile: the process is to end. Throws core::Error when the resource was held for too long.
  bool waitAfter(core::Error const& error);

 private:
  core::Milliseconds deadline_;
  bool logged_ = false;
};

/// Bounds how often a process starts its node anew after an unexpected exception.
class RestartBudget {
 public:
  /// Restarts within `window` that are allowed. More of them show a fault that restarts do not cure.
  static constexpr std::size_t maxRestarts = 5;
  static constexpr core::Milliseconds window = 60000;

  /// Counts a restart. Returns false if there were more than allowed.
  bool take(core::Milliseconds at);

 private:
  std::deque<core::Milliseconds> restarts_;
};

/// Logs that the node is started anew in the same process after an exception that nothing handled.
void logRestart(std::exception const& error);

/// Creates a node, waiting for its resources. Returns null if the process was told to end meanwhile.
template <class Node, class... Arguments>
std::unique_ptr<Node> createNode(core::Milliseconds drainLimit, Arguments const&... arguments) {
  StartupRetry retry(drainLimit);
  while (true) {
    try {
      return std::make_unique<Node>(arguments...);
    } catch (core::ResourceBusyError const& error) {
      if (!retry.waitAfter(error)) return nullptr;
    }
  }
}

/// Creates the process's node and runs the event loop until it ends. If an event handler throws, the state of the node
/// may be inconsistent: the node is destroyed and created anew, as after a restart of the process, which recovers its
/// state from its disk and its peers. Throws the exception if that happens too often.
/// @param drainLimit milliseconds for which a predecessor may drain
/// @return the exit code
template <class Node, class... Arguments>
int runNode(DaemonApplication& application, core::Milliseconds drainLimit, Arguments const&... arguments) {
  RestartBudget budget;
  while (true) {
    std::unique_ptr<Node> const node = createNode<Node>(drainLimit, arguments...);
    if (node == nullptr) return 0;
    try {
      return application.runEventLoop();
    } catch (std::exception const& error) {
      if (!budget.take(now())) throw;
      logRestart(error);
    }
  }
}

}  // namespace corkward::programs
