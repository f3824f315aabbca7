#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/error.h>

/// Behaviour of the callers and replicas of one scenario, drawn from a seed or read from a corpus file. A plan contains
/// all random choices, so that a seed always gives the same scenario.
namespace corkward::fuzz {

/// Thrown for an invalid corpus file or command line.
class PlanError : public core::Error {
 public:
  using core::Error::Error;
};

/// Routes of the scenario: idempotent, not idempotent, event streams that may be resumed, and event streams that may
/// not.
enum class Route { safe, once, resumableEvents, nonResumableEvents };

/// Misbehaviour of a replica in one response.
enum class Fault {
  none,
  interim,
  early,
  extraBytes,
  delayedExtraBytes,
  twoResponses,
  otherRequestsResponse,
  badChunk,
  truncatedEvent,
  truncatedResponse,
  closeWhileReading,
  noResponse,
  slowWrite,
  slowRead,
  notRun,
  notRunEarly,
  unmarkedRejection,
  errorStatus,
  missingSeal,
  garbage,
  encoded,
  shortBody,
  invalidHead,
  endlessFraming,
};
constexpr int faultCount = 24;

/// How the end of a response's body is marked.
enum class Framing { length, chunks, tillEnd };

/// How the lines of an event stream end.
enum class LineEnd { lf, crLf, cr };

/// How the events of a stream are written.
struct EventFormat {
  LineEnd lineEnd = LineEnd::lf;
  /// Each event has an id, so that the stream may be resumed after it.
  bool numbered = true;
};

/// One response of a replica.
struct ScriptedResponse {
  Fault fault = Fault::none;
  Framing framing = Framing::length;
  /// Bytes of a plain body, or number of events of an event stream.
  std::uint32_t size = 100;
  /// Position of the fault, in thousandths of the response's bytes (of the request's, for faults while reading it).
  std::uint32_t at = 500;
  int pauseMs = 0;
  /// The connection is reset instead of closed.
  bool reset = false;
  /// Selects a variant of the fault.
  std::uint32_t variant = 0;
};

/// How a caller behaves.
enum class CallerBehaviour { stay, leave, leaveByReset, halfClose, pipeline, again, slowSend, slowRead, leaveSending };
constexpr int callerBehaviourCount = 9;

/// One request of a caller, and the responses of the replicas: one for each time that the request reaches a replica.
/// The last one is repeated.
struct CallerRequest {
  Route route = Route::safe;
  std::uint32_t body = 0;
  bool chunkedBody = false;
  bool expectsContinue = false;
  /// Timeout that the caller states in its request, in ms.
  int callerTimeoutMs = 1000;
  /// Requests of one lane are sent one after the other by the same Caller.
  std::size_t lane = 0;
  int startMs = 0;
  CallerBehaviour behaviour = CallerBehaviour::stay;
  int leaveMs = 100;
  EventFormat eventFormat;
  std::vector<ScriptedResponse> responses;
};

/// The plan of a scenario.
struct Plan {
  std::uint64_t seed = 0;
  std::string name;
  /// How many of a thousand new connections a replica resets at once.
  std::uint32_t refusedPerMille = 0;
  std::vector<CallerRequest> requests;
};

Plan planOf(std::uint64_t seed);
/// Reads a plan from a corpus file. Throws PlanError.
Plan planOf(std::string const& name, QJsonObject const& file);
QJsonObject jsonOf(Plan const& plan);

char const* name(Fault fault);
char const* name(CallerBehaviour behaviour);
char const* name(Route route);

}  // namespace corkward::fuzz
