#pragma once

#include <functional>
#include <string>
#include <vector>

#include "declaration.h"
#include "operator_client.h"

namespace corkward::programs {

enum class ChangeAction { create, change, remove };

/// The action as reports name it.
char const* name(ChangeAction action);

/// One change that brings the fleet closer to the declarations.
struct PlannedChange {
  ChangeAction action = ChangeAction::create;
  OperatorCall call;
};

/// Sends a call to a controller.
using CallFunction = std::function<OperatorReply(OperatorCall const&)>;

/// The changes that bring the fleet to the declarations, in an order in which every step leaves a valid configuration.
/// Everything is checked before anything is changed: only reads are sent here.
/// @param prune also remove what is not declared
/// Throws UsageError when the declarations are no valid configuration, core::Error when the fleet cannot be read.
std::vector<PlannedChange> planChanges(std::vector<Declaration> const& declarations, bool prune,
                                       CallFunction const& call);

}  // namespace corkward::programs
