#pragma once

#include <string>

namespace corkward::control {

/// Method of an operator call, or of a controller's own call that proposes a roster.
enum class CallMethod { get, put, patch, remove, reconcileRoster, unknown };

/// Method by which a controller proposes a roster. It is part of the wire format between controllers; their HTTP
/// servers reject it.
inline constexpr char const* rosterMethod = "ROSTER";

inline CallMethod methodOf(std::string const& method) {
  if (method == "GET") return CallMethod::get;
  if (method == "PUT") return CallMethod::put;
  if (method == "PATCH") return CallMethod::patch;
  if (method == "DELETE") return CallMethod::remove;
  if (method == rosterMethod) return CallMethod::reconcileRoster;
  return CallMethod::unknown;
}

/// Returns true for the methods by which operators change a value.
inline bool isChange(CallMethod method) {
  return method == CallMethod::put || method == CallMethod::patch || method == CallMethod::remove;
}

inline bool isChange(std::string const& method) {
  return isChange(methodOf(method));
}

}  // namespace corkward::control
