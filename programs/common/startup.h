#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <exception>
#include <memory>
#include <new>
#include <utility>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

#include "clock.h"
#include "daemon_application.h"

namespace corkward::programs {

/// Waits while a resource that a process needs at its start is not to be had: an address to listen at or the lock of
/// its data directory, which a predecessor that is draining holds until its drain limit, or memory.
class StartupRetry {
 public:
  /// @param drainLimit milliseconds for which a predecessor may drain
  explicit StartupRetry(core::Milliseconds drainLimit);
  /// Waits a moment before the next attempt, after one that failed with the error. Returns false if SIGTERM or SIGINT
  /// arrived meanwhile: the process is to end. Throws core::Error when the resource was held for too long.
  bool waitAfter(std::exception const& error);

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

/// Pauses between an allocation that failed in a running node and the next node, longer each time, so that a process
/// without memory neither ends nor keeps the processor.
class MemoryPause {
 public:
  static constexpr std::chrono::milliseconds shortest{100};
  static constexpr std::chrono::milliseconds longest{3200};
  /// Milliseconds after which a failure counts as the first one again.
  static constexpr core::Milliseconds calmAfter = 30000;

  /// Returns the pause after an allocation that failed.
  std::chrono::milliseconds next(core::Milliseconds at);

 private:
  std::chrono::milliseconds pause_{0};
  core::Milliseconds lastAt_ = 0;
};

/// Logs that the node is started anew in the same process after an exception that nothing handled. Without memory for
/// the line, nothing is logged.
void logRestart(std::exception const& error);
/// Waits for the pause. Returns false if SIGTERM or SIGINT arrived meanwhile: the process is to end.
bool waitForMemory(std::chrono::milliseconds pause);

/// Creates a node, waiting for its resources. Returns null if the process was told to end meanwhile.
template <class Node, class... Arguments>
std::unique_ptr<Node> createNode(core::Milliseconds drainLimit, Arguments const&... arguments) {
  StartupRetry retry(drainLimit);
  while (true) {
    try {
      return std::make_unique<Node>(arguments...);
    } catch (core::ResourceBusyError const& error) {
      if (!retry.waitAfter(error)) return nullptr;
    } catch (std::bad_alloc const& error) {
      if (!retry.waitAfter(error)) return nullptr;
    }
  }
}

/// Creates the process's node and runs the event loop until it ends. If an event handler throws, the state of the node
/// may be inconsistent: the node is destroyed and created anew, as after a restart of the process, which recovers its
/// state from its disk and its peers. Throws the exception if that happens too often; a lack of memory is waited out
/// instead.
/// @param drainLimit milliseconds for which a predecessor may drain
/// @return the exit code
template <class Node, class... Arguments>
int runNode(DaemonApplication& application, core::Milliseconds drainLimit, Arguments const&... arguments) {
  RestartBudget budget;
  MemoryPause memoryPause;
  std::chrono::milliseconds pause{0};
  while (true) {
    if (!waitForMemory(std::exchange(pause, std::chrono::milliseconds(0)))) return 0;
    std::unique_ptr<Node> const node = createNode<Node>(drainLimit, arguments...);
    if (node == nullptr) return 0;
    try {
      return application.runEventLoop();
    } catch (std::bad_alloc const& error) {
      logRestart(error);
      pause = memoryPause.next(now());
    } catch (std::exception const& error) {
      if (!budget.take(now())) throw;
      logRestart(error);
    }
  }
}

}  // namespace corkward::programs
