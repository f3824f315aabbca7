#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>

#include "chaos.h"

namespace corkward::testing {

namespace po = boost::program_options;

int runChaos(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  ChaosPlan plan;
  std::uint64_t count = 1;
  po::options_description flags("corkward-chaos: runs a deployment of real processes with faults drawn from a seed");
  flags.add_options()("deployment", po::value(&plan.deployment), "harmattan, lernkarten or small")(
      "from", po::value(&plan.seed), "first seed")("count", po::value(&count), "seeds")(
      "events", po::value(&plan.events), "faults per run")("overlap", po::value(&plan.overlap),
                                                           "maximum number of faults that start together")(
      "scale", po::value(&plan.scale), "factor on the deployment's demand")("help", "print this");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
  } catch (po::error const& e) {
    std::cerr << "corkward-chaos: " << e.what() << "\n";
    return 2;
  }
  if (vm.count("help") > 0) {
    std::cout << flags;
    return 0;
  }
  std::uint64_t bad = 0;
  plan.printFaults = true;
  for (std::uint64_t i = 0; i < count; ++i, ++plan.seed) {
    try {
      ChaosResult const r = chaos(plan);
      std::cout << plan.deployment << " seed " << plan.seed << ": faulty connections " << r.faultyConnections
                << ", changes " << r.changes << ", repeats " << r.repeats << ", recovered after " << r.recoveryMs
                << " ms;";
      for (auto const& [outcome, requests] : r.report.outcomes) std::cout << " " << outcome << " " << requests;
      std::cout << std::endl;
      if (!r.violations.empty()) {
        ++bad;
        for (std::string const& v : r.violations) std::cout << "  " << v << "\n";
        std::cout << "  faults:";
        for (std::string const& t : r.timeline) std::cout << " " << t << ";";
        std::cout << std::endl;
      }
    } catch (core::Error const& e) {
      ++bad;
      std::cout << plan.deployment << " seed " << plan.seed << ": " << e.what() << std::endl;
    }
  }
  std::cout << count << " seeds, " << bad << " with violations\n";
  return bad == 0 ? 0 : 1;
}

}  // namespace corkward::testing

int main(int argc, char** argv) {
  return corkward::testing::runChaos(argc, argv);
}
