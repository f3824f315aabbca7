#pragma once

/// Responses to operator calls that more than one file of this package uses.

#include <corkward/control/controller_commands.h>
#include <corkward/core/http_status.h>

#include "json_fields.h"

namespace corkward::control {

inline OperatorResponse respond(std::uint64_t token, core::HttpStatus status, QJsonObject body) {
  return OperatorResponse{token, core::code(status), std::move(body)};
}

inline OperatorResponse methodNotAllowed(std::uint64_t token) {
  return respond(token, core::HttpStatus::methodNotAllowed, {{fields::error, "method not allowed"}});
}

inline OperatorResponse notAccepted(std::uint64_t token, char const* reason) {
  return respond(token, core::HttpStatus::serviceUnavailable,
                 {{fields::error, "not accepted"}, {fields::reason, reason}});
}

inline constexpr char const* tooManyCalls = "too many calls in hand";

/// Returns the body of a reply by a controller that cannot confirm that its committed values are current.
inline QJsonObject noQuorumBody() {
  return {{fields::error, "not confirmed"}, {fields::reason, "this controller is not in touch with a majority"}};
}

inline OperatorResponse rejectWithoutQuorum(std::uint64_t token) {
  return respond(token, core::HttpStatus::serviceUnavailable, noQuorumBody());
}

}  // namespace corkward::control
