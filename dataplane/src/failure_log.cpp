#include <corkward/dataplane/failure_log.h>

#include "events.h"

namespace corkward::dataplane {

namespace {

constexpr std::uint64_t maxLoggedPerSecond = 3;
constexpr core::Milliseconds millisecondsPerSecond = 1000;

core::LogEvent logEventOf(Failure const& failure, std::uint64_t unlogged) {
  core::LogEvent event{events::requestFailed,
                       {{"reason", failure.reason},
                        {"phase", failure.phase},
                        {"status", std::to_string(failure.status)},
                        {"took-ms", std::to_string(failure.duration)},
                        {"hand-overs", std::to_string(failure.dispatches)},
                        {"configuration", std::to_string(failure.configuration)}}};
  if (!failure.trace.empty()) event.fields["request"] = failure.trace;
  if (!failure.path.empty()) event.fields["path"] = failure.path;
  if (!failure.replica.empty()) event.fields["replica"] = failure.replica;
  if (unlogged > 0) event.fields["unlogged-before"] = std::to_string(unlogged);
  return event;
}

}  // namespace

std::optional<core::LogEvent> FailureLog::record(core::Milliseconds now, Failure const& failure) {
  Reason& reason = reasons_[{failure.status, failure.reason}];
  ++reason.count;
  core::Milliseconds const second = now / millisecondsPerSecond;
  if (reason.second != second) {
    reason.second = second;
    reason.logged = 0;
  }
  if (reason.logged >= maxLoggedPerSecond) {
    ++reason.unlogged;
    return std::nullopt;
  }
  ++reason.logged;
  core::LogEvent event = logEventOf(failure, reason.unlogged);
  reason.unlogged = 0;
  return event;
}

std::string FailureLog::metrics() const {
  std::string out = "# TYPE corkward_requests_failed_total counter\n";
  for (auto const& [key, reason] : reasons_)
    out += "corkward_requests_failed_total{status=\"" + std::to_string(key.first) + "\",reason=\"" + key.second +
           "\"} " + std::to_string(reason.count) + "\n";
  return out;
}

}  // namespace corkward::dataplane
