#include "startup.h"

#include <algorithm>

#include <corkward/core/log.h>

#include "events.h"
#include "signals.h"

namespace corkward::programs {

namespace {

constexpr std::chrono::milliseconds attemptInterval{100};
/// Added to the drain limit of a predecessor, which needs a moment to exit afterwards.
constexpr core::Milliseconds exitMargin = 5000;

/// Writes a line of the log, which takes memory.
template <class Write>
void logIfMemoryAllows(Write const& write) {
  try {
    write();
  } catch (std::bad_alloc const&) {
    return;
  }
}

void logStopped() {
  logIfMemoryAllows([] { core::writeLog(core::LogEvent{events::stopped, {{"pending", "0"}}}); });
}

}  // namespace

StartupRetry::StartupRetry(core::Milliseconds drainLimit) : deadline_(now() + drainLimit + exitMargin) {}

bool StartupRetry::waitAfter(std::exception const& error) {
  if (now() >= deadline_) throw core::Error(std::string(error.what()) + "; gave up waiting");
  if (!std::exchange(logged_, true))
    logIfMemoryAllows([&error] {
      core::writeWarning(core::LogEvent{events::startWaiting, {{"error", error.what()}}});
    });
  if (!waitForTermination(attemptInterval)) return true;
  logStopped();
  return false;
}

bool waitForMemory(std::chrono::milliseconds pause) {
  if (pause.count() == 0 || !waitForTermination(pause)) return true;
  logStopped();
  return false;
}

std::chrono::milliseconds MemoryPause::next(core::Milliseconds at) {
  bool const isFirst = pause_.count() == 0 || at - lastAt_ > calmAfter;
  pause_ = isFirst ? shortest : std::min(2 * pause_, longest);
  lastAt_ = at;
  return pause_;
}

bool RestartBudget::take(core::Milliseconds at) {
  while (!restarts_.empty() && at - restarts_.front() > window) restarts_.pop_front();
  restarts_.push_back(at);
  return restarts_.size() <= maxRestarts;
}

void logRestart(std::exception const& error) {
  logIfMemoryAllows([&error] {
    core::writeError(core::LogEvent{events::restartedAfterFault, {{"error", error.what()}}});
  });
}

}  // namespace corkward::programs
