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

constexpr int warmUpMs = 5000;

/// Resources that one process uses: processor time in microseconds, memory in bytes.
struct Usage {
  double cpuUs = 0;
  double resident = 0;
  double anonymous = 0;
  double threads = 0;
};

Usage usageOf(Node const& node) {
  std::string const proc = "/proc/" + std::to_string(node.process->processId());
  Usage out;
  std::ifstream stat(proc + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string field;
  for (int i = 3; fields >> field; ++i)
    if (i == 14 || i == 15) out.cpuUs += 1e6 * std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream status(proc + "/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream in(line);
    double value = 0;
    in >> field >> value;
    if (field == "VmRSS:") out.resident = 1024 * value;
    if (field == "RssAnon:") out.anonymous = 1024 * value;
    if (field == "Threads:") out.threads = value;
  }
  return out;
}

/// Prints the mean resource usage of the processes of each role without requests, as CSV like corkward-capacity.
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
      sum.anonymous += u.anonymous;
      sum.threads += u.threads;
    }
    auto const count = static_cast<double>(r.second->size());
    std::string const end = ",nodes," + std::to_string(fleet.routers().size()) + ",";
    std::cout << "real.cpu," << r.first << ",us/s,timed" << end << sum.cpuUs / count / seconds << "\n";
    std::cout << "real.resident," << r.first << ",bytes,heap" << end << sum.resident / count << "\n";
    std::cout << "real.own," << r.first << ",bytes,heap" << end << sum.anonymous / count << "\n";
    std::cout << "real.threads," << r.first << ",threads,counted" << end << sum.threads / count << "\n";
  }
}

/// Thrown for an invalid command line. The text has the option and the reason.
class UsageError : public core::Error {
 public:
  using core::Error::Error;
};

struct Options {
  std::string deployment;
  int seconds = 10;
  double scale = 1.0;
  bool hold = false;
  /// Number of routers. If it is 0, the deployment's number is used.
  int nodes = 0;
  /// Seconds over which resource usage without requests is measured. If it is 0, nothing is measured.
  int usage = 0;
};

po::options_description describe(Options& options) {
  po::options_description flags("corkward-fleet: a fleet of real processes on loopback");
  auto add = flags.add_options();
  add("deployment", po::value(&options.deployment)->default_value("harmattan"), "harmattan, lernkarten or small");
  add("seconds", po::value(&options.seconds)->default_value(10), "duration of the traffic in seconds");
  add("scale", po::value(&options.scale)->default_value(1.0), "factor on the deployment's demand");
  add("nodes", po::value(&options.nodes), "number of routers instead of the deployment's, 1 to 100");
  add("usage", po::value(&options.usage),
      "measure resource usage without requests for this many seconds, 1 to 600, print it as CSV and exit");
  add("hold", po::bool_switch(&options.hold), "keep the fleet running until a line is read from standard input");
  add("help", "print this");
  return flags;
}

Deployment const* findDeployment(std::string const& name) {
  for (Deployment const& deployment : deployments)
    if (name == deployment.name) return &deployment;
  return nullptr;
}

void checkRange(po::variables_map const& vm, std::string const& name, int value, int max) {
  if (vm.count(name) > 0 && (value < 1 || value > max))
    throw UsageError(name + ": must be 1 to " + std::to_string(max) + ", not " + std::to_string(value));
}

/// Checks the values of the options. Throws UsageError.
void check(Options const& options, po::variables_map const& vm) {
  if (findDeployment(options.deployment) == nullptr) throw UsageError("no such deployment: " + options.deployment);
  checkRange(vm, "nodes", options.nodes, 100);
  checkRange(vm, "usage", options.usage, 600);
}

Deployment sizedDeployment(Options const& options) {
  Deployment sized = *findDeployment(options.deployment);
  if (options.nodes > 0) sized.routers = options.nodes;
  return sized;
}

/// Starts every process, loads the configuration and waits until the routers are ready.
void startFleet(Fleet& fleet) {
  fleet.startAll();
  fleet.until("a ready controller", [&] {
    for (Node& node : fleet.controllers())
      if (fleet.get(node.http, "/readyz").status != 200) return false;
    return true;
  });
  fleet.publishEndpointLists();
  fleet.loadConfigurations();
  fleet.untilReady(fleet.routers().size());
}

void printAddresses(Fleet& fleet) {
  std::cout << "fleet " << fleet.deployment().name << " is up\n";
  for (std::vector<Node>* const group : {&fleet.controllers(), &fleet.routers()})
    for (Node const& node : *group)
      std::cout << "  " << node.name << " " << node.http << " pid " << node.process->processId() << "\n";
  std::cout << std::flush;
}

void waitForLine() {
  std::cout << "press return to end\n" << std::flush;
  std::string line;
  std::getline(std::cin, line);
}

void runTraffic(Fleet& fleet, Options const& options) {
  Traffic traffic(fleet, 1, options.scale);
  traffic.startCalling();
  fleet.runFor(options.seconds * 1000);
  traffic.stopCalling();
  fleet.until(
      "the last responses", [&] { return traffic.open() == 0; }, 60000);
  std::cout << text(traffic.report());
}

/// Runs the action that the options choose on the running fleet: measures usage, waits, or sends traffic.
void runOn(Fleet& fleet, Options const& options) {
  if (options.usage > 0) {
    fleet.runFor(warmUpMs);
    printUsage(fleet, options.usage);
    return;
  }
  printAddresses(fleet);
  if (options.hold)
    waitForLine();
  else
    runTraffic(fleet, options);
}

}  // namespace

int runFleet(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  Options options;
  po::options_description flags = describe(options);
  try {
    po::variables_map vm;
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      std::cout << flags;
      return 0;
    }
    check(options, vm);
    Fleet fleet(sizedDeployment(options));
    startFleet(fleet);
    runOn(fleet, options);
    return 0;
  } catch (po::error const& e) {
    std::cerr << "corkward-fleet: " << e.what() << "\n";
    return 2;
  } catch (UsageError const& e) {
    std::cerr << "corkward-fleet: " << e.what() << "\n";
    return 2;
  } catch (core::Error const& e) {
    std::cerr << "corkward-fleet: " << e.what() << "\n";
    return 1;
  }
}

}  // namespace corkward::testing

int main(int argc, char** argv) {
  return corkward::testing::runFleet(argc, argv);
}
