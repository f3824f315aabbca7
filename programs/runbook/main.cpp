/// corkward-runbook: carries out one runbook, or watches alerts and carries out theirs.

#include <QCoreApplication>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "alert_watcher.h"
#include "operator_client.h"
#include "pause.h"
#include "process.h"
#include "runbook_executor.h"

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

constexpr int sliceMs = 250;
constexpr int slicesPerSecond = 1000 / sliceMs;
/// The duty is renewed once in so many slices.
constexpr int slicesPerRenewal = 12;

/// What the command line says.
struct Options {
  std::vector<std::string> controllers;
  std::vector<std::string> sets;
  std::vector<std::string> targets;
  std::vector<std::string> words;
  std::string account;
  std::string rules;
  int everySeconds = 5;
  int rounds = 0;
  int acts = 0;
  bool check = false;
  bool dryRun = false;
  bool yes = false;
};

std::map<std::string, std::string> parametersOf(std::vector<std::string> const& words) {
  std::map<std::string, std::string> out;
  for (std::string const& w : words) {
    std::size_t const eq = w.find('=');
    if (eq == std::string::npos || eq == 0) throw UsageError("set: must be name=value, but is " + w);
    out[w.substr(0, eq)] = w.substr(eq + 1);
  }
  return out;
}

po::options_description flagsOf(Options& o) {
  po::options_description flags("Flags");
  flags.add_options()("substation", po::value(&o.controllers)->default_value({"127.0.0.1:9100"}, "127.0.0.1:9100"),
                      "address of a controller, ip:port; give all of them")(
      "set", po::value(&o.sets), "name=value for a parameter of the runbook")(
      "check", "check the runbook or the rules and exit")(
      "dry-run", "say what each step would do; changes are only checked")("yes", "take every confirm step as done")(
      "account", po::value(&o.account), "file that the account is added to")(
      "rules", po::value(&o.rules), "watch with this rule file; its runbooks stand beside it")(
      "target", po::value(&o.targets), "metrics page to watch, ip:port or zone=ip:port")(
      "every", po::value(&o.everySeconds)->default_value(5), "seconds between two looks, 1 to 600")(
      "rounds", po::value(&o.rounds)->default_value(0), "looks before the end; 0 for no end")(
      "acts", po::value(&o.acts)->default_value(0), "runbooks carried out before the end; 0 for no end")(
      "help", "print this and exit")("version", "print the version and exit");
  return flags;
}

/// The options, or nothing when all that was wanted has been printed.
std::optional<Options> readOptions(int argc, char** argv) {
  Options o;
  po::options_description const flags = flagsOf(o);
  po::options_description hidden;
  hidden.add_options()("runbook", po::value(&o.words));
  po::options_description all;
  all.add(flags).add(hidden);
  po::positional_options_description positional;
  positional.add("runbook", -1);
  po::variables_map vm;
  po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), vm);
  po::notify(vm);
  if (vm.count("help") > 0) {
    std::cout << "corkward-runbook [flags] RUNBOOK\ncorkward-runbook [flags] --rules FILE --target ...\n\n"
              << flags
              << "\nExit codes: 0 done, 1 a step failed and the rest was not done, 2 bad use and nothing done\n";
    return std::nullopt;
  }
  if (vm.count("version") > 0) {
    std::cout << "corkward-runbook " << CORKWARD_VERSION << "\n";
    return std::nullopt;
  }
  o.check = vm.count("check") > 0;
  o.dryRun = vm.count("dry-run") > 0;
  o.yes = vm.count("yes") > 0;
  if (o.everySeconds < 1 || o.everySeconds > 600) throw UsageError("every: must be 1 to 600");
  return o;
}

int watch(AlertWatcher& watcher, Options const& o) {
  bool ending = false;
  onTermination(QCoreApplication::instance(), [&ending] { ending = true; });
  for (int round = 0; !ending && (o.rounds == 0 || round < o.rounds); ++round) {
    watcher.look(o.targets);
    if (o.acts > 0 && watcher.acted() >= o.acts) break;
    for (int slice = 0; slice < slicesPerSecond * o.everySeconds && !ending; ++slice) {
      if (slice % slicesPerRenewal == slicesPerRenewal - 1) watcher.keep();
      pause(sliceMs);
    }
  }
  watcher.leave();
  return 0;
}

int watchRules(Options const& o, RunbookExecutor& executor) {
  if (!o.words.empty()) throw UsageError("a runbook and --rules exclude each other");
  std::vector<alerting::Rule> const rules = alerting::readRules(readFile(o.rules));
  std::size_t const slash = o.rules.rfind('/');
  std::string const folder = slash == std::string::npos ? "." : o.rules.substr(0, slash);
  for (alerting::Rule const& r : rules) runbook::readRunbook(readFile(pathInFolder(folder, r.runbook)), r.parameters);
  if (o.check) {
    std::cout << rules.size() << " rules are valid\n";
    return 0;
  }
  if (o.targets.empty()) throw UsageError("target: missing");
  AlertWatcher watcher(o.controllers, executor, rules, folder);
  return watch(watcher, o);
}

int carryOutOne(Options const& o, RunbookExecutor& executor) {
  if (o.words.size() != 1) throw UsageError("one runbook is needed; see --help");
  runbook::Runbook const book = runbook::readRunbook(readFile(o.words[0]), parametersOf(o.sets));
  if (o.check) {
    std::cout << book.name << ": " << book.steps.size() << " steps are valid\n";
    return 0;
  }
  return executor.carryOut(book) ? 0 : 1;
}

int runRunbook(int argc, char** argv) {
  QCoreApplication const app(argc, argv);
  try {
    std::optional<Options> const o = readOptions(argc, argv);
    if (!o) return 0;
    RunbookExecutor executor(o->controllers, o->dryRun, o->yes, o->account);
    return o->rules.empty() ? carryOutOne(*o, executor) : watchRules(*o, executor);
  } catch (po::error const& e) {
    std::cerr << "corkward-runbook: " << e.what() << "\n";
  } catch (core::Error const& e) {
    std::cerr << "corkward-runbook: " << e.what() << "\n";
  }
  return 2;
}

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runRunbook(argc, argv);
}
