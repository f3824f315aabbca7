#include "command_line.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>

#include "experiments.h"

namespace corkward::testing::capacity {

namespace po = boost::program_options;

namespace {

/// Options of the command line.
struct CommandOptions {
  std::string experiment;
  std::string sweep;
  std::string file;
  std::map<std::string, std::int64_t> sizes;
};

po::options_description describe(CommandOptions& options) {
  po::options_description flags(
      "corkward-capacity: costs of the production reducers and codecs by fleet size, with many processes simulated in "
      "one, in virtual time");
  po::options_description_easy_init add = flags.add_options();
  add("part", po::value(&options.experiment), "experiment to run (see below)");
  add("sweep", po::value(&options.sweep), "NAME=VALUE,VALUE,...: run the experiment at each of these sizes");
  add("out", po::value(&options.file), "file for the CSV instead of standard output");
  add("help", "print this");
  Sizes const defaults;
  for (SizeOption const& size : sizeTable)
    add(size.name, po::value(&options.sizes[size.name])->default_value(defaults.*(size.field)), size.description);
  return flags;
}

void printHelp(std::ostream& out, po::options_description const& flags) {
  out << flags << "\nparts:\n";
  for (Experiment const& experiment : experiments)
    out << "  " << std::left << std::setw(10) << experiment.name << experiment.description << "\n";
}

/// Returns the experiment with this name. Throws SizesError if the name is missing or unknown.
Experiment const& chosenExperiment(std::string const& name) {
  Experiment const* const found = findExperiment(name);
  if (found == nullptr) throw SizesError(name.empty() ? "part: missing" : "part: no such part: " + name);
  return *found;
}

Sizes atSize(Sizes sizes, std::string const& name, std::int64_t value) {
  setSize(sizes, name, value);
  return sizes;
}

/// Prints the command line without the name of the output file.
void printCommandLine(std::ostream& out, int argc, char const* const* argv) {
  out << "# corkward-capacity";
  for (int i = 1; i < argc; ++i) {
    std::string const argument = argv[i];
    if (argument == "--out" && i + 1 < argc)
      ++i;
    else if (argument.rfind("--out=", 0) != 0)
      out << " " << argument;
  }
}

void printMeasurements(std::ostream& out, Experiment const& experiment, Sizes const& sizes, Sweep const& sweep) {
  out << "\nmeasure,role,unit,kind,of,size,value\n" << std::setprecision(8);
  for (std::int64_t const value : sweep.values) {
    for (Measurement const& row : experiment.run(atSize(sizes, sweep.name, value)))
      out << row.measure << "," << row.role << "," << row.unit << "," << row.kind << "," << sweep.name << "," << value
          << "," << row.value << "\n";
    out.flush();
  }
  if (!out) throw SizesError("out: cannot be written");
}

/// Checks the options and runs the experiment at every size; throws SizesError.
void runExperiment(CommandOptions const& options, int argc, char const* const* argv, std::ostream& out) {
  Experiment const& experiment = chosenExperiment(options.experiment);
  Sizes sizes;
  for (auto const& [name, value] : options.sizes) setSize(sizes, name, value);
  Sweep sweep{"nodes", {sizes.nodes}};
  if (!options.sweep.empty()) sweep = readSweep(options.sweep);
  for (std::int64_t const value : sweep.values) checkSizes(atSize(sizes, sweep.name, value));
  std::ofstream file;
  if (!options.file.empty()) {
    file.open(options.file);
    if (!file) throw SizesError("out: cannot be written: " + options.file);
  }
  std::ostream& target = options.file.empty() ? out : file;
  printCommandLine(target, argc, argv);
  printMeasurements(target, experiment, sizes, sweep);
}

}  // namespace

int runCommand(int argc, char const* const* argv, std::ostream& out, std::ostream& errors) {
  CommandOptions options;
  po::options_description const flags = describe(options);
  try {
    po::variables_map vm;
    po::store(po::command_line_parser(argc, argv).options(flags).positional(po::positional_options_description()).run(),
              vm);
    po::notify(vm);
    if (vm.count("help") > 0)
      printHelp(out, flags);
    else
      runExperiment(options, argc, argv, out);
  } catch (po::error const& e) {
    errors << "corkward-capacity: " << e.what() << "\n";
    return 2;
  } catch (SizesError const& e) {
    errors << "corkward-capacity: " << e.what() << "\n";
    return 2;
  }
  return 0;
}

}  // namespace corkward::testing::capacity
