#pragma once

/// Messages by which routers find out whether a request id may have been executed on another router.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Sent by a router to all other routers before it admits a request with an id: whether an earlier attempt with this id
/// may have been executed. The receivers store that the sender claims the id. The reply is RequestIdReply.
struct RequestIdQuery {
  /// Identifies the query in its replies.
  std::uint64_t token = 0;
  std::string id;
  /// Number of the caller's attempt, or 0 if the caller does not number its attempts.
  std::uint64_t attempt = 0;
  /// Milliseconds since the caller's first attempt, if attempts are numbered.
  core::Milliseconds age = 0;
  /// Unique name of this run of the sending process.
  std::string processRun;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("i", id);
    f("a", attempt);
    f("g", age);
    f("w", processRun);
  }
};

/// Sent by a router in reply to a RequestIdQuery.
struct RequestIdReply {
  /// RequestIdQuery::token of the query.
  std::uint64_t token = 0;
  /// Unique name of this run of the replying process.
  std::string processRun;
  /// True if the request was not executed through this router and will not be, as far as this router remembers. If
  /// attempts are numbered, it is true only if this router remembers back to the first attempt.
  bool notExecuted = false;
  /// True if this router remembers the id.
  bool known = false;
  /// True if the request reached a replica through this router; the replica may have rejected it.
  bool reachedReplica = false;
  /// How far back this router remembers request ids, in milliseconds.
  core::Milliseconds memorySpan = 0;
  /// Unique names of the processes that have queried the id before.
  std::vector<std::string> claimedBy;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("w", processRun);
    f("c", notExecuted);
    f("k", known);
    f("r", reachedReplica);
    f("m", memorySpan);
    f("n", claimedBy);
  }
};

/// Sent by a draining router to other routers before it exits: the ids that may have been executed through it. Many ids
/// are split over several messages.
struct RequestIdHandover {
  /// Unique name of this run of the draining process.
  std::string processRun;
  /// True in the last message. Ids that none of the messages named were not executed through the draining router.
  bool last = false;
  std::vector<std::string> ids;
  template <class F>
  void each(F& f) {
    f("w", processRun);
    f("e", last);
    f("i", ids);
  }
};

}  // namespace corkward::transport
