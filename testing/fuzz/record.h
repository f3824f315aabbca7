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

/// What is observed of a scenario from outside of the router: what reached replicas, and what callers were given.
namespace corkward::fuzz {

/// A request that reached a replica: its complete head was read there.
struct Dispatch {
  std::string attempt;
  std::string seal;
  std::size_t replica = 0;
  /// When its head had come, and the last of its bytes so far; monotonic milliseconds.
  core::Milliseconds at = 0;
  core::Milliseconds lastByteAt = 0;
  /// When its connection ended; 0: not yet.
  core::Milliseconds closedAt = 0;
  /// When the replica had written all that it had to say; 0: not yet.
  core::Milliseconds answeredAt = 0;
  std::string method;
  std::string target;
  http::HeaderMap fields;
  std::string body;
  bool bodyComplete = false;
  /// It counts as run: the replica did not say, truly, that it would not run it.
  bool ran = true;
  /// The replica reads slowly, so what reaches it was sent earlier.
  bool slow = false;
  Fault fault = Fault::well;
  int status = 200;
  /// Body of the answer as framed, and whether the framing says that it is complete.
  std::string framed;
  bool framedComplete = false;
};

/// What a caller has sent and was given.
struct CallerObservation {
  CallerRequest request;
  std::string attempt;
  std::string target;
  std::string body;
  /// Whole row of events that any replica gives to it.
  std::string events;
  bool began = false;
  /// When its first byte was sent.
  core::Milliseconds startedAt = 0;
  /// When all of it had been handed to the system; 0: not yet.
  core::Milliseconds sentAt = 0;
  /// When the connection was free of earlier requests.
  core::Milliseconds freeAt = 0;
  core::Milliseconds headAt = 0;
  core::Milliseconds endedAt = 0;
  /// When the caller left, if it did before the end; 0: it stayed.
  core::Milliseconds leftAt = 0;
  int status = 0;
  http::HeaderList fields;
  std::string got;
  bool complete = false;
  /// The connection could not be had, or had ended before the request went out on it.
  bool unsent = false;
};

/// Everything observed of one scenario.
struct Record {
  std::deque<Dispatch> dispatches;
  std::deque<CallerObservation> callers;
  /// Bytes that callers were given while no request of theirs was open.
  std::vector<std::string> unsolicited;
  /// When the scenario ended.
  core::Milliseconds endedAt = 0;
};

/// A field of the callers' own that means nothing to the router.
constexpr char const* ownField = "x-own";

/// A text of the length that shows any shift, swap or altered byte.
std::string pattern(std::string const& tag, std::size_t length);

/// One event of the row that answers the attempt.
std::string eventOf(std::string const& attempt, std::size_t number);
std::string eventsOf(std::string const& attempt, std::size_t after, std::size_t last);

}  // namespace corkward::fuzz
