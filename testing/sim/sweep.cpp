#include <QCoreApplication>
#include <algorithm>
#include <boost/program_options.hpp>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "simulated_cluster.h"

namespace corkward::testing {

namespace po = boost::program_options;

int sweep(int argc, char** argv) {
  std::uint64_t from = 1;
  std::uint64_t count = 100;
  unsigned jobs = 8;
  std::vector<std::string> names;
  bool counts = false;
  int prefixes = 40;
  Milliseconds skip = 0;
  double demand = 0;
  double surge = 1.0;
  int minutes = 0;
  Milliseconds every = 0;
  std::string deployment;
  bool plain = false;
  int routers = 0;
  bool traffic = false;
  bool withRegimes = false;
  bool unbound = false;
  std::string point;
  std::string fencing;
  bool namesLostSeparately = false;
  bool proper = false;
  bool lateOrders = false;
  bool listReader = false;
  Operators operators;
  scaling::ScalerParameters scalerParameters = scaling::defaultScalerParameters;
  po::options_description flags("corkward-sweep: simulated fleets over many seeds");
  flags.add_options()("from", po::value(&from), "first seed")("count", po::value(&count), "seeds")(
      "jobs", po::value(&jobs), "threads")("fault", po::value(&names),
                                           "cause only this fault; repeatable; default: a random set for each seed")(
      "demand", po::value(&demand), "requests per second")(
      "every", po::value(&every), "mean time between faults in ms")("minutes", po::value(&minutes),
                                                                    "minutes with faults (default 1)")(
      "surge", po::value(&surge), "factor on the demand in the middle third of the run")(
      "deployment", po::value(&deployment),
      "use the sizes of the deployment harmattan or lernkarten; no faults unless --fault is given")(
      "plain", po::bool_switch(&plain), "every router uses the complete pool")(
      "width", po::value(&scalerParameters.excessPerReplica), "excess requests per replica that the scaler tolerates")(
      "calm-for", po::value(&scalerParameters.cooldown), "time in ms before the scaler releases a replica")(
      "slack", po::value(&scalerParameters.prefixSlack), "load difference tolerated for prefix affinity")(
      "prefixes", po::value(&prefixes), "number of prompt prefixes besides the most frequent one")(
      "skip", po::value(&skip), "time in ms at the start without measurement of the time to first byte")(
      "first-limit", po::value(&scalerParameters.initialLimit), "initial concurrency limit per replica")(
      "bulk-share", po::value(&scalerParameters.bulkFraction), "fraction of the limit for long requests")(
      "nacelles", po::value(&routers), "number of routers (default 8)")(
      "traffic", po::bool_switch(&traffic),
      "print messages and bytes per second and process, by role of the sender and kind")(
      "counts", po::bool_switch(&counts), "print the counters of each run")(
      "regimes", po::bool_switch(&withRegimes),
      "a tenant under a regime, and certificates that change throughout the run")(
      "unbound", po::bool_switch(&unbound), "with --regimes: the tenant is under no regime")(
      "point", po::value(&point), "controller fault scenario: cuts, resends, second-loss, many-changes or power-cuts")(
      "fence", po::value(&fencing), "on or off, overrides the seed's choice")(
      "orders", po::bool_switch(&operators.enabled), "operators change the fleet configuration")(
      "ack-lost", po::value(&operators.ackLossFraction), "fraction of the operators' acknowledgements that are lost")(
      "race", po::value(&operators.raceFraction),
      "fraction of changes sent together with a second one on the same version")(
      "meet", po::bool_switch(&operators.sendToIsolated),
      "operators send changes to isolated controllers during and right after the partition")(
      "hard", po::bool_switch(&operators.retryImmediately), "operators retry after 20 ms until they get a response")(
      "host-spellings", po::bool_switch(&operators.hostSpellings),
      "configurations and requests spell one host in different ways")(
      "late-orders", po::bool_switch(&lateOrders), "orders on zones that arrive after their operators have left")(
      "list-reader", po::bool_switch(&listReader),
      "a controller reads the endpoint lists and is cut off from the others now and then")(
      "proper", po::bool_switch(&proper), "also report rejections of valid template changes")(
      "burst", po::value(&operators.burstMax), "maximum number of changes in a burst")(
      "loose-names", po::bool_switch(&namesLostSeparately),
      "power loss drops each unsynced file name change independently")("list", "list the faults")("help", "print this");
  po::variables_map vm;
  try {
    po::store(po::parse_command_line(argc, argv, flags), vm);
    po::notify(vm);
  } catch (po::error const& e) {
    std::cerr << "corkward-sweep: " << e.what() << "\n";
    return 2;
  }
  if (vm.count("help") > 0) {
    std::cout << flags;
    return 0;
  }
  if (vm.count("list") > 0) {
    for (FaultName const& f : faultTable) std::cout << f.name << "\n";
    return 0;
  }
  if (!deployment.empty() && deployment != "harmattan" && deployment != "lernkarten") {
    std::cerr << "corkward-sweep: no such deployment: " << deployment << "\n";
    return 2;
  }
  ScenarioName const* scenario = nullptr;
  for (ScenarioName const& entry : scenarioTable)
    if (point == entry.name) scenario = &entry;
  if (!point.empty() && scenario == nullptr) {
    std::cerr << "corkward-sweep: no such scenario: " << point << "\n";
    return 2;
  }
  if (!fencing.empty() && fencing != "on" && fencing != "off") {
    std::cerr << "corkward-sweep: --fence: must be on or off\n";
    return 2;
  }
  std::vector<Fault> faults;
  for (std::string const& n : names) {
    bool found = false;
    for (FaultName const& f : faultTable)
      if (n == f.name) {
        faults.push_back(f.fault);
        found = true;
      }
    if (!found) {
      std::cerr << "corkward-sweep: no such fault: " << n << "\n";
      return 2;
    }
  }
  std::atomic<std::uint64_t> next{from};
  std::atomic<std::uint64_t> bad{0};
  std::mutex out;
  std::vector<std::thread> threads;
  for (unsigned j = 0; j < jobs; ++j)
    threads.emplace_back([&] {
      for (;;) {
        std::uint64_t const seed = next++;
        if (seed >= from + count) return;
        Plan plan = faults.empty() ? chaos(seed) : only(seed, faults);
        if (!deployment.empty()) {
          plan = only(seed, faults);
          plan.demand = 125;
          if (deployment == "lernkarten") {
            plan.controllers = 4;
            plan.others = 4;
            plan.zones = 4;
            plan.demand = 140;
          }
        }
        if (withRegimes && faults.empty() && deployment.empty()) plan = regimes(seed);
        if (scenario != nullptr) {
          plan = controlPlan(seed, scenario->point);
          if (!faults.empty()) plan.faults = faults;
        }
        if (operators.enabled) plan.operators = operators;
        if (operators.hostSpellings) plan.operators.hostSpellings = true;
        if (operators.burstMax != Operators{}.burstMax) plan.operators.burstMax = operators.burstMax;
        plan.operators.rejectionsChecked = proper;
        plan.lateOrders = plan.lateOrders || lateOrders;
        plan.listReader = plan.listReader || listReader;
        if (!fencing.empty()) plan.fenced = fencing == "on";
        plan.namesLostSeparately = plan.namesLostSeparately || namesLostSeparately;
        plan.regimes = withRegimes;
        plan.bound = !unbound;
        if (routers > 0) plan.routers = routers;
        plan.traffic = traffic;
        if (demand > 0) plan.demand = demand;
        plan.surge = surge;
        plan.prefixes = prefixes;
        plan.skip = skip;
        if (every > 0) plan.faultInterval = every;
        if (minutes > 0) plan.length = minutes * 60000;
        plan.plain = plain;
        plan.scalerParameters = scalerParameters;
        std::vector<std::string> violations;
        Result result;
        try {
          result = SimulatedCluster(plan).run();
          violations = result.violations;
        } catch (std::exception const& e) {
          violations.push_back(std::string("thrown: ") + e.what());
        }
        std::lock_guard<std::mutex> const hold(out);
        if (!violations.empty()) {
          ++bad;
          std::cout << "seed " << seed << ":";
          for (FaultName const& f : faultTable)
            if (std::find(plan.faults.begin(), plan.faults.end(), f.fault) != plan.faults.end())
              std::cout << " " << f.name;
          std::cout << "\n";
          for (std::string const& v : violations) std::cout << "  " << v << "\n";
          std::cout << "  faults:";
          for (std::string const& t : result.timeline) std::cout << " " << t << ";";
          std::cout << "\n";
        }
        auto const seconds = static_cast<double>(plan.length - 10000) / 1000.0;
        for (auto const& [messageType, volume] : result.traffic) {
          double const each = seconds * (messageType.first == transport::routerRole ? plan.routers : plan.controllers);
          std::cout << "seed " << seed << " traffic " << messageType.first << " " << messageType.second
                    << " messages=" << static_cast<double>(volume.first) / each
                    << " bytes=" << static_cast<double>(volume.second) / each << "\n";
        }
        if (counts) {
          std::cout << "seed " << seed;
          for (auto const& [counter, value] : result.counts) std::cout << " " << counter << "=" << value;
          for (auto const& [requestClass, times] : result.firstTokenTimes) {
            std::vector<Milliseconds> t = times;
            std::sort(t.begin(), t.end());
            std::cout << " " << requestClass << "-median=" << t[t.size() / 2] << " " << requestClass
                      << "-99=" << t[t.size() * 99 / 100];
          }
          for (auto const& [requestClass, times] : result.servedTokenTimes) {
            std::vector<Milliseconds> t = times;
            std::sort(t.begin(), t.end());
            std::cout << " " << requestClass << "-served-median=" << t[t.size() / 2] << " " << requestClass
                      << "-served-99=" << t[t.size() * 99 / 100];
          }
          if (result.subsetSamples > 0)
            std::cout << " part-mean=" << result.subsetSum / static_cast<double>(result.subsetSamples);
          std::vector<Milliseconds> a = result.ackTimes;
          std::sort(a.begin(), a.end());
          if (!a.empty()) std::cout << " ack-median=" << a[a.size() / 2] << " ack-most=" << a.back();
          std::cout << "\n";
        }
      }
    });
  for (std::thread& t : threads) t.join();
  std::cout << count << " seeds, " << bad << " with violations\n";
  return bad == 0 ? 0 : 1;
}

}  // namespace corkward::testing

int main(int argc, char** argv) {
  return corkward::testing::sweep(argc, argv);
}
