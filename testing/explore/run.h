#pragma once

#include <string>
#include <vector>

#include <corkward/core/error.h>

#include "bounds.h"
#include "search.h"

namespace corkward::explore {

/// One search: a model, the mechanism that is turned off, and the bounds.
struct Run {
  std::string model;
  /// Name of the mechanism that is turned off. Empty if none is.
  std::string without;
  Bounds bounds;
};

/// Thrown for an unknown name of a model or mechanism.
class UnknownName : public core::Error {
 public:
  using core::Error::Error;
};

/// Returns the names of the models.
std::vector<std::string> models();
/// Returns the names of the mechanisms that can be turned off in a model.
std::vector<std::string> mechanisms(std::string const& model);
/// Runs a search. Throws UnknownName if the model or mechanism does not exist.
Outcome search(Run const& run, Limits const& limits);

/// Returns the searches of `--table`: each model with all mechanisms on, then with single mechanisms turned off.
std::vector<Run> tableRuns();
/// Returns whether the search found a broken invariant exactly if a mechanism is turned off.
bool asExpected(Run const& run, Outcome const& outcome);

}  // namespace corkward::explore
