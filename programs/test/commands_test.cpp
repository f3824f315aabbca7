#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "commands.h"
#include "exit_code.h"
#include "former_names.h"
#include "operator_client.h"

namespace core = corkward::core;
namespace former_names = corkward::programs::former_names;
namespace programs = corkward::programs;

namespace {

using CommandLine = std::vector<std::string>;

/// Returns the request of a command line as text, or the error text if there is none.
std::string requestText(CommandLine const& commandLine) {
  try {
    programs::CommandRequest const request = programs::requestOf(commandLine);
    return std::string(core::name(request.method)) + " " + request.path + " " + request.bodyFile;
  } catch (programs::UsageError const& error) {
    return std::string("error: ") + error.what();
  }
}

/// Returns a command line with the given number of arguments.
CommandLine commandLineWith(std::string const& command, std::size_t arguments) {
  CommandLine commandLine{command};
  for (std::size_t i = 0; i < arguments; ++i) commandLine.push_back("argument-" + std::to_string(i));
  return commandLine;
}

}  // namespace

TEST_CASE("each command is mapped to its method, path and body file") {
  struct Case {
    CommandLine commandLine;
    char const* request;
  };
  std::vector<Case> const cases{{{"templates"}, "GET /v1/templates "},
                                {{"template-get", "t"}, "GET /v1/templates/t "},
                                {{"template-put", "t", "file"}, "PUT /v1/templates/t file"},
                                {{"template-patch", "t", "-"}, "PATCH /v1/templates/t -"},
                                {{"template-delete", "t"}, "DELETE /v1/templates/t "},
                                {{"instance-get", "t", "i"}, "GET /v1/templates/t/instances/i "},
                                {{"instance-put", "t", "i", "file"}, "PUT /v1/templates/t/instances/i file"},
                                {{"instance-patch", "t", "i", "file"}, "PATCH /v1/templates/t/instances/i file"},
                                {{"instance-delete", "t", "i"}, "DELETE /v1/templates/t/instances/i "},
                                {{"fleet-configuration-get"}, "GET /v1/blueprint "},
                                {{"fleet-configuration-put", "file"}, "PUT /v1/blueprint file"},
                                {{"fleet-configuration-patch", "file"}, "PATCH /v1/blueprint file"},
                                {{"certificates-get"}, "GET /v1/certificates "},
                                {{"certificates-put", "file"}, "PUT /v1/certificates file"},
                                {{"certificates-patch", "file"}, "PATCH /v1/certificates file"},
                                {{"revoke", "c"}, "DELETE /v1/certificates/c "},
                                {{"evacuate", "z 1"}, "PUT /v1/evacuations/z%201 "},
                                {{"lift", "z 1"}, "DELETE /v1/evacuations/z%201 "},
                                {{"evacuation", "z 1"}, "GET /v1/evacuations/z%201 "},
                                {{"pool-get", "a/b"}, "GET /v1/platform/pools/a%2Fb "},
                                {{"pool-put", "a/b", "file"}, "PUT /v1/platform/pools/a%2Fb file"},
                                {{"change", "id"}, "GET /v1/changes/id "},
                                {{"node-remove", "10.0.0.1:7720"}, "DELETE /v1/nodes/10.0.0.1:7720 "},
                                {{"fleet"}, "GET /v1/fleet "}};
  for (auto const& [commandLine, request] : cases) CHECK(requestText(commandLine) == request);
}

TEST_CASE("former names of commands send the same requests and reject the same arguments as current names") {
  for (auto const& [former, current] : former_names::commands) {
    INFO(former);
    CHECK(programs::currentCommandName(former) == current);
    for (std::size_t const arguments : {0, 1}) {
      std::string const formerRequest = requestText(commandLineWith(former, arguments));
      std::string const currentRequest = requestText(commandLineWith(current, arguments));
      bool const bothRejected = formerRequest.rfind("error", 0) == 0 && currentRequest.rfind("error", 0) == 0;
      CHECK((bothRejected || formerRequest == currentRequest));
    }
  }
}

TEST_CASE("no former name of a command is a current name of another") {
  for (auto const& [former, current] : former_names::commands)
    for (programs::Command const& command : programs::commands()) CHECK(std::string(former) != command.name);
}

TEST_CASE("a missing or unknown command and a wrong number of arguments are rejected") {
  CHECK(requestText({}) == "error: a command is missing; corkward --help lists all commands");
  CHECK(requestText({"dance"}) == "error: no such command: dance");
  CHECK(requestText({"template-get"}) == "error: template-get: needs the arguments T");
  CHECK(requestText({"templates", "t"}) == "error: templates: takes no arguments");
  CHECK(requestText({"blueprint-put"}) == "error: blueprint-put: needs the arguments FILE");
}

TEST_CASE("HTTP statuses are mapped to exit codes") {
  using programs::ExitCode;
  using programs::exitCodeOf;
  for (int const status : {200, 201}) CHECK(exitCodeOf(status) == ExitCode::ok);
  for (int const status : {400, 404, 405, 413, 422, 428, 431, 500}) CHECK(exitCodeOf(status) == ExitCode::rejected);
  for (int const status : {409, 412}) CHECK(exitCodeOf(status) == ExitCode::conflict);
  CHECK(exitCodeOf(503) == ExitCode::unavailable);
  CHECK(exitCodeOf(504) == ExitCode::unknownOutcome);
}
