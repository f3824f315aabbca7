#pragma once

#include <string>
#include <vector>

#include "plan.h"

/// What a replica does about one request, step by step.
namespace corkward::fuzz {

/// One step of a replica.
struct Step {
  enum class What {
    /// Waits until the complete request was read.
    awaitBody,
    /// Waits until so many bytes of the request's body were read, or it is complete.
    awaitBytes,
    write,
    pause,
    /// Ends the connection in order, or by a reset.
    close,
    reset,
    /// Says nothing more, and keeps the connection.
    hold,
    /// The answer is given; the connection goes on to the next request.
    done,
  };
  What what = What::done;
  std::string bytes = {};
  int ms = 0;
  std::size_t count = 0;
};

/// Who asks, and for what.
struct ReceivedRequest {
  std::string attempt;
  std::string seal;
  /// Attempt whose answer may come in this one's place.
  std::string other;
  bool isEventStream = false;
  /// Events of the row, and the last that the caller has.
  std::size_t events = 0;
  std::size_t after = 0;
  std::size_t bodyLength = 0;
};

/// The steps, and what the answer comes to.
struct ScriptedExchange {
  std::vector<Step> steps;
  int status = 200;
  bool ran = true;
  bool slowReading = false;
  /// Body as framed, and whether the framing says that it is complete.
  std::string framed;
  bool framedComplete = true;
};

ScriptedExchange scriptedExchangeOf(Answer const& answer, ReceivedRequest const& request);

}  // namespace corkward::fuzz
