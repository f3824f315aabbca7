#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/http/headers.h>

#include "plan.h"

/// Observations of a scenario from outside of the router: the requests that reached replicas and the responses of
/// callers.
namespace corkward::fuzz {

/// A request whose complete head has reached a replica.
struct Dispatch {
  std::string attempt;
  std::string seal;
  std::size_t replica = 0;
  /// Times at which the head and the last byte so far arrived, in monotonic milliseconds.
  core::Milliseconds at = 0;
  core::Milliseconds lastByteAt = 0;
  /// Time at which the connection was closed. 0 if it is open.
  core::Milliseconds closedAt = 0;
  /// Time at which the replica had written its complete response. 0 if it has not.
  core::Milliseconds respondedAt = 0;
  std::string method;
  std::string target;
  http::HeaderMap fields;
  std::string body;
  bool bodyComplete = false;
  /// Whether the request counts as executed: true unless the replica correctly marked it as not executed.
  bool ran = true;
  /// The replica reads slowly, so bytes arrive later than they were sent.
  bool slow = false;
  Fault fault = Fault::none;
  int status = 200;
  /// Number of events that the caller had according to the request.
  std::size_t eventsBefore = 0;
  /// Body of the response, and whether the caller may take it as complete.
  std::string framed;
  bool framedComplete = false;
};

/// A caller's request and the response that it received.
struct CallerObservation {
  CallerRequest request;
  std::string attempt;
  std::string target;
  std::string body;
  /// The complete event stream that every replica sends for this request.
  std::string events;
  bool started = false;
  /// Time at which sending began.
  core::Milliseconds startedAt = 0;
  /// Time at which all bytes had been passed to the operating system. 0 if they have not.
  core::Milliseconds sentAt = 0;
  /// Time at which all earlier requests on the connection had ended.
  core::Milliseconds connectionFreeAt = 0;
  core::Milliseconds headAt = 0;
  core::Milliseconds endedAt = 0;
  /// Time at which the caller disconnected before the end of the response. 0 if it did not.
  core::Milliseconds disconnectedAt = 0;
  int status = 0;
  http::HeaderList fields;
  std::string received;
  bool complete = false;
  /// The connection failed or was closed before the request was sent.
  bool unsent = false;
};

/// Everything observed of one scenario.
struct Record {
  std::deque<Dispatch> dispatches;
  std::deque<CallerObservation> callers;
  /// Bytes that callers received while they had no open request.
  std::vector<std::string> unsolicited;
  /// Time at which the scenario ended.
  core::Milliseconds endedAt = 0;
};

/// A header field that the router does not know and must forward.
constexpr char const* ownField = "x-own";

/// Returns a text of the given length in which every shifted, swapped or altered byte is detectable.
std::string pattern(std::string const& tag, std::size_t length);

/// Returns one event of the event stream that answers the attempt.
std::string eventOf(std::string const& attempt, std::size_t number, EventFormat const& format);
std::string eventsOf(std::string const& attempt, std::size_t after, std::size_t last, EventFormat const& format);

}  // namespace corkward::fuzz
