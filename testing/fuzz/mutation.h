#pragma once

#include <optional>
#include <string>
#include <vector>

#include "wire.h"

/// Faults put into a scenario on purpose, one for each oracle at least: the oracle must find it.
namespace corkward::fuzz {

/// Faults that strike at callers and replicas; those of the mapping are MappingFault.
enum class Tampering {
  none,
  /// A byte of the callers' answers is altered.
  alterAnswer,
  /// An answer that was cut is taken for a complete one.
  hideCut,
  /// A byte of the requests is altered on its way to the replica.
  alterRequest,
  /// A lost outcome is reported as not run.
  promiseAfterRun,
  /// The leaving of callers does not show.
  ignoreLeaving,
  /// Requests are sent to more replicas than is checked.
  extraAttempts,
};

struct Mutation {
  char const* name = "";
  /// The oracle that must find it.
  char const* oracle = "";
  Tampering tampering = Tampering::none;
  platform::test::wire::MappingFault mapping = platform::test::wire::MappingFault::none;
};

std::vector<Mutation> const& mutations();
std::optional<Mutation> mutationOf(std::string const& name);

}  // namespace corkward::fuzz
