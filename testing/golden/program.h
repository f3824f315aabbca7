#pragma once

#include <QProcess>
#include <QProcessEnvironment>
#include <QStringList>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <regex>
#include <set>
#include <string>

#include "testing/golden/golden.h"

/// Compares the command line options of the programs with those of earlier releases.
namespace corkward::golden {

constexpr int programLimitMs = 20000;

struct ProgramRun {
  int code = -1;
  std::string out;
  std::string err;
};

/// Runs a built program, given by its path below the build directory, and waits for its exit.
inline ProgramRun runProgram(std::string const& program, QStringList const& arguments,
                             QProcessEnvironment const& environment = QProcessEnvironment::systemEnvironment()) {
  QProcess process;
  process.setProcessEnvironment(environment);
  process.start(QString::fromStdString(std::string(CORKWARD_BIN) + "/" + program), arguments);
  process.closeWriteChannel();
  REQUIRE(process.waitForFinished(programLimitMs));
  REQUIRE(process.exitStatus() == QProcess::NormalExit);
  return {process.exitCode(), process.readAllStandardOutput().toStdString(),
          process.readAllStandardError().toStdString()};
}

/// Returns the options of a help text as sorted lines `--name`, or `--name arg` for an option with a value.
inline std::string optionsOf(std::string const& help) {
  std::set<std::string> options;
  std::regex const option("^  (?:-\\w \\[ )?(--[a-z0-9-]+)(?: \\])?( arg)?.*");
  for (std::string const& line : lines(help)) {
    std::smatch match;
    if (std::regex_match(line, match, option)) options.insert(match[1].str() + match[2].str());
  }
  std::string text;
  for (std::string const& line : options) text += line + "\n";
  return text;
}

inline bool recording() {
  char const* const record = std::getenv("CORKWARD_RECORD_GOLDEN");
  return record != nullptr && std::string(record) == "1";
}

/// Checks that every recorded option is still accepted, even if the help text no longer shows it. New options may be
/// added. With --version a program exits with 0 if its command line is valid.
inline void checkOptions(std::string const& name, std::string const& program) {
  ProgramRun const help = runProgram(program, {"--help"});
  REQUIRE(help.code == 0);
  if (recording()) check(name, optionsOf(help.out));
  std::vector<std::string> const recorded = lines(read(name));
  REQUIRE_FALSE(recorded.empty());
  for (std::string const& line : recorded) {
    INFO(program << " " << line);
    std::size_t const space = line.find(' ');
    QStringList arguments{QString::fromStdString(line.substr(0, space))};
    if (space != std::string::npos) arguments << "1";
    if (line != "--version") arguments << "--version";
    ProgramRun const accepted = runProgram(program, arguments);
    CHECK(accepted.err == "");
    CHECK(accepted.code == 0);
  }
  // Shows that the calls above would fail for an option that is not accepted.
  CHECK(runProgram(program, {"--not-an-option", "--version"}).code == 2);
}

}  // namespace corkward::golden
