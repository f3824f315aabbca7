#include <QCoreApplication>
#include <QUuid>
#include <boost/program_options.hpp>
#include <iostream>

#include <corkward/config/config.h>
#include <corkward/core/error.h>
#include <corkward/core/json.h>

#include "declare.h"
#include "regime_report.h"
#include "operator_client.h"

namespace corkward::programs {

namespace po = boost::program_options;

namespace {

struct CommandRow {
  char const* name;
  char const* words;
  char const* what;
};

constexpr CommandRow commandTable[] = {
    {"template-get", "T", "read a template"},
    {"template-put", "T FILE", "make or replace a template (--revision, 0 for a new one)"},
    {"template-patch", "T FILE", "change part of a template by a merge patch (--revision)"},
    {"template-delete", "T", "remove a template without instances (--revision)"},
    {"templates", "", "list the templates"},
    {"instance-get", "T I", "read an instance"},
    {"instance-put", "T I FILE", "make or replace an instance (--revision, 0 for a new one)"},
    {"instance-patch", "T I FILE", "change part of an instance by a merge patch (--revision)"},
    {"instance-delete", "T I", "remove an instance (--revision)"},
    {"blueprint-get", "", "read the whole configuration"},
    {"blueprint-put", "FILE",
     "replace the whole configuration (--revision, the version it was built on, 0 when there is none so far)"},
    {"blueprint-patch", "FILE",
     "set and drop named items of the whole configuration (--revision, the version it was built on)"},
    {"certificates-get", "", "read the regimes and their certificates"},
    {"certificates-put", "FILE",
     "replace the regimes and their certificates (--revision, 0 when there are none so far)"},
    {"certificates-patch", "FILE", "change part of them by a merge patch (--revision)"},
    {"revoke", "CERTIFICATE", "revoke a certificate at once; answers which tenants are left without one"},
    {"evacuate", "ZONE", "evacuate a zone"},
    {"lift", "ZONE", "lift a zone's evacuation"},
    {"evacuation", "ZONE", "read whether a zone is evacuated"},
    {"pool-get", "POOL", "read a pool's list"},
    {"pool-put", "POOL FILE", "give a pool's list, as the platform does"},
    {"change", "ID", "ask what became of a change"},
    {"diff", "DIR", "compare a folder of declarations with what is in force (exit code 1 when they differ)"},
    {"apply", "DIR", "bring what is in force to the folder's declarations (--dry-run, --prune, --wait)"},
    {"regime", "report FOLDER...",
     "what ran where, was rejected and resumed, from copies of the routers' audit folders (--regime, --from, --until, "
     "--span, --head; exit code 1 when records were changed or are missing)"},
    {"node-gone", "LINK", "declare that a lost node's machine is off for good"},
    {"fleet", "", "show the fleet as one controller sees it"}};

struct ExitRow {
  int status;
  int code;
};

/// Exit codes: 0 done, 2 bad use, 3 rejected, 4 stale or reused, 5 not accepted, 6 unknown, 7 no answer, 8 not yet in
/// force.
constexpr ExitRow exitTable[] = {{200, 0}, {201, 0}, {400, 3}, {404, 3}, {405, 3}, {409, 4}, {412, 4},
                                 {413, 3}, {422, 3}, {428, 3}, {431, 3}, {503, 5}, {504, 6}};

struct Wire {
  std::string method;
  std::string path;
  std::string file;
};

Wire wireOf(std::vector<std::string> const& words) {
  if (words.empty()) throw UsageError("no command; see --help");
  std::string const& c = words[0];
  CommandRow const* row = nullptr;
  for (CommandRow const& r : commandTable)
    if (c == r.name) row = &r;
  if (row == nullptr) throw UsageError("no such command: " + c);
  std::size_t want = 0;
  for (char const* p = row->words; *p != '\0'; ++p) want += (p == row->words || p[-1] == ' ') ? 1 : 0;
  if (words.size() != want + 1) throw UsageError(c + " wants: " + (want == 0 ? "nothing more" : row->words));
  std::string const verb = c.substr(c.rfind('-') == std::string::npos ? 0 : c.rfind('-') + 1);
  std::string const method = verb == "put" ? "PUT" : verb == "patch" ? "PATCH" : verb == "delete" ? "DELETE" : "GET";
  if (c == "templates") return {"GET", "/v1/templates", ""};
  if (c == "fleet") return {"GET", "/v1/fleet", ""};
  if (c == "change") return {"GET", "/v1/changes/" + words[1], ""};
  if (c == "evacuate") return {"PUT", "/v1/evacuations/" + config::addressPart(words[1]), ""};
  if (c == "lift") return {"DELETE", "/v1/evacuations/" + config::addressPart(words[1]), ""};
  if (c == "evacuation") return {"GET", "/v1/evacuations/" + config::addressPart(words[1]), ""};
  if (c == "revoke") return {"DELETE", "/v1/certificates/" + words[1], ""};
  if (c == "node-gone") return {"DELETE", "/v1/nodes/" + words[1], ""};
  bool const body = method == "PUT" || method == "PATCH";
  if (c.rfind("blueprint-", 0) == 0) return {method, config::fleetConfigurationPage, body ? words[1] : ""};
  if (c.rfind("certificates-", 0) == 0) return {method, "/v1/certificates", body ? words[1] : ""};
  if (c.rfind("pool-", 0) == 0)
    return {method, "/v1/platform/pools/" + config::addressPart(words[1]), body ? words[2] : ""};
  if (c.rfind("template-", 0) == 0) return {method, "/v1/templates/" + words[1], body ? words[2] : ""};
  return {method, "/v1/templates/" + words[1] + "/instances/" + words[2], body ? words[3] : ""};
}

int exitCodeOf(int status) {
  for (ExitRow const& r : exitTable)
    if (r.status == status) return r.code;
  return 3;
}

void print(OperatorOutcome const& outcome, bool json) {
  if (json) {
    QJsonObject out{{"status", outcome.status}, {"body", outcome.body}};
    if (!outcome.revision.empty()) out.insert("stamp", core::toQString(outcome.revision).toLongLong());
    std::cout << core::jsonText(out) << "\n";
    return;
  }
  std::cout << "status " << outcome.status;
  if (!outcome.revision.empty()) std::cout << ", revision " << outcome.revision;
  std::cout << "\n" << outcome.text.toStdString() << (outcome.text.endsWith('\n') ? "" : "\n");
}

int call(std::vector<std::string> const& controllers, Wire const& wire, std::string const& revision,
         std::string const& changeId, bool dryRun, bool json, int limitSeconds, int waitSeconds) {
  OperatorCall const call{wire.method, wire.path, wire.file.empty() ? "" : readFile(wire.file),
                          revision,    changeId,  dryRun};
  OperatorOutcome out = callOperator(controllers, call, limitSeconds);
  if (waitSeconds > 0 && wire.method != "GET") out = waitInForce(controllers, call, out, limitSeconds, waitSeconds);
  if (out.status == 0) {
    std::cerr << "corkward: no answer from " << out.from << ": " << out.error << "\n";
    if (wire.method != "GET")
      std::cerr << "corkward: whether the change was accepted is unknown; its change id is " << changeId << "\n";
    return 7;
  }
  print(out, json);
  if (out.body.value("pending").toBool()) return 8;
  return exitCodeOf(out.status);
}

int runCli(int argc, char** argv) {
  QCoreApplication app(argc, argv);
  po::options_description flags("Flags");
  std::vector<std::string> controllers;
  std::string revision;
  std::string changeId;
  int limit = 15;
  int wait = 0;
  ReportConnections ways;
  flags.add_options()("substation", po::value(&controllers)->default_value({"127.0.0.1:9100"}, "127.0.0.1:9100"),
                      "address of a controller, ip:port; when given more than once, the first that answers")(
      "stamp", po::value<std::string>(&revision),
      "revision that the change is built on (of the whole configuration: its version); 0 to make a new one")(
      "change-id", po::value<std::string>(&changeId), "id of the change; a fresh one when left out")(
      "dry-run", "check the change, change nothing")(
      "prune", "apply and diff: remove what is in force and not declared")("json", "print one JSON object")(
      "limit", po::value<int>(&limit)->default_value(15), "seconds to wait for the answer, 1 to 300")(
      "wait", po::value<int>(&wait)->default_value(0),
      "seconds to go on asking until the change is in force, 0 to 3600")("regime", po::value(&ways.regime),
                                                                         "regime report: this one alone")(
      "from", po::value(&ways.from), "regime report: from this time on, as 2027-01-31T00:00:00Z")(
      "until", po::value(&ways.until), "regime report: before this time")(
      "span", po::value(&ways.spanMinutes)->default_value(60), "regime report: minutes that are summed up, 1 to 44640")(
      "head", po::value(&ways.heads),
      "regime report: NODE=NUMBER:HASH that was noted elsewhere, of which the records must hold each")(
      "help", "print this and exit")("version", "print the version and exit");
  po::options_description hidden;
  hidden.add_options()("word", po::value<std::vector<std::string>>());
  po::options_description all;
  all.add(flags).add(hidden);
  po::positional_options_description positional;
  positional.add("word", -1);
  try {
    po::variables_map vm;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), vm);
    po::notify(vm);
    if (vm.count("help") > 0) {
      std::cout << "corkward [flags] COMMAND [words]\n\nCommands\n";
      for (CommandRow const& r : commandTable) {
        std::string const left = std::string(r.name) + " " + r.words;
        std::cout << "  " << left << std::string(left.size() < 28 ? 28 - left.size() : 1, ' ') << r.what << "\n";
      }
      std::cout << "  FILE is a JSON file, or - for standard input\n\n" << flags;
      std::cout << "\nExit codes: 0 done, 2 bad use, 3 rejected, 4 stale revision or reused id, 5 not accepted, 6 "
                   "unknown, 7 no answer, 8 not yet in force\n";
      return 0;
    }
    if (vm.count("version") > 0) {
      std::cout << "corkward " << CORKWARD_VERSION << "\n";
      return 0;
    }
    if (limit < 1 || limit > 300) throw UsageError("limit: must be 1 to 300");
    if (wait < 0 || wait > 3600) throw UsageError("wait: must be 0 to 3600");
    if (changeId.empty()) changeId = QUuid::createUuid().toString(QUuid::Id128).toStdString();
    std::vector<std::string> const words =
        vm.count("word") > 0 ? vm["word"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (!words.empty() && (words[0] == "diff" || words[0] == "apply")) {
      if (words.size() != 2) throw UsageError(words[0] + " wants: DIR");
      return declare(controllers,
                     ApplyConnections{words[1], words[0] == "apply", vm.count("dry-run") > 0, vm.count("prune") > 0,
                                      vm.count("json") > 0, limit, wait > 0 ? wait : 60},
                     exitCodeOf);
    }
    if (!words.empty() && words[0] == "regime") {
      if (words.size() < 3 || words[1] != "report") throw UsageError("regime wants: report FOLDER...");
      ways.folders.assign(words.begin() + 2, words.end());
      ways.json = vm.count("json") > 0;
      return reportRegimes(ways);
    }
    if (vm.count("prune") > 0) throw UsageError("prune: goes with diff and apply alone");
    return call(controllers, wireOf(words), revision, changeId, vm.count("dry-run") > 0, vm.count("json") > 0, limit,
                wait);
  } catch (po::error const& e) {
    std::cerr << "corkward: " << e.what() << "\n";
    return 2;
  } catch (UsageError const& e) {
    std::cerr << "corkward: " << e.what() << "\n";
    return 2;
  }
}

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runCli(argc, argv);
}
