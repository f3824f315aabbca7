#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

#include "settings.h"
#include "testing/golden/golden.h"
#include "testing/golden/program.h"

/// Checks that settings files and options of earlier releases are still read with the same result. The golden files may
/// be recorded again only for a release that is allowed to break its users' settings; there has been none so far.

namespace golden = corkward::golden;
namespace programs = corkward::programs;

namespace {

constexpr char const* folder = "programs/test/golden/";

std::string listText(std::vector<std::string> const& values) {
  std::string out;
  for (std::string const& value : values) out += " [" + value + "]";
  return out;
}

std::string canonical(programs::Settings const& settings) {
  std::ostringstream out;
  out << "  link = " << settings.link << "\n  listen = " << settings.listen << "\n  http = " << settings.http
      << "\n  zone = " << settings.zone << "\n  seeds =" << listText(settings.seeds) << "\n  data = " << settings.data
      << "\n  founders =" << listText(settings.founders) << "\n  audit = " << settings.audit
      << "\n  audit megabytes = " << settings.auditMegabytes << "\n  log file = " << settings.logFile
      << "\n  log level = " << corkward::core::name(settings.logLevel) << "\n  drain limit = " << settings.drainLimitMs
      << "\n";
  return out.str();
}

/// Returns the settings that are read from a command line, or the error text, as text.
std::string parsedForm(programs::Role role, std::vector<std::string> const& commandLine) {
  std::vector<char const*> argv{"program"};
  for (std::string const& argument : commandLine) argv.push_back(argument.c_str());
  try {
    auto const settings = programs::readSettings(static_cast<int>(argv.size()), argv.data(), role);
    return settings ? canonical(*settings) : "  nothing to start\n";
  } catch (programs::SettingsError const& error) {
    return std::string("  error: ") + error.what() + "\n";
  }
}

/// Collects command lines, each followed by the settings or the error that it is read as. The argument `FILE` is
/// replaced by the path of the role's settings file in the source tree.
class Readings {
 public:
  Readings(programs::Role role, std::string const& file) : role_(role), file_(golden::path(folder + file)) {}
  void add(std::vector<std::string> commandLine) {
    for (std::string const& argument : commandLine)
      text_ += (text_.empty() || text_.back() == '\n' ? "" : " ") + argument;
    text_ += commandLine.empty() ? "(no words)\n" : "\n";
    for (std::string& argument : commandLine)
      if (argument == "FILE") argument = file_;
    text_ += parsedForm(role_, commandLine);
  }
  /// Adds a command line with further arguments after those given.
  void addTo(std::vector<std::string> commandLine, std::vector<std::string> const& more) {
    commandLine.insert(commandLine.end(), more.begin(), more.end());
    add(std::move(commandLine));
  }
  std::string const& text() const { return text_; }

 private:
  programs::Role role_;
  std::string file_;
  std::string text_;
};

std::vector<std::string> const minimalRouter{"--link", "10.4.0.7:7721", "--http", "10.4.0.7:8161",
                                             "--zone", "north",         "--seed", "10.5.0.30:7720"};
std::vector<std::string> const minimalControl{"--link", "10.4.0.7:7720", "--http", "10.4.0.7:8166", "--zone", "north",
                                              "--data", "/nowhere/",     "--seed", "10.5.0.30:7720"};

void addShared(Readings& readings, std::vector<std::string> const& minimal) {
  readings.add({"--settings", "FILE"});
  readings.add({"--settings", "FILE", "--zone", "south", "--seed", "10.9.0.1:7720", "--drain-limit", "5"});
  readings.add({"--settings", "FILE", "--check"});
  readings.add({"--settings", "/nowhere/none.conf"});
  readings.add(minimal);
  readings.add({});
  for (std::size_t without = 0; without < minimal.size(); without += 2) {
    std::vector<std::string> commandLine = minimal;
    commandLine.erase(commandLine.begin() + static_cast<std::ptrdiff_t>(without),
                      commandLine.begin() + static_cast<std::ptrdiff_t>(without) + 2);
    readings.add(commandLine);
  }
  std::vector<std::vector<std::string>> const more{{"--drain-limit", "1"},     {"--drain-limit", "0"},
                                                   {"--drain-limit", "3601"},  {"--drain-limit", "soon"},
                                                   {"--log-level", "trace"},   {"--log-level", "loud"},
                                                   {"--listen", "10.4.0.7:1"}, {"--listen", "10.4.0.7"},
                                                   {"--listen", "[::1]:80"},   {"--seed", "10.4.0.7:65536"},
                                                   {"--seed", "there:7720"},   {"--zone", "north"},
                                                   {"--not-a-setting", "1"},   {"word"},
                                                   {"--founder", "10.4.0.7"},  {"--audit-megabytes", "1"},
                                                   {"--audit-megabytes", "2"}};
  for (std::vector<std::string> const& commandLine : more) readings.addTo(minimal, commandLine);
}

}  // namespace

TEST_CASE("a router's settings are read as in the golden file", "[golden]") {
  Readings readings(programs::Role::router, "settings/router.conf");
  addShared(readings, minimalRouter);
  readings.addTo(minimalRouter, {"--listen", "10.4.0.7:7722", "--log-file", "/nowhere/a.log", "--log-level", "error",
                                 "--drain-limit", "3600", "--audit", "/nowhere/audit", "--audit-megabytes", "65536"});
  readings.addTo(minimalRouter, {"--audit-megabytes", "65537"});
  readings.addTo(minimalRouter, {"--audit", "/dev/null"});
  std::vector<std::string> seeds;
  for (int i = 0; i < 8; ++i) seeds.insert(seeds.end(), {"--seed", "10.5.0.3" + std::to_string(i) + ":7720"});
  readings.addTo(minimalRouter, seeds);
  golden::check(std::string(folder) + "settings/router.txt", readings.text());
}

TEST_CASE("a controller's settings are read as in the golden file", "[golden]") {
  Readings readings(programs::Role::controller, "settings/control.conf");
  addShared(readings, minimalControl);
  readings.addTo(minimalControl, {"--founder", "10.4.0.7:7720", "--founder", "10.5.0.30:7720", "--listen",
                                  "10.4.0.7:7723", "--log-file", "/nowhere/a.log"});
  readings.addTo(minimalControl, {"--data", "/dev/null"});
  std::vector<std::string> founders;
  for (int i = 0; i < 10; ++i) founders.insert(founders.end(), {"--founder", "10.5.0.3" + std::to_string(i) + ":7720"});
  readings.addTo(minimalControl, founders);
  golden::check(std::string(folder) + "settings/control.txt", readings.text());
}

TEST_CASE("the programs accept every recorded option", "[golden]") {
  std::string const program = GENERATE("corkward-router", "corkward-control", "corkward", "corkward-runbook");
  golden::checkOptions(folder + ("options/" + program) + ".txt", "programs/" + program);
}

TEST_CASE("the command line accepts every recorded command", "[golden]") {
  std::string const name = std::string(folder) + "options/corkward_commands.txt";
  if (golden::recording()) {
    std::set<std::string> commands;
    bool inCommands = false;
    for (std::string const& line : golden::lines(golden::runProgram("programs/corkward", {"--help"}).out)) {
      if (line == "Commands") inCommands = true;
      if (line.empty() && !commands.empty()) inCommands = false;
      std::istringstream lineText(line);
      std::string command;
      if (inCommands && line.rfind("  ", 0) == 0 && line.rfind("  FILE ", 0) != 0 && lineText >> command)
        commands.insert(command);
    }
    std::string text;
    for (std::string const& command : commands) text += command + "\n";
    golden::check(name, text);
  }
  // With too many arguments a known command reports a different error than an unknown one, and sends no request.
  QStringList const tooMany{"a", "b", "c", "d", "e"};
  std::vector<std::string> const recorded = golden::lines(golden::read(name));
  REQUIRE_FALSE(recorded.empty());
  for (std::string const& command : recorded) {
    golden::ProgramRun const run =
        golden::runProgram("programs/corkward", QStringList{QString::fromStdString(command)} + tooMany);
    INFO(command << ": " << run.err);
    CHECK(run.code == 2);
    CHECK(run.err.find("no such command") == std::string::npos);
  }
  // Verifies that the check above fails for a command that is not accepted.
  golden::ProgramRun const unknown = golden::runProgram("programs/corkward", QStringList{"not-a-command"} + tooMany);
  CHECK(unknown.code == 2);
  CHECK(unknown.err.find("no such command") != std::string::npos);
}
