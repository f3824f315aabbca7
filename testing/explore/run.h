#pragma once

#include <string>
#include <vector>

#include <corkward/core/error.h>

#include "bounds.h"
#include "search.h"

namespace corkward::explore {

/// One search: a model, what is off in it, and its bounds.
struct Run {
  std::string model;
  /// Name of the mechanism that is off, empty: none.
  std::string without;
  Bounds bounds;
};

/// A name that is not one of those known.
class UnknownName : public core::Error {
 public:
  using core::Error::Error;
};

/// Names of the models.
std::vector<std::string> models();
/// Names of the mechanisms that a model can do without.
std::vector<std::string> mechanisms(std::string const& model);
/// Throws UnknownName.
Outcome search(Run const& run, Limits const& limits);

/// Searches of the table: each model with nothing off, then with each of its mechanisms off.
std::vector<Run> tableRuns();
/// Nothing off: nothing found; a mechanism off: a break found.
bool asExpected(Run const& run, Outcome const& outcome);

}  // namespace corkward::explore
