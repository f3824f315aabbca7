/// corkward-fuzz: runs a real router daemon with misbehaving callers and replicas, by seed and from a corpus.

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

constexpr std::size_t maxPrintedFindings = 60;

void print(Report const& report) {
  std::cout << report.scenarios << " scenarios, " << report.requests << " requests (" << report.served << " served, "
            << report.cut << " cut), " << report.dispatches << " reached a replica\n";
  for (auto const& [fault, count] : report.faults) std::cout << "  " << fault << " " << count << "\n";
  std::cout << report.findings.size() << " violations\n";
  std::size_t printed = 0;
  for (Finding const& f : report.findings) {
    if (++printed > maxPrintedFindings) break;
    std::cout << "scenario " << f.scenario << ": " << f.violation.oracle << ": " << f.violation.what << "\n";
  }
}

int run(int argc, char** argv) {
  std::uint64_t from = 1;
  std::uint64_t count = 0;
  double seconds = 0;
  std::size_t maxConcurrent = 12;
  std::string directory;
  std::string without;
  po::options_description flags("corkward-fuzz");
  flags.add_options()("help", "print this and exit")("from", po::value(&from)->default_value(from), "first seed")(
      "count", po::value(&count)->default_value(count), "number of seeds; 0: as many as --seconds allows")(
      "seconds", po::value(&seconds)->default_value(seconds), "start no scenario after this time; 0: no limit")(
      "at-once", po::value(&maxConcurrent)->default_value(maxConcurrent), "scenarios that run at the same time")(
      "corpus", po::value(&directory), "directory of scenarios that run first")("without", po::value(&without),
                                                                                "defect to inject; see --mutations")(
      "mutations", "print the defects that can be injected, and the oracle that must report each")(
      "print", po::value<std::uint64_t>(), "print a seed's scenario in the format of the corpus and exit");
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
  if (!without.empty() && !mutation) throw PlanError("without: no such mutation: " + without);
  if (count == 0 && seconds == 0 && directory.empty())
    throw PlanError("count: missing; give --count, --seconds or --corpus");
  std::uint64_t const most = count == 0 && seconds > 0 ? std::numeric_limits<std::uint64_t>::max() : count;
  std::vector<Plan> files = directory.empty() ? std::vector<Plan>() : corpus(directory);
  auto const bySeed = seeds(from, most, seconds);
  std::size_t given = 0;
  Runner runner(
      [&]() -> std::optional<Plan> {
        if (given < files.size()) return files[given++];
        return bySeed();
      },
      mutation, maxConcurrent);
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
