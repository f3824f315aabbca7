#pragma once

/// What routers tell each other of request ids that may have run.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Asks the others whether a request's id may have run there, and has them remember that it was asked for here.
struct RequestIdQuery {
  std::uint64_t token = 0;
  std::string id;
  /// 0: the caller does not number its attempts.
  std::uint64_t attempt = 0;
  /// Milliseconds since the caller's first attempt, when attempts are numbered.
  core::Milliseconds age = 0;
  /// Name of this run of the asking process, never used again.
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

/// Reply to a RequestIdQuery of the same token.
struct RequestIdReply {
  std::uint64_t token = 0;
  /// Name of this run of the answering process.
  std::string processRun;
  /// It did not run here and will not, as far as this node remembers; for numbered attempts it remembers far enough.
  bool notExecuted = false;
  /// The id is remembered here.
  bool known = false;
  /// It had reached a replica from here, which may have rejected it.
  bool reachedReplica = false;
  /// How far back this node remembers.
  core::Milliseconds memorySpan = 0;
  /// Who has asked for the id before, by the names of their runs.
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

/// Ids that a leaving router leaves to its successors.
struct RequestIdHandover {
  /// Name of this run of the leaving process.
  std::string processRun;
  /// The last part: what is named in none of them did not run there.
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
