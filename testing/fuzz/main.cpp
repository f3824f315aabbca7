/// corkward-fuzz: misbehaving callers and replicas around a real router daemon, by seed and from a corpus.

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>
#include <limits>

#include <corkward/core/json.h>
#include <corkward/core/log.h>

#include "process.h"
#include "runner.h"

namespace corkward::fuzz {

namespace {

namespace po = boost::program_options;

constexpr std::size_t shownFindings = 60;

void print(Report const& report) {
  std::cout << report.scenarios << " scenes, " << report.requests << " requests (" << report.served << " served, "
            << report.cut << " cut), " << report.dispatches << " reached a replica\n";
  for (auto const& [fault, count] : report.faults) std::cout << "  " << fault << " " << count << "\n";
  std::cout << report.findings.size() << " violations\n";
  std::size_t shown = 0;
  for (Finding const& f : report.findings) {
    if (++shown > shownFindings) break;
    std::cout << "scene " << f.scenario << ": " << f.violation.oracle << ": " << f.violation.what << "\n";
  }
}

int run(int argc, char** argv) {
  std::uint64_t from = 1;
  std::uint64_t count = 0;
  double seconds = 0;
  std::size_t atOnce = 12;
  std::string folder;
  std::string without;
  po::options_description flags("corkward-fuzz");
  flags.add_options()("help", "print this and exit")("from", po::value(&from)->default_value(from), "first seed")(
      "count", po::value(&count)->default_value(count), "seeds; 0: as many as the seconds allow")(
      "seconds", po::value(&seconds)->default_value(seconds), "begin no scene after; 0: no limit")(
      "at-once", po::value(&atOnce)->default_value(atOnce), "scenes that are played at once")(
      "corpus", po::value(&folder), "folder of scenes that are played first")(
      "without", po::value(&without), "a fault put in on purpose; see --mutations")(
      "mutations", "print the faults that can be put in, and the oracle that must find each")(
      "print", po::value<std::uint64_t>(), "print a seed's scene in the form of the corpus and exit");
  po::variables_map vm;
  po::store(po::parse_command_line(argc, argv, flags), vm);
  po::notify(vm);
  if (vm.count("help") > 0) {
    std::cout << flags << "\n";
    return 0;
  }
  if (vm.count("mutations") > 0) {
    for (Mutation const& m : mutations()) std::cout << m.name << " " << m.oracle << "\n";
    return 0;
  }
  if (vm.count("print") > 0) {
    std::cout << core::jsonText(jsonOf(planOf(vm["print"].as<std::uint64_t>()))) << "\n";
    return 0;
  }
  std::optional<Mutation> const mutation = mutationOf(without);
  if (!without.empty() && !mutation) throw PlanError("without: no such fault: " + without);
  if (count == 0 && seconds == 0 && folder.empty()) throw PlanError("count: must be given, or seconds, or corpus");
  std::uint64_t const most = count == 0 && seconds > 0 ? std::numeric_limits<std::uint64_t>::max() : count;
  std::vector<Plan> files = folder.empty() ? std::vector<Plan>() : corpus(folder);
  auto const bySeed = seeds(from, most, seconds);
  std::size_t given = 0;
  Runner runner(
      [&]() -> std::optional<Plan> {
        if (given < files.size()) return files[given++];
        return bySeed();
      },
      mutation, atOnce);
  Report const report = runner.run();
  print(report);
  return report.findings.empty() ? 0 : 1;
}

}  // namespace

}  // namespace corkward::fuzz

int main(int argc, char** argv) {
  corkward::programs::selectQtEventLoop();
  QCoreApplication app(argc, argv);
  try {
    corkward::core::startLog("fuzz", "", corkward::core::LogLevel::error);
    return corkward::fuzz::run(argc, argv);
  } catch (boost::program_options::error const& e) {
    std::cerr << "corkward-fuzz: " << e.what() << "\n";
  } catch (corkward::core::Error const& e) {
    std::cerr << "corkward-fuzz: " << e.what() << "\n";
  }
  return 2;
}
