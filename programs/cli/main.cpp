/// corkward: the operators' command line.

#include <QCoreApplication>
#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/json.h>

#include "apply.h"
#include "clock.h"
#include "commands.h"
#include "exit_code.h"
#include "former_names.h"
#include "operator_client.h"
#include "regime_report.h"

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

constexpr char const* defaultController = "127.0.0.1:9100";
constexpr int maxTimeoutSeconds = 300;
constexpr int maxWaitSeconds = 3600;
/// Seconds that apply waits for each change when --wait is not given.
constexpr int defaultApplyWaitSeconds = 60;
/// Column of the descriptions of commands in --help.
constexpr std::size_t descriptionColumn = 28;

/// The values of the command line.
struct Options {
  std::vector<std::string> controllers;
  std::string revision;
  std::string changeId;
  int timeoutSeconds = 15;
  int waitSeconds = 0;
  bool dryRun = false;
  bool prune = false;
  bool json = false;
  ReportOptions report;
  /// The command and its arguments.
  std::vector<std::string> commandLine;
};

/// Values of the options' former names.
struct FormerOptions {
  std::vector<std::string> controllers;
  std::string revision;
};

po::options_description visibleOptions(Options& options) {
  po::options_description out("Flags");
  out.add_options()(former_names::controllerOption.current, po::value(&options.controllers),
                    "address of a controller, ip:port (default 127.0.0.1:9100); if given more than once, the first "
                    "controller that responds is used")(
      former_names::revisionOption.current, po::value(&options.revision),
      "revision that the change is based on (for the fleet configuration, its version); 0 to create a resource")(
      "change-id", po::value(&options.changeId), "id of the change; random by default")(
      "dry-run", po::bool_switch(&options.dryRun), "check the change without applying it")(
      "prune", po::bool_switch(&options.prune),
      "for apply and diff: also remove templates and instances that are not declared")(
      "json", po::bool_switch(&options.json), "print one JSON object")(
      "limit", po::value(&options.timeoutSeconds)->default_value(options.timeoutSeconds),
      "seconds to wait for a response, 1 to 300")(
      "wait", po::value(&options.waitSeconds)->default_value(options.waitSeconds),
      "seconds to retry until all routers have applied the change, 0 to 3600");
  return out;
}

po::options_description reportOptions(ReportOptions& report) {
  po::options_description out("Flags of regime report");
  out.add_options()("regime", po::value(&report.regime), "report only this regime")(
      "from", po::value(&report.from), "start of the report in UTC, as 2027-01-31T00:00:00Z")(
      "until", po::value(&report.until), "end of the report in UTC, excluded")(
      "span", po::value(&report.spanMinutes)->default_value(report.spanMinutes),
      "length in minutes of the periods that are summed up, 1 to 44640")(
      "head", po::value(&report.checkpoints),
      "NODE=NUMBER:HASH of a record that was stored outside the node and must be among its records");
  return out;
}

po::options_description formerOptions(FormerOptions& former) {
  po::options_description out;
  out.add_options()(former_names::controllerOption.former, po::value(&former.controllers))(
      former_names::revisionOption.former, po::value(&former.revision));
  return out;
}

/// Merges the values given under former names into the options. Throws UsageError if --revision and its former name are
/// both given.
void merge(Options& options, FormerOptions const& former) {
  options.controllers.insert(options.controllers.end(), former.controllers.begin(), former.controllers.end());
  if (options.controllers.empty()) options.controllers.emplace_back(defaultController);
  if (former.revision.empty()) return;
  if (!options.revision.empty())
    throw UsageError("stamp: is the former name of revision; give only one of the two flags");
  options.revision = former.revision;
}

void printFormerNames() {
  std::cout << "\nFormer names that are still accepted:";
  for (auto const& [former, current] : former_names::commands) std::cout << " " << former << " (" << current << "),";
  auto const& [formerController, controller] = former_names::controllerOption;
  auto const& [formerRevision, revision] = former_names::revisionOption;
  std::cout << " --" << formerController << " (--" << controller << "), --" << formerRevision << " (--" << revision
            << ")\n";
}

void printHelp(po::options_description const& options) {
  std::cout << "corkward [flags] COMMAND [arguments]\n\nCommands\n";
  for (Command const& command : commands()) {
    std::string const left = std::string(command.name) + " " + command.arguments;
    std::size_t const padding = left.size() < descriptionColumn ? descriptionColumn - left.size() : 1;
    std::cout << "  " << left << std::string(padding, ' ') << command.description << "\n";
  }
  std::cout << "  FILE is a JSON file, or - for standard input\n\n" << options;
  printFormerNames();
  std::cout << "\nExit codes: 0 success, 1 differences or changed records found, 2 invalid command line, 3 rejected, 4 "
               "stale revision or reused "
               "change id, 5 service unavailable, 6 outcome unknown, 7 no response, 8 committed but not yet applied by "
               "all routers\n";
}

/// Reads the command line. Throws po::error or UsageError.
/// @return false if the help or version was printed and no command is to be run
bool readOptions(int argc, char** argv, Options& options) {
  FormerOptions former;
  po::options_description visible = visibleOptions(options);
  visible.add(reportOptions(options.report));
  visible.add_options()("help", "print this and exit")("version", "print the version and exit");
  po::options_description hidden = formerOptions(former);
  hidden.add_options()("word", po::value(&options.commandLine));
  po::options_description all;
  all.add(visible).add(hidden);
  po::positional_options_description positional;
  positional.add("word", -1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
  po::notify(values);
  if (values.count("help") > 0) {
    printHelp(visible);
    return false;
  }
  if (values.count("version") > 0) {
    std::cout << "corkward " << CORKWARD_VERSION << "\n";
    return false;
  }
  merge(options, former);
  if (options.timeoutSeconds < 1 || options.timeoutSeconds > maxTimeoutSeconds)
    throw UsageError("limit: must be 1 to 300, but is " + std::to_string(options.timeoutSeconds));
  if (options.waitSeconds < 0 || options.waitSeconds > maxWaitSeconds)
    throw UsageError("wait: must be 0 to 3600, but is " + std::to_string(options.waitSeconds));
  if (options.changeId.empty()) options.changeId = randomId();
  return true;
}

void print(OperatorReply const& reply, bool json) {
  if (json) {
    QJsonObject out{{"status", reply.status}, {"body", reply.body}};
    if (!reply.revision.empty()) out.insert("stamp", core::toQString(reply.revision).toLongLong());
    std::cout << core::jsonText(out) << "\n";
    return;
  }
  std::cout << "status " << reply.status;
  if (!reply.revision.empty()) std::cout << ", revision " << reply.revision;
  std::cout << "\n" << reply.text.toStdString() << (reply.text.endsWith('\n') ? "" : "\n");
}

/// Sends the request of a command and prints the response.
ExitCode send(CommandRequest const& request, Options const& options) {
  bool const isChange = request.method != core::HttpMethod::get;
  OperatorCall const call{
      request.method,   request.path,     request.bodyFile.empty() ? "" : readFile(request.bodyFile),
      options.revision, options.changeId, options.dryRun};
  OperatorReply reply = callOperator(options.controllers, call, options.timeoutSeconds);
  if (options.waitSeconds > 0 && isChange)
    reply = waitForRollout(options.controllers, call, reply, options.timeoutSeconds, options.waitSeconds);
  if (!reply.answered()) {
    std::cerr << "corkward: no response from " << reply.controller << ": " << reply.error << "\n";
    if (isChange)
      std::cerr << "corkward: whether the change was accepted is unknown; its change id is " << options.changeId
                << "\n";
    return ExitCode::noAnswer;
  }
  print(reply, options.json);
  return reply.pending() ? ExitCode::rolloutPending : exitCodeOf(reply.status);
}

ExitCode runApply(Options const& options) {
  std::vector<std::string> const& commandLine = options.commandLine;
  if (commandLine.size() != 2) throw UsageError(commandLine[0] + ": needs the argument DIR");
  ApplyOptions apply;
  apply.directory = commandLine[1];
  apply.apply = commandLine[0] == "apply";
  apply.dryRun = options.dryRun;
  apply.prune = options.prune;
  apply.json = options.json;
  apply.timeoutSeconds = options.timeoutSeconds;
  apply.waitSeconds = options.waitSeconds > 0 ? options.waitSeconds : defaultApplyWaitSeconds;
  return applyDeclarations(options.controllers, apply);
}

ExitCode runReport(Options const& options) {
  std::vector<std::string> const& commandLine = options.commandLine;
  if (commandLine.size() < 3 || commandLine[1] != "report")
    throw UsageError("regime: needs the arguments report DIR...");
  ReportOptions report = options.report;
  report.directories.assign(commandLine.begin() + 2, commandLine.end());
  report.json = options.json;
  return reportRegimes(report);
}

ExitCode runCommand(Options const& options) {
  std::string const command = options.commandLine.empty() ? "" : options.commandLine[0];
  if (command == "diff" || command == "apply") return runApply(options);
  if (command == "regime") return runReport(options);
  if (options.prune) throw UsageError("prune: is allowed only with diff and apply");
  return send(requestOf(options.commandLine), options);
}

int runCommandLine(int argc, char** argv) {
  QCoreApplication const application(argc, argv);
  try {
    Options options;
    return static_cast<int>(readOptions(argc, argv, options) ? runCommand(options) : ExitCode::ok);
  } catch (po::error const& error) {
    std::cerr << "corkward: " << error.what() << "\n";
  } catch (UsageError const& error) {
    std::cerr << "corkward: " << error.what() << "\n";
  }
  return static_cast<int>(ExitCode::invalidUsage);
}

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runCommandLine(argc, argv);
}
