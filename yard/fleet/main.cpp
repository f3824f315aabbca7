#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>

#include "fleet.h"
#include "traffic.h"

namespace corkward::yard {

namespace po = boost::program_options;

int runFleet(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  std::string name;
  int seconds = 10;
  double scale = 1.0;
  bool hold = false;
  po::options_description flags("yard-fleet: a fleet of real processes on loopback");
  flags.add_options()("deployment", po::value(&name)->default_value("harmattan"), "harmattan, lernkarten or small")(
      "seconds", po::value(&seconds)->default_value(10), "how long callers call")("scale", po::value(&scale)->default_value(1.0), "times the deployment's demand")(
      "hold", po::bool_switch(&hold), "keep the fleet running until a line is read from standard input")("help", "print this");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
  } catch (po::error const& e) {
    std::cerr << "yard-fleet: " << e.what() << "\n";
    return 2;
  }
  if (vm.count("help") > 0) {
    std::cout << flags;
    return 0;
  }
  Deployment const* chosen = nullptr;
  for (Deployment const& d : deployments)
    if (name == d.name) chosen = &d;
  if (chosen == nullptr) {
    std::cerr << "yard-fleet: no such deployment: " << name << "\n";
    return 2;
  }
  try {
    Fleet fleet(*chosen);
    fleet.startAll();
    fleet.until("a ready substation", [&] {
      for (Node& n : fleet.substations())
        if (fleet.get(n.http, "/readyz").status != 200) return false;
      return true;
    });
    fleet.giveLists();
    fleet.loadBlueprints();
    fleet.untilReady(fleet.nacelles().size());
    std::cout << "fleet " << chosen->name << " is up\n";
    for (Node const& n : fleet.substations()) std::cout << "  " << n.name << " " << n.http << " pid " << n.process->processId() << "\n";
    for (Node const& n : fleet.nacelles()) std::cout << "  " << n.name << " " << n.http << " pid " << n.process->processId() << "\n";
    std::cout << std::flush;
    if (hold) {
      std::cout << "press return to end\n" << std::flush;
      std::string line;
      std::getline(std::cin, line);
      return 0;
    }
    Traffic traffic(fleet, 1, scale);
    traffic.startCalling();
    fleet.runFor(seconds * 1000);
    traffic.stopCalling();
    fleet.until("the last answers", [&] { return traffic.open() == 0; }, 60000);
    std::cout << text(traffic.report());
    return 0;
  } catch (core::Error const& e) {
    std::cerr << "yard-fleet: " << e.what() << "\n";
    return 1;
  }
}

}  // namespace corkward::yard

int main(int argc, char** argv) { return corkward::yard::runFleet(argc, argv); }
