#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/error.h>

/// What callers and replicas of one scenario do, made from a seed or read from a corpus file. A plan holds all choices;
/// playing it makes none, so that a seed always plays the same plan.
namespace corkward::fuzz {

/// A corpus file that cannot be read as a plan.
class PlanError : public core::Error {
 public:
  using core::Error::Error;
};

/// Routes of the scenario: idempotent, not idempotent, events that may be resumed, and events that may not.
enum class Route { safe, once, eventStream, tell };

/// How a replica misbehaves in one answer.
enum class Fault {
  well,
  interim,
  early,
  surplus,
  surplusLate,
  twoAnswers,
  otherId,
  badChunk,
  truncatedEvent,
  cutAnswer,
  cutReading,
  silence,
  slowWrite,
  slowRead,
  notRun,
  notRunEarly,
  falsePromise,
  failure,
  unsealed,
  garbage,
  encoded,
  shortBody,
  oddHead,
};
constexpr int faults = 23;

/// How the end of an answer's body is framed.
enum class Framing { length, chunks, tillEnd };

/// One answer of a replica.
struct Answer {
  Fault fault = Fault::well;
  Framing framing = Framing::length;
  /// Bytes of a plain body; events of a row.
  std::uint32_t size = 100;
  /// Where the fault strikes, in thousandths of the answer's bytes (or of the request's, for those that concern it).
  std::uint32_t at = 500;
  int pauseMs = 0;
  /// Connections end with a reset, not with their orderly end.
  bool reset = false;
  /// Picks among variants of the fault.
  std::uint32_t variant = 0;
};

/// How a caller behaves.
enum class Manner { stay, leave, leaveByReset, halfClose, pipeline, again, slowSend, slowRead, leaveSending };
constexpr int manners = 9;

/// One request of a caller, and how the replicas answer it, one answer for each time that it reaches one; the last
/// holds for all that come after.
struct CallerRequest {
  Route route = Route::safe;
  std::uint32_t body = 0;
  bool chunkedBody = false;
  bool expectsContinue = false;
  /// What the caller tells as the time that it will wait.
  int callerTimeoutMs = 1000;
  /// Requests of one lane go one after the other on one connection while it lasts.
  std::size_t lane = 0;
  int startMs = 0;
  Manner manner = Manner::stay;
  int leaveMs = 100;
  std::vector<Answer> answers;
};

/// A scenario.
struct Plan {
  std::uint64_t seed = 0;
  std::string name;
  /// In thousand: connections that a replica resets as they come.
  std::uint32_t refused = 0;
  std::vector<CallerRequest> requests;
};

Plan planOf(std::uint64_t seed);
/// Throws PlanError.
Plan planOf(std::string const& name, QJsonObject const& file);
QJsonObject jsonOf(Plan const& plan);

char const* name(Fault fault);
char const* name(Manner manner);
char const* name(Route route);

}  // namespace corkward::fuzz
