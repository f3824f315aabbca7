#include <corkward/core/error.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

#include "run.h"

namespace corkward::explore {

namespace {

namespace po = boost::program_options;

void printOutcome(Run const& run, Outcome const& o, bool trace) {
  std::cout << std::left << std::setw(16) << run.model << std::setw(20) << (run.without.empty() ? "-" : run.without)
            << std::right << std::setw(9) << o.states << " states " << std::setw(9) << o.steps << " steps, depth "
            << std::setw(3) << o.depth << ", " << std::fixed << std::setprecision(1) << std::setw(6) << o.seconds
            << " s, ";
  if (!o.broken.empty())
    std::cout << "broken after " << o.trace.size() << ": " << o.broken;
  else
    std::cout << "nothing broken, "
              << (o.stoppedBy.empty() ? "exhausted" : "not exhausted, limit reached: " + o.stoppedBy);
  std::cout << "\n";
  if (trace)
    for (std::size_t i = 0; i < o.trace.size(); ++i) std::cout << std::setw(4) << i + 1 << ". " << o.trace[i] << "\n";
  std::cout.flush();
}

void checkRange(char const* name, int value, int min, int max) {
  if (value < min || value > max)
    throw po::error(std::string(name) + ": must be " + std::to_string(min) + " to " + std::to_string(max));
}

void check(Run const& run, Limits const& limits) {
  checkRange("members", run.bounds.members, 2, 5);
  checkRange("changes", run.bounds.changes, 0, 9);
  checkRange("reads", run.bounds.reads, 0, 9);
  checkRange("elections", run.bounds.elections, 0, 9);
  checkRange("clocks", run.bounds.clocks, 0, 9);
  checkRange("faults", run.bounds.faults, 0, 9);
  checkRange("depth", limits.depth, 1, 1000000);
  if (!(limits.seconds > 0)) throw po::error("seconds: must be above 0");
  if (limits.memoryMb < 64 || limits.memoryMb > 16384) throw po::error("memory: must be 64 to 16384");
}

/// Runs the searches of the table, `jobs` at a time. Returns whether each gave the expected result.
bool runTable(Limits const& limits, unsigned jobs) {
  std::vector<Run> const runs = tableRuns();
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> allAsExpected = true;
  std::mutex printing;
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < jobs; ++t)
    threads.emplace_back([&] {
      for (std::size_t i = next++; i < runs.size(); i = next++) {
        Outcome const o = search(runs[i], limits);
        std::lock_guard<std::mutex> const lock(printing);
        printOutcome(runs[i], o, false);
        if (!asExpected(runs[i], o)) allAsExpected = false;
      }
    });
  for (std::thread& t : threads) t.join();
  return allAsExpected;
}

void list() {
  for (std::string const& model : models()) {
    std::cout << model << ":";
    for (std::string const& m : mechanisms(model)) std::cout << " " << m;
    std::cout << "\n";
  }
}

}  // namespace

int explore(int argc, char** argv) {
  Run run;
  Limits limits;
  bool table = false;
  unsigned jobs = 2;
  po::options_description flags("corkward-explore: exhaustive search over the states of the production reducers");
  flags.add_options()("help", "print this")("model", po::value(&run.model),
                                            "registers, membership, late-orders, removal-hints or hint-forwarding")(
      "without", po::value(&run.without), "mechanism to turn off")(
      "table", po::bool_switch(&table),
      "search every model with all mechanisms on, and again with single mechanisms turned off, one at a time")(
      "list", "list the models and their mechanisms")("members", po::value(&run.bounds.members), "members, 2 to 5")(
      "changes", po::value(&run.bounds.changes), "changes by operators")(
      "reads", po::value(&run.bounds.reads), "reads")("elections", po::value(&run.bounds.elections),
                                                      "elections without a timeout")(
      "clocks", po::value(&run.bounds.clocks), "timer events of single members")(
      "faults", po::value(&run.bounds.faults), "faults per trace")(
      "depth", po::value(&limits.depth), "longest trace, in actions")("seconds", po::value(&limits.seconds),
                                                                      "time limit in seconds")(
      "memory", po::value(&limits.memoryMb), "memory limit, MB")("jobs", po::value(&jobs),
                                                                 "parallel searches of --table");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      std::cout << flags;
      return 0;
    }
    if (vm.count("list") > 0) {
      list();
      return 0;
    }
    check(run, limits);
    checkRange("jobs", static_cast<int>(jobs), 1, 64);
    if (table) return runTable(limits, jobs) ? 0 : 1;
    if (run.model.empty())
      throw po::error(
          "model: missing; must be registers, membership, late-orders, removal-hints or hint-forwarding, or use "
          "--table");
    Outcome const o = search(run, limits);
    printOutcome(run, o, true);
    return asExpected(run, o) ? 0 : 1;
  } catch (po::error const& e) {
    std::cerr << "corkward-explore: " << e.what() << "\n";
  } catch (UnknownName const& e) {
    std::cerr << "corkward-explore: " << e.what() << "\n";
  }
  return 2;
}

}  // namespace corkward::explore

int main(int argc, char** argv) {
  return corkward::explore::explore(argc, argv);
}
