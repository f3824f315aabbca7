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
  bool looseNames = false;
  bool proper = false;
  Operators operators;
  scaling::ScalerParameters figures = scaling::defaultScalerParameters;
  po::options_description flags("corkward-sweep: simulated fleets over many seeds");
  flags.add_options()("from", po::value(&from), "first seed")("count", po::value(&count), "seeds")(
      "jobs", po::value(&jobs), "threads")(
      "fault", po::value(&names), "cause this failure alone; may be repeated; without it, a random set for each seed")(
      "demand", po::value(&demand), "requests a second")("every", po::value(&every), "mean ms between failures")(
      "minutes", po::value(&minutes), "minutes of failures instead of one")("surge", po::value(&surge),
                                                                            "times the demand in the middle third")(
      "deployment", po::value(&deployment), "calm, at the sizes of harmattan or lernkarten")(
      "plain", po::bool_switch(&plain), "whole pool, fewest in flight")(
      "width", po::value(&figures.excessPerReplica), "each width")("calm-for", po::value(&figures.cooldown),
                                                                   "give-back wait, ms")(
      "slack", po::value(&figures.prefixSlack), "prefix slack")("prefixes", po::value(&prefixes), "other prefixes")(
      "skip", po::value(&skip), "ms at the start whose first words do not count")(
      "first-limit", po::value(&figures.initialLimit), "limit per replica at the start")(
      "bulk-share", po::value(&figures.bulkFraction), "share of the cap for long requests")(
      "nacelles", po::value(&routers), "how many instead of eight")(
      "traffic", po::bool_switch(&traffic), "print messages and bytes a second and node, by sender and kind")(
      "counts", po::bool_switch(&counts), "print what each run counted")(
      "regimes", po::bool_switch(&withRegimes), "a tenant of a regime, and certificates that change all the time")(
      "unbound", po::bool_switch(&unbound), "the same, but the tenant is of no regime")(
      "point", po::value(&point),
      "one of control's worst days: cuts, resends, second-loss, many-changes or power-cuts")(
      "fence", po::value(&fencing), "on or off, whatever the seed says")("orders", po::bool_switch(&operators.any),
                                                                         "operators of the whole configuration")(
      "ack-lost", po::value(&operators.ackLost), "share of their acknowledgements that are lost")(
      "race", po::value(&operators.race), "share of their orders that are two on one version")(
      "meet", po::bool_switch(&operators.meet), "they send to machines that are cut off and as they return")(
      "hard", po::bool_switch(&operators.hard), "they send again at once until they are answered")(
      "proper", po::bool_switch(&proper), "judge refusals of proper changes of templates, too")(
      "burst", po::value(&operators.burstMost), "most orders of a burst of changes")(
      "loose-names", po::bool_switch(&looseNames), "names of files are lost each by itself")(
      "list", "list the failures")("help", "print this");
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
  PointName const* worst = nullptr;
  for (PointName const& entry : pointTable)
    if (point == entry.name) worst = &entry;
  if (!point.empty() && worst == nullptr) {
    std::cerr << "corkward-sweep: no such point: " << point << "\n";
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
      std::cerr << "corkward-sweep: no such failure: " << n << "\n";
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
        if (worst != nullptr) {
          plan = worstDay(seed, worst->point);
          if (!faults.empty()) plan.faults = faults;
        }
        if (operators.any) plan.operators = operators;
        if (operators.burstMost != Operators{}.burstMost) plan.operators.burstMost = operators.burstMost;
        plan.operators.proper = proper;
        if (!fencing.empty()) plan.fenced = fencing == "on";
        plan.looseNames = plan.looseNames || looseNames;
        plan.regimes = withRegimes;
        plan.bound = !unbound;
        if (routers > 0) plan.routers = routers;
        plan.traffic = traffic;
        if (demand > 0) plan.demand = demand;
        plan.surge = surge;
        plan.prefixes = prefixes;
        plan.skip = skip;
        if (every > 0) plan.every = every;
        if (minutes > 0) plan.length = minutes * 60000;
        plan.plain = plain;
        plan.figures = figures;
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
          std::cout << "  caused:";
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
          if (result.partSamples > 0)
            std::cout << " part-mean=" << result.partSum / static_cast<double>(result.partSamples);
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
