#include <corkward/dataplane/failure_log.h>

#include "events.h"

namespace corkward::dataplane {

namespace {

constexpr std::uint64_t loggedInOneSecond = 3;
constexpr core::Milliseconds secondMs = 1000;

core::LogEvent lineOf(Failure const& failure, std::uint64_t unlogged) {
  core::LogEvent line{events::requestFailed,
                      {{"reason", failure.reason},
                       {"phase", failure.phase},
                       {"status", std::to_string(failure.status)},
                       {"took-ms", std::to_string(failure.took)},
                       {"hand-overs", std::to_string(failure.handOvers)},
                       {"configuration", std::to_string(failure.configuration)}}};
  if (!failure.trace.empty()) line.fields["request"] = failure.trace;
  if (!failure.path.empty()) line.fields["path"] = failure.path;
  if (!failure.replica.empty()) line.fields["replica"] = failure.replica;
  if (unlogged > 0) line.fields["unlogged-before"] = std::to_string(unlogged);
  return line;
}

}  // namespace

std::optional<core::LogEvent> FailureLog::note(core::Milliseconds now, Failure const& failure) {
  Reason& reason = reasons_[{failure.status, failure.reason}];
  ++reason.count;
  core::Milliseconds const second = now / secondMs;
  if (reason.second != second) {
    reason.second = second;
    reason.logged = 0;
  }
  if (reason.logged >= loggedInOneSecond) {
    ++reason.unlogged;
    return std::nullopt;
  }
  ++reason.logged;
  core::LogEvent line = lineOf(failure, reason.unlogged);
  reason.unlogged = 0;
  return line;
}

std::string FailureLog::metrics() const {
  std::string out = "# TYPE corkward_requests_failed_total counter\n";
  for (auto const& [key, reason] : reasons_)
    out += "corkward_requests_failed_total{status=\"" + std::to_string(key.first) + "\",reason=\"" + key.second +
           "\"} " + std::to_string(reason.count) + "\n";
  return out;
}

}  // namespace corkward::dataplane
