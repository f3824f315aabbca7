#pragma once

/// What routers tell each other of request ids that may have run.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Asks the others whether a request's id may have run there, and has them remember that it was asked for here.
struct SeenAsk {
  std::uint64_t token = 0;
  std::string id;
  /// 0: the caller does not number its attempts.
  std::uint64_t attempt = 0;
  /// Milliseconds since the caller's first attempt, when attempts are numbered.
  core::Tick age = 0;
  /// Name of this run of the asking process, never used again.
  std::string who;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("i", id);
    f("a", attempt);
    f("g", age);
    f("w", who);
  }
};

/// Answer to a SeenAsk of the same token.
struct SeenEcho {
  std::uint64_t token = 0;
  /// Name of this run of the answering process.
  std::string who;
  /// It did not run here and will not, as far as this node remembers; for numbered attempts it remembers far enough.
  bool clear = false;
  /// The id is remembered here.
  bool known = false;
  /// It had reached a replica from here, which may have rejected it.
  bool reached = false;
  /// How far back this node remembers.
  core::Tick memory = 0;
  /// Who has asked for the id before, by the names of their runs.
  std::vector<std::string> claimants;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("w", who);
    f("c", clear);
    f("k", known);
    f("r", reached);
    f("m", memory);
    f("n", claimants);
  }
};

/// Ids that a leaving router leaves to its successors.
struct SeenLeft {
  /// Name of this run of the leaving process.
  std::string who;
  /// The last part: what is named in none of them did not run there.
  bool last = false;
  std::vector<std::string> ids;
  template <class F>
  void each(F& f) {
    f("w", who);
    f("e", last);
    f("i", ids);
  }
};

}  // namespace corkward::transport
