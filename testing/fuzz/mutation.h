#pragma once

#include <optional>
#include <string>
#include <vector>

#include "wire.h"

/// Defects injected on purpose, at least one for each oracle, which must report it.
namespace corkward::fuzz {

/// Defects injected at callers and replicas. Those of the router's mapping are MappingFault.
enum class Tampering {
  none,
  /// Alters a byte of the responses that callers received.
  alterResponse,
  /// Records a truncated response as complete.
  hideTruncation,
  /// Alters a byte of the requests on the way to the replica.
  alterRequest,
  /// Reports a request with a lost outcome as not executed.
  reportNotRunAfterRun,
  /// Hides from the router that callers disconnect.
  ignoreDisconnects,
  /// Lets the router use more attempts than the oracle allows.
  extraAttempts,
  /// Records no end of the replicas' connections.
  hideClosedConnections,
};

struct Mutation {
  char const* name = "";
  /// The oracle that must report the defect.
  char const* oracle = "";
  Tampering tampering = Tampering::none;
  platform::test::wire::MappingFault mapping = platform::test::wire::MappingFault::none;
};

std::vector<Mutation> const& mutations();
std::optional<Mutation> mutationOf(std::string const& name);

}  // namespace corkward::fuzz
