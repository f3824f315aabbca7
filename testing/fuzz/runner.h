#pragma once

#include <QEventLoop>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "scenario.h"

namespace corkward::fuzz {

/// A violation and the scenario in which it was found.
struct Finding {
  std::string scenario;
  Violation violation;
};

/// Counts and findings of all scenarios.
struct Report {
  std::size_t scenarios = 0;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t cut = 0;
  std::size_t dispatches = 0;
  /// Number of dispatches by the fault of the response.
  std::map<std::string, std::size_t> faults;
  std::vector<Finding> findings;
};

/// Runs scenarios, several at a time in one event loop, until none is left.
class Runner {
 public:
  /// @param next returns the next plan, or std::nullopt if there are no more
  Runner(std::function<std::optional<Plan>()> next, std::optional<Mutation> mutation, std::size_t maxConcurrent);
  Report run();

 private:
  void fill();
  void ended(Scenario* scenario);
  std::function<std::optional<Plan>()> next_;
  std::optional<Mutation> mutation_;
  std::size_t maxConcurrent_;
  LagMeter lag_;
  QEventLoop loop_;
  std::vector<std::unique_ptr<Scenario>> scenarios_;
  Report report_;
};

/// Returns a generator of the plans of the seeds from..from+count-1. It stops after `seconds`; 0 means no limit.
std::function<std::optional<Plan>()> seeds(std::uint64_t from, std::uint64_t count, double seconds);
/// Returns the plans of the directory's files, sorted by name. Throws PlanError.
std::vector<Plan> corpus(std::string const& directory);

}  // namespace corkward::fuzz
