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

/// A violation, and the scenario that shows it.
struct Finding {
  std::string scenario;
  Violation violation;
};

/// What was played and found.
struct Report {
  std::size_t scenarios = 0;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t cut = 0;
  std::size_t dispatches = 0;
  /// Dispatches by the fault that they met.
  std::map<std::string, std::size_t> faults;
  std::vector<Finding> findings;
};

/// Plays scenarios, several at once in one event loop, until there is none left.
class Runner {
 public:
  /// @param next the next plan; none: all are played
  Runner(std::function<std::optional<Plan>()> next, std::optional<Mutation> mutation, std::size_t atOnce);
  Report run();

 private:
  void fill();
  void ended(Scenario* scenario);
  std::function<std::optional<Plan>()> next_;
  std::optional<Mutation> mutation_;
  std::size_t atOnce_;
  LagMeter lag_;
  QEventLoop loop_;
  std::vector<std::unique_ptr<Scenario>> scenarios_;
  Report report_;
};

/// Plans of the seeds from..from+count-1, for as many seconds at the most; 0 seconds: no limit.
std::function<std::optional<Plan>()> seeds(std::uint64_t from, std::uint64_t count, double seconds);
/// Plans of the folder's files, by name. Throws PlanError.
std::vector<Plan> corpus(std::string const& folder);

}  // namespace corkward::fuzz
