#pragma once

#include <string>
#include <vector>

#include <corkward/core/http_method.h>

namespace corkward::programs {

/// The request that a command of the command line sends.
struct CommandRequest {
  core::HttpMethod method = core::HttpMethod::get;
  std::string path;
  /// File with the body, or - for standard input; empty: no body.
  std::string bodyFile = {};
};

/// A command of the command line as --help shows it.
struct Command {
  char const* name;
  /// Names of its arguments, separated by a space.
  char const* arguments;
  char const* description;
  /// The request that it sends; null for a command with a procedure of its own.
  CommandRequest (*request)(std::vector<std::string> const& arguments);
};

/// All commands in the order of --help.
std::vector<Command> const& commands();

/// Today's name of a command, given that or a former one (former_names.h).
std::string currentCommandName(std::string const& name);

/// The request of a command line's words: a command and its arguments. Throws UsageError.
CommandRequest requestOf(std::vector<std::string> const& commandLine);

}  // namespace corkward::programs
