#pragma once

#include <cstdint>
#include <string>

namespace corkward::testing {

/// The n-th word of a run's body: it names the run and the place, so gaps, repeats and mixes show.
std::string tokenText(std::string const& run, std::uint64_t n);

/// The complete body of a run of so many tokens.
std::string bodyOf(std::string const& run, std::uint64_t tokens);

/// What a caller can tell of a body it was given.
struct BodyVerdict {
  bool complete = false;
  bool oneRun = true;
  std::string run;
  std::uint64_t tokens = 0;
};

/// Checks a body against what its run must have produced. The last token carries the count of tokens.
BodyVerdict checkBody(std::string const& body);

}  // namespace corkward::testing
