#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/core/log_event.h>
#include <corkward/transport/message.h>

namespace corkward::control {

/// Answers an operator's call that came in at this process's own HTTP edge.
struct OperatorResponse {
  std::uint64_t token = 0;
  int status = 0;
  QJsonObject body;
};

/// Commands of one event, in the order in which they are to be carried out.
struct ControllerCommands {
  std::vector<transport::Send> sends;
  std::vector<consensus::PersistCommand> persists;
  std::vector<OperatorResponse> responses;
  /// Link addresses to probe: is anything listening there?
  std::vector<std::string> probes;
  std::vector<core::LogEvent> logEvents;
};

}  // namespace corkward::control
