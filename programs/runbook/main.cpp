/// corkward-runbook: executes one runbook, or watches alert rules and executes the runbooks of firing alerts.

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "alert_watcher.h"
#include "former_names.h"
#include "operator_client.h"
#include "runbook_executor.h"
#include "signals.h"

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

constexpr char const* defaultController = "127.0.0.1:9100";
constexpr int maxIntervalSeconds = 600;
/// The watch sleeps in short slices, so that it ends soon after a termination signal.
constexpr int sliceMs = 250;
constexpr int slicesPerSecond = 1000 / sliceMs;
/// Number of slices between two renewals of the singleton role.
constexpr int slicesPerRenewal = 12;

enum class ExitCode : int { ok = 0, stepFailed = 1, invalidUsage = 2 };

/// The values of the command line.
struct Options {
  std::vector<std::string> controllers;
  /// Values of the runbook's parameters, each as name=value.
  std::vector<std::string> parameters;
  std::vector<std::string> targets;
  /// Files of runbooks. Exactly one is needed without --rules, and none is allowed with it.
  std::vector<std::string> runbooks;
  std::string accountFile;
  std::string rulesFile;
  int intervalSeconds = 5;
  /// Number of evaluations after which the watch ends; 0 if there is no limit.
  int maxEvaluations = 0;
  /// Number of executed runbooks after which the watch ends; 0 if there is no limit.
  int maxExecutions = 0;
  bool check = false;
  bool dryRun = false;
  bool assumeYes = false;
};

std::map<std::string, std::string> parseParameters(std::vector<std::string> const& texts) {
  std::map<std::string, std::string> out;
  for (std::string const& text : texts) {
    std::size_t const equals = text.find('=');
    if (equals == std::string::npos || equals == 0) throw UsageError("set: must be name=value, but is " + text);
    out[text.substr(0, equals)] = text.substr(equals + 1);
  }
  return out;
}

po::options_description visibleOptions(Options& options) {
  po::options_description out("Flags");
  out.add_options()(former_names::controllerOption.current, po::value(&options.controllers),
                    "address of a controller, ip:port (default 127.0.0.1:9100); repeat the flag for each controller")(
      "set", po::value(&options.parameters), "name=value for a parameter of the runbook")(
      "check", po::bool_switch(&options.check), "check the runbook or the rules and exit")(
      "dry-run", po::bool_switch(&options.dryRun), "print what each step would do; changes are only checked")(
      "yes", po::bool_switch(&options.assumeYes), "answer yes to every confirm step")(
      "account", po::value(&options.accountFile), "file to which the account of the run is appended")(
      "rules", po::value(&options.rulesFile),
      "watch the alert rules of this file; their runbooks are files in the same directory")(
      "target", po::value(&options.targets),
      "address of a process whose metrics are watched, ip:port or zone=ip:port; repeat the flag for each")(
      "every", po::value(&options.intervalSeconds)->default_value(options.intervalSeconds),
      "seconds between two evaluations, 1 to 600")(
      "rounds", po::value(&options.maxEvaluations)->default_value(options.maxEvaluations),
      "number of evaluations after which the watch ends; 0 for no limit")(
      "acts", po::value(&options.maxExecutions)->default_value(options.maxExecutions),
      "number of executed runbooks after which the watch ends; 0 for no limit")("help", "print this and exit")(
      "version", "print the version and exit");
  return out;
}

void printHelp(po::options_description const& options) {
  auto const& [former, current] = former_names::controllerOption;
  std::cout
      << "corkward-runbook [flags] RUNBOOK\ncorkward-runbook [flags] --rules FILE --target ...\n\n"
      << options << "\nFormer names that are still accepted: --" << former << " (--" << current << ")\n"
      << "\nExit codes: 0 success, 1 a step failed and the steps after it were not executed, 2 invalid command line, "
         "runbook or rule file; nothing was executed\n";
}

/// Reads the command line. Throws po::error or UsageError.
/// @return std::nullopt if the help or version was printed and nothing is to be executed
std::optional<Options> readOptions(int argc, char** argv) {
  Options options;
  std::vector<std::string> formerControllers;
  po::options_description const visible = visibleOptions(options);
  po::options_description hidden;
  hidden.add_options()("runbook", po::value(&options.runbooks))(former_names::controllerOption.former,
                                                                po::value(&formerControllers));
  po::options_description all;
  all.add(visible).add(hidden);
  po::positional_options_description positional;
  positional.add("runbook", -1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
  po::notify(values);
  if (values.count("help") > 0) {
    printHelp(visible);
    return std::nullopt;
  }
  if (values.count("version") > 0) {
    std::cout << "corkward-runbook " << CORKWARD_VERSION << "\n";
    return std::nullopt;
  }
  options.controllers.insert(options.controllers.end(), formerControllers.begin(), formerControllers.end());
  if (options.controllers.empty()) options.controllers.emplace_back(defaultController);
  if (options.intervalSeconds < 1 || options.intervalSeconds > maxIntervalSeconds)
    throw UsageError("every: must be 1 to 600, but is " + std::to_string(options.intervalSeconds));
  return options;
}

void watch(AlertWatcher& watcher, Options const& options) {
  bool terminating = false;
  onTermination(QCoreApplication::instance(), [&terminating] { terminating = true; });
  int const slices = slicesPerSecond * options.intervalSeconds;
  for (int round = 0; !terminating && (options.maxEvaluations == 0 || round < options.maxEvaluations); ++round) {
    watcher.evaluate(options.targets);
    if (options.maxExecutions > 0 && watcher.executedCount() >= options.maxExecutions) break;
    for (int slice = 0; slice < slices && !terminating; ++slice) {
      if (slice % slicesPerRenewal == slicesPerRenewal - 1) watcher.renewRole();
      pause(sliceMs);
    }
  }
  watcher.releaseRole();
}

ExitCode watchRules(Options const& options, RunbookExecutor& executor) {
  if (!options.runbooks.empty())
    throw UsageError("rules: a runbook must not be given as well, but is " + options.runbooks[0]);
  std::vector<alerting::Rule> const rules = alerting::readRules(readFile(options.rulesFile));
  std::size_t const slash = options.rulesFile.rfind('/');
  std::string const directory = slash == std::string::npos ? "." : options.rulesFile.substr(0, slash);
  for (alerting::Rule const& rule : rules)
    runbook::readRunbook(readFile(runbookPath(directory, rule.runbook)), rule.parameters);
  if (options.check) {
    std::cout << rules.size() << " rules are valid\n";
    return ExitCode::ok;
  }
  if (options.targets.empty()) throw UsageError("target: missing; --rules needs at least one target");
  AlertWatcher watcher(options.controllers, executor, rules, directory);
  watch(watcher, options);
  return ExitCode::ok;
}

ExitCode executeOne(Options const& options, RunbookExecutor& executor) {
  if (options.runbooks.size() != 1)
    throw UsageError("exactly one runbook must be given, but " + std::to_string(options.runbooks.size()) +
                     " were given");
  runbook::Runbook const book =
      runbook::readRunbook(readFile(options.runbooks[0]), parseParameters(options.parameters));
  if (options.check) {
    std::cout << book.name << ": " << book.steps.size() << " steps are valid\n";
    return ExitCode::ok;
  }
  return executor.execute(book) ? ExitCode::ok : ExitCode::stepFailed;
}

ExitCode run(int argc, char** argv) {
  try {
    std::optional<Options> const options = readOptions(argc, argv);
    if (!options) return ExitCode::ok;
    RunbookExecutor executor({options->controllers, options->dryRun, options->assumeYes, options->accountFile});
    return options->rulesFile.empty() ? executeOne(*options, executor) : watchRules(*options, executor);
  } catch (po::error const& error) {
    std::cerr << "corkward-runbook: " << error.what() << "\n";
  } catch (core::Error const& error) {
    std::cerr << "corkward-runbook: " << error.what() << "\n";
  }
  return ExitCode::invalidUsage;
}

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  QCoreApplication const application(argc, argv);
  return static_cast<int>(corkward::programs::run(argc, argv));
}
