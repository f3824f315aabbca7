#pragma once

#include <cstdint>
#include <string>

namespace corkward::testing {

/// Returns the n-th token of a run's body. It contains the run and the position, so that gaps, repeats and mixed bodies
/// are detected.
std::string tokenText(std::string const& run, std::uint64_t n);

/// Returns the complete body of a run with this many tokens.
std::string bodyOf(std::string const& run, std::uint64_t tokens);

/// What can be derived from a received body: whether it is complete, whether all of it is from one run, the run and the
/// number of tokens.
struct BodyVerdict {
  bool complete = false;
  bool oneRun = true;
  std::string run;
  std::uint64_t tokens = 0;
};

/// Checks a body against what its run must have produced. The last token carries the count of tokens.
BodyVerdict checkBody(std::string const& body);

}  // namespace corkward::testing
