#include <corkward/core/error.h>

#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>

#include "run.h"

namespace corkward::explore {

namespace {

namespace po = boost::program_options;

void printOutcome(Run const& run, Outcome const& o, bool trace) {
  std::cout << std::left << std::setw(11) << run.model << std::setw(20) << (run.without.empty() ? "-" : run.without)
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

}  // namespace

int explore(int argc, char** argv) {
  Run run;
  Limits limits;
  bool table = false;
  po::options_description flags("corkward-explore: search over the states of the real reducers");
  flags.add_options()("help", "print this")("model", po::value(&run.model), "registers or membership")(
      "without", po::value(&run.without), "turn one mechanism off")("table", po::bool_switch(&table),
                                                                    "every model with nothing off and with each of "
                                                                    "its mechanisms off")(
      "list", "list the models and their mechanisms")("members", po::value(&run.bounds.members), "members, 2 to 5")(
      "changes", po::value(&run.bounds.changes), "changes by callers")("reads", po::value(&run.bounds.reads), "reads")(
      "campaigns", po::value(&run.bounds.campaigns), "elections by chance")("clocks", po::value(&run.bounds.clocks),
                                                                            "clock events of single members")(
      "faults", po::value(&run.bounds.faults), "faults in a trace")("depth", po::value(&limits.depth), "longest trace")(
      "seconds", po::value(&limits.seconds), "time limit")("memory", po::value(&limits.memoryMb), "memory limit, MB");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      std::cout << flags;
      return 0;
    }
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
