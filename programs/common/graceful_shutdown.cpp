#include "graceful_shutdown.h"

#include <QCoreApplication>
#include <algorithm>
#include <string>

#include <corkward/core/log.h>

#include "clock.h"
#include "events.h"

namespace corkward::programs {

namespace {

/// Minimum milliseconds from the signal to the end of the process. Until then the process still accepts requests of
/// callers that were directed to it just before the signal.
constexpr core::Milliseconds lateCallerPeriod = 1000;

}  // namespace

bool GracefulShutdown::begin() {
  if (deadline_ != 0) return false;
  deadline_ = now() + limit_;
  earliestEnd_ = now() + std::max(lateCallerPeriod, minimum_);
  return true;
}

void GracefulShutdown::poll(http::Server& server, std::size_t pending) {
  if (deadline_ == 0) return;
  bool const outOfTime = now() >= deadline_;
  std::size_t const remaining = pending + server.pendingCount();
  if (!outOfTime && (remaining > 0 || now() < earliestEnd_)) return;
  server.closeListeners();
  if (!outOfTime && server.pendingCount() + server.expectedRequests() > 0) return;
  core::writeLog(core::LogEvent{events::stopped, {{"pending", std::to_string(remaining)}}});
  QCoreApplication::exit(0);
}

}  // namespace corkward::programs
