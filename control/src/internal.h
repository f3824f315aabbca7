#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <corkward/control/controller.h>
#include <corkward/core/json.h>

#include "call_method.h"
#include "keys.h"

namespace corkward::control {

inline constexpr char const* templatesPath = "/v1/templates";
inline constexpr std::string_view changesPage = "/v1/changes/";
/// Calls that a controller has in hand at the most.
inline constexpr std::size_t maxCalls = 4096;
inline constexpr std::size_t maxLeases = 4096;

/// A change that is on the disks but cannot be shown to be in force is no success that a script could take it for.
inline QJsonObject pendingBody(QJsonObject body, std::uint64_t revision) {
  body.insert("error", "pending");
  body.insert("pending", true);
  body.insert("inForce", false);
  body.insert("stamp", static_cast<qint64>(revision));
  body.insert("reason", "accepted on disk, not yet in force; ask by the change id");
  return body;
}

/// Answer of a controller that cannot confirm that what it knows is current.
inline QJsonObject outOfContact() {
  return {{"error", "not confirmed"}, {"reason", "this controller is not in touch with a majority"}};
}

}  // namespace corkward::control
