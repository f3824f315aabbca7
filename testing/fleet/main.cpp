#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

#include "fleet.h"
#include "traffic.h"

namespace corkward::testing {

namespace po = boost::program_options;

namespace {

constexpr int settleMs = 5000;

/// What one process has used: processor time in microseconds, memory in bytes.
struct Usage {
  double cpuUs = 0;
  double resident = 0;
  double own = 0;
  double threads = 0;
};

Usage usageOf(Node const& node) {
  std::string const proc = "/proc/" + std::to_string(node.process->processId());
  Usage out;
  std::ifstream stat(proc + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string word;
  for (int i = 3; fields >> word; ++i)
    if (i == 14 || i == 15) out.cpuUs += 1e6 * std::stod(word) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream status(proc + "/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream in(line);
    double value = 0;
    in >> word >> value;
    if (word == "VmRSS:") out.resident = 1024 * value;
    if (word == "RssAnon:") out.own = 1024 * value;
    if (word == "Threads:") out.threads = value;
  }
  return out;
}

/// Prints what the processes of each role use at rest, a mean over them, in the form of corkward-capacity's figures.
void printUsage(Fleet& fleet, int seconds) {
  std::vector<std::pair<std::string, std::vector<Node>*>> const roles{{"router", &fleet.routers()},
                                                                      {"control", &fleet.controllers()}};
  std::map<std::string, double> before;
  for (std::pair<std::string, std::vector<Node>*> const& r : roles)
    for (Node const& n : *r.second) before[n.name] = usageOf(n).cpuUs;
  fleet.runFor(seconds * 1000);
  std::cout << "measure,role,unit,kind,of,size,value\n";
  for (std::pair<std::string, std::vector<Node>*> const& r : roles) {
    Usage sum;
    for (Node const& n : *r.second) {
      Usage const u = usageOf(n);
      sum.cpuUs += u.cpuUs - before[n.name];
      sum.resident += u.resident;
      sum.own += u.own;
      sum.threads += u.threads;
    }
    double const count = static_cast<double>(r.second->size());
    std::string const end = ",nodes," + std::to_string(fleet.routers().size()) + ",";
    std::cout << "real.cpu," << r.first << ",us/s,timed" << end << sum.cpuUs / count / seconds << "\n";
    std::cout << "real.resident," << r.first << ",bytes,heap" << end << sum.resident / count << "\n";
    std::cout << "real.own," << r.first << ",bytes,heap" << end << sum.own / count << "\n";
    std::cout << "real.threads," << r.first << ",threads,counted" << end << sum.threads / count << "\n";
  }
}

}  // namespace

int runFleet(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  std::string name;
  int seconds = 10;
  double scale = 1.0;
  bool hold = false;
  int nodes = 0;
  int usage = 0;
  po::options_description flags("corkward-fleet: a fleet of real processes on loopback");
  flags.add_options()("deployment", po::value(&name)->default_value("harmattan"), "harmattan, lernkarten or small")(
      "seconds", po::value(&seconds)->default_value(10), "how long callers call")(
      "scale", po::value(&scale)->default_value(1.0), "times the deployment's demand")(
      "nodes", po::value(&nodes), "so many routers instead of the deployment's, 1 to 100")(
      "usage", po::value(&usage), "print as CSV what the processes use at rest in so many seconds, 1 to 600, and end")(
      "hold", po::bool_switch(&hold), "keep the fleet running until a line is read from standard input")("help",
                                                                                                         "print this");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
  } catch (po::error const& e) {
    std::cerr << "corkward-fleet: " << e.what() << "\n";
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
    std::cerr << "corkward-fleet: no such deployment: " << name << "\n";
    return 2;
  }
  if (vm.count("nodes") > 0 && (nodes < 1 || nodes > 100)) {
    std::cerr << "corkward-fleet: nodes: must be 1 to 100, not " << nodes << "\n";
    return 2;
  }
  if (vm.count("usage") > 0 && (usage < 1 || usage > 600)) {
    std::cerr << "corkward-fleet: usage: must be 1 to 600, not " << usage << "\n";
    return 2;
  }
  try {
    Deployment sized = *chosen;
    if (nodes > 0) sized.routers = nodes;
    Fleet fleet(sized);
    fleet.startAll();
    fleet.until("a ready controller", [&] {
      for (Node& n : fleet.controllers())
        if (fleet.get(n.http, "/readyz").status != 200) return false;
      return true;
    });
    fleet.giveLists();
    fleet.loadConfigurations();
    fleet.untilReady(fleet.routers().size());
    if (usage > 0) {
      fleet.runFor(settleMs);
      printUsage(fleet, usage);
      return 0;
    }
    std::cout << "fleet " << chosen->name << " is up\n";
    for (Node const& n : fleet.controllers())
      std::cout << "  " << n.name << " " << n.http << " pid " << n.process->processId() << "\n";
    for (Node const& n : fleet.routers())
      std::cout << "  " << n.name << " " << n.http << " pid " << n.process->processId() << "\n";
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
    fleet.until(
        "the last answers", [&] { return traffic.open() == 0; }, 60000);
    std::cout << text(traffic.report());
    return 0;
  } catch (core::Error const& e) {
    std::cerr << "corkward-fleet: " << e.what() << "\n";
    return 1;
  }
}

}  // namespace corkward::testing

int main(int argc, char** argv) {
  return corkward::testing::runFleet(argc, argv);
}
