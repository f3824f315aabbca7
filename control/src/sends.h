#pragma once

#include <iterator>
#include <utility>
#include <vector>

#include <corkward/control/controller_commands.h>

namespace corkward::control {

/// Appends messages to those that are to be sent already.
inline void appendSends(ControllerCommands& out, std::vector<transport::Send>&& sends) {
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

}  // namespace corkward::control
