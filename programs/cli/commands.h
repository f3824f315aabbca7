#pragma once

#include <string>
#include <vector>

#include <corkward/core/http_method.h>

namespace corkward::programs {

/// The request that a command sends.
struct CommandRequest {
  core::HttpMethod method = core::HttpMethod::get;
  std::string path;
  /// File with the body, or - for standard input. Empty if the request has no body.
  std::string bodyFile = {};
};

/// A command of `corkward` as --help shows it.
struct Command {
  char const* name;
  /// Names of its arguments, separated by a space.
  char const* arguments;
  char const* description;
  /// Builds the command's request. Null for a command that does not send exactly one request.
  CommandRequest (*request)(std::vector<std::string> const& arguments);
};

/// Returns all commands in the order of --help.
std::vector<Command> const& commands();

/// Returns the current name of a command, given its current or former name (former_names.h).
std::string currentCommandName(std::string const& name);

/// Returns the request for a command line, which is a command and its arguments. Throws UsageError if the command is
/// unknown or the number of arguments is wrong.
CommandRequest requestOf(std::vector<std::string> const& commandLine);

}  // namespace corkward::programs
