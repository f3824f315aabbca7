#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/core/log_event.h>
#include <corkward/transport/message.h>

namespace corkward::control {

/// Response to an operator call that arrived at this process's own HTTP server.
struct OperatorResponse {
  std::uint64_t token = 0;
  int status = 0;
  QJsonObject body;
};

/// Commands that result from one event. Each vector is in the order in which its commands are to be carried out.
struct ControllerCommands {
  std::vector<transport::Send> sends;
  std::vector<consensus::PersistCommand> persists;
  std::vector<OperatorResponse> responses;
  /// Tokens of calls whose callers are to be looked for. Each is answered by Controller::onCallerChecked in the same
  /// turn of the event loop.
  std::vector<std::uint64_t> callerChecks;
  /// Link addresses to probe for a listening process.
  std::vector<std::string> probes;
  std::vector<core::LogEvent> logEvents;
};

}  // namespace corkward::control
