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
  po::options_description flags("corkward-chaos: a deployment of real processes under seeded failures");
  flags.add_options()("deployment", po::value(&plan.deployment), "harmattan, lernkarten or small")(
      "from", po::value(&plan.seed), "first seed")("count", po::value(&count), "seeds")(
      "events", po::value(&plan.events), "failures in a run")("overlap", po::value(&plan.overlap),
                                                              "failures begun at one moment, at the most")(
      "scale", po::value(&plan.scale), "times the deployment's demand")("help", "print this");
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
  plan.loud = true;
  for (std::uint64_t i = 0; i < count; ++i, ++plan.seed) {
    try {
      ChaosResult const r = chaos(plan);
      std::cout << plan.deployment << " seed " << plan.seed << ": harmed " << r.harmed << ", changes " << r.changes
                << ", repeats " << r.repeats << ", back after " << r.back << " ms;";
      for (auto const& [outcome, requests] : r.report.outcomes) std::cout << " " << outcome << " " << requests;
      std::cout << std::endl;
      if (!r.violations.empty()) {
        ++bad;
        for (std::string const& v : r.violations) std::cout << "  " << v << "\n";
        std::cout << "  caused:";
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
