#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;
/// Names a call for as long as its HTTP edge holds it.
using CallId = std::uint64_t;

/// One part of a prompt, by a hash that is equal on every node, and its length in tokens.
struct PromptSegment {
  std::uint64_t hash = 0;
  std::int64_t tokens = 0;
};

/// What the HTTP edge saw of a request's head and body.
struct Request {
  CallId call = 0;
  std::string instance;
  std::string path;
  /// Host and path by which a path of the whole configuration is found, when no instance is named.
  std::string host;
  std::string target;
  /// The prompt's parts in order, and the tokens asked for at the most.
  std::vector<PromptSegment> segments;
  std::int64_t tokensOut = 0;
  /// Tokens of the prompt and asked for at the most, together, when the caller says how many.
  std::optional<std::int64_t> tokens;
  /// Key of the tenant that sends; empty: none was given.
  std::string tenantKey;
  std::string id;
  /// Name of this attempt in logs, as the caller gave it; it decides nothing.
  std::string attemptName;
  /// Which attempt this is; 0: the caller does not number its attempts, so this may be any of them.
  std::uint64_t attempt = 1;
  /// The caller says that every earlier attempt was answered "not run".
  bool earlierNotExecuted = false;
  /// The caller says that one of those had reached a replica, which rejected it.
  bool earlierReachedReplica = false;
  /// Milliseconds since the caller's first attempt; below zero: not said.
  Milliseconds ageMs = -1;
  std::string prefix;
  /// Milliseconds the caller still waits; 0: the path's own deadline.
  Milliseconds deadline = 0;
  /// Milliseconds from the request's first byte until it was whole, which the caller's time and the path's include.
  Milliseconds readDuration = 0;
};

/// How a relayed call ended.
enum class UpstreamResult {
  /// The replica's own end was seen.
  complete,
  /// The replica said itself that it did not run the request.
  notExecuted,
  /// The connection broke, or ended early, after a byte was handed over.
  connectionLost,
  /// As broken, but on a kept connection that was idle, before any word: the replica may have forgotten it.
  staleConnection,
  /// The replica answered an attempt to resume with anything but the same run at the same offset.
  differentExecution
};

}  // namespace corkward::dataplane
