#include "startup.h"

#include <corkward/core/log.h>

#include "events.h"
#include "signals.h"

namespace corkward::programs {

namespace {

constexpr std::chrono::milliseconds attemptInterval{100};
/// Added to the drain limit of a predecessor, which needs a moment to exit afterwards.
constexpr core::Milliseconds exitMargin = 5000;

}  // namespace

StartupRetry::StartupRetry(core::Milliseconds drainLimit) : deadline_(now() + drainLimit + exitMargin) {}

bool StartupRetry::waitAfter(core::Error const& error) {
  if (now() >= deadline_) throw core::Error(std::string(error.what()) + "; gave up waiting");
  if (!logged_) core::writeWarning(core::LogEvent{events::startWaiting, {{"error", error.what()}}});
  logged_ = true;
  if (!waitForTermination(attemptInterval)) return true;
  core::writeLog(core::LogEvent{events::stopped, {{"pending", "0"}}});
  return false;
}

bool RestartBudget::take(core::Milliseconds at) {
  while (!restarts_.empty() && at - restarts_.front() > window) restarts_.pop_front();
  restarts_.push_back(at);
  return restarts_.size() <= maxRestarts;
}

void logRestart(std::exception const& error) {
  core::writeError(core::LogEvent{events::restartedAfterFault, {{"error", error.what()}}});
}

}  // namespace corkward::programs
