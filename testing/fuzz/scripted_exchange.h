#pragma once

#include <string>
#include <vector>

#include "plan.h"

/// The steps by which a replica handles one request.
namespace corkward::fuzz {

/// One step of a replica.
struct Step {
  enum class Kind {
    /// Waits until the complete request was read.
    awaitBody,
    /// Waits until `count` bytes of the request's body were read, or the body is complete.
    awaitBytes,
    write,
    pause,
    /// Closes or resets the connection.
    close,
    reset,
    /// Sends nothing more and keeps the connection open.
    hold,
    /// The response is complete; the connection is used for the next request.
    done,
  };
  Kind kind = Kind::done;
  std::string bytes = {};
  int ms = 0;
  std::size_t count = 0;
};

/// The request that the replica has received.
struct ReceivedRequest {
  std::string attempt;
  std::string seal;
  /// Another attempt, for faults that send its response instead of this one's.
  std::string other;
  bool isEventStream = false;
  /// Number of events of the stream, and the last one that the caller already has.
  std::size_t events = 0;
  std::size_t after = 0;
  EventFormat eventFormat;
  std::size_t bodyLength = 0;
};

/// The steps and the resulting response.
struct ScriptedExchange {
  std::vector<Step> steps;
  int status = 200;
  bool ran = true;
  bool slowReading = false;
  /// Body of the response, and whether the caller may take it as complete: its framing marks its end, or the connection
  /// is closed where it may end.
  std::string framed;
  bool framedComplete = true;
};

ScriptedExchange scriptedExchangeOf(ScriptedResponse const& response, ReceivedRequest const& request);

}  // namespace corkward::fuzz
