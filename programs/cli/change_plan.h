#pragma once

#include <functional>
#include <string>
#include <vector>

#include "declaration.h"
#include "operator_client.h"

namespace corkward::programs {

enum class ChangeAction { create, change, remove };

/// Returns the action's name in reports.
char const* name(ChangeAction action);

/// One change that brings the fleet closer to the declarations.
struct PlannedChange {
  ChangeAction action = ChangeAction::create;
  OperatorCall call;
};

/// Sends a call to a controller.
using CallFunction = std::function<OperatorReply(OperatorCall const&)>;

/// Returns the changes that make the fleet match the declarations, in an order in which the configuration is valid
/// after each change. Sends only reads, so that everything is validated before anything is changed. Throws UsageError
/// if the declarations are not a valid configuration, and core::Error if the fleet cannot be read.
/// @param prune also remove templates and instances that are not declared
std::vector<PlannedChange> planChanges(std::vector<Declaration> const& declarations, bool prune,
                                       CallFunction const& call);

}  // namespace corkward::programs
