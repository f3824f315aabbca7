#include <corkward/core/log.h>
#include <corkward/core/guarantees.h>

#include <numeric>

#include "events.h"

namespace corkward::core {

namespace {

/// Number of violations of each guarantee that are logged.
constexpr std::uint64_t maxLoggedViolations = 20;

constexpr std::array<char const*, guaranteeCount> names{"runs-once",
                                                        "not-run-is-true",
                                                        "within-tries",
                                                        "allowed-replica",
                                                        "time-left",
                                                        "revisions-rise",
                                                        "one-value-per-revision",
                                                        "one-change-per-revision",
                                                        "current-when-served",
                                                        "whole-answers",
                                                        "one-answer",
                                                        "events-in-order"};

}  // namespace

char const* nameOf(Guarantee guarantee) {
  return names.at(static_cast<std::size_t>(guarantee));
}

GuaranteeCounts& GuaranteeCounts::ofThread() {
  thread_local GuaranteeCounts counts;
  return counts;
}

void GuaranteeCounts::recordViolation(Guarantee guarantee, std::string const& detail) {
  auto const index = static_cast<std::size_t>(guarantee);
  ++counts_.at(index);
  if (counts_.at(index) == reported_.at(index) + 1) details_.at(index) = detail;
  if (counts_.at(index) <= maxLoggedViolations)
    writeError(LogEvent{events::guaranteeViolated, {{"guarantee", nameOf(guarantee)}, {"detail", detail}}});
}

std::uint64_t GuaranteeCounts::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::vector<std::string> GuaranteeCounts::takeNewViolations() {
  std::vector<std::string> out;
  for (std::size_t index = 0; index < guaranteeCount; ++index) {
    std::uint64_t const unreported = counts_.at(index) - reported_.at(index);
    if (unreported == 0) continue;
    out.push_back(std::string("guarantee ") + names.at(index) + " violated " + std::to_string(unreported) +
                  " times, first: " + details_.at(index));
    reported_.at(index) = counts_.at(index);
  }
  return out;
}

std::string guaranteeMetrics() {
  GuaranteeCounts const& counts = GuaranteeCounts::ofThread();
  std::string out = "# TYPE corkward_promises_broken_total counter\n";
  for (std::size_t index = 0; index < guaranteeCount; ++index)
    out += "corkward_promises_broken_total{promise=\"" + std::string(names.at(index)) + "\"} " +
           std::to_string(counts.count(static_cast<Guarantee>(index))) + "\n";
  return out;
}

}  // namespace corkward::core
