#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/host_name.h>
#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;
/// Identifies a call at its router for as long as its HTTP connection is open.
using CallId = std::uint64_t;

/// One segment of a prompt: a hash of its content, which is the same on all routers, and its length in tokens.
struct PromptSegment {
  std::uint64_t hash = 0;
  std::int64_t tokens = 0;
};

/// A caller's request, with what the HTTP server read from its head and body.
struct Request {
  CallId call = 0;
  std::string instance;
  std::string path;
  /// Host and request target. They select the path of the fleet configuration if the request names no instance.
  core::HostName host;
  std::string target;
  /// Segments of the prompt, in order.
  std::vector<PromptSegment> segments;
  /// Maximum number of tokens that the caller requests as output.
  std::int64_t tokensOut = 0;
  /// Tokens of the prompt plus the maximum number of output tokens. std::nullopt if the caller does not state it.
  std::optional<std::int64_t> tokens;
  /// API key of the tenant that sends the request. Empty if the request has none.
  std::string tenantKey;
  std::string id;
  /// The caller's name for this attempt. It is used in logs only.
  std::string attemptName;
  /// Number of this attempt, from 1. 0 if the caller does not number its attempts, so that this may be any of them.
  std::uint64_t attempt = 1;
  /// The caller states that every earlier attempt was rejected as not executed.
  bool earlierNotExecuted = false;
  /// The caller states that one of the earlier attempts reached a replica, which rejected it.
  bool earlierReachedReplica = false;
  /// Milliseconds since the caller's first attempt. Negative if the caller does not state it.
  Milliseconds ageMs = -1;
  std::string prefix;
  /// Milliseconds for which the caller still waits. 0 if the caller states none, so that the path's deadline applies.
  Milliseconds deadline = 0;
  /// Milliseconds that it took to read the complete request. They count towards the caller's deadline and the path's.
  Milliseconds readDuration = 0;
};

/// How a dispatched request ended.
enum class UpstreamResult {
  /// The replica sent its complete response.
  complete,
  /// The replica replied that it did not execute the request.
  notExecuted,
  /// The connection was lost, or closed early, after a byte of the request was sent.
  connectionLost,
  /// Like connectionLost, but on a reused idle connection and before the first byte of the response. The replica may
  /// have closed the connection while it was idle.
  staleConnection,
  /// The response to a resume is not the continuation of the same execution at the requested position.
  differentExecution
};

}  // namespace corkward::dataplane
