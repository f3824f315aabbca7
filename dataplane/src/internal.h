#pragma once

#include <corkward/dataplane/request_router.h>

namespace corkward::dataplane {

inline constexpr char const* rosterKey = "roster";
inline constexpr char const* membershipKey = "cohort";
/// Instance whose admission queues the paths of the fleet configuration share.
inline constexpr char const* fleetInstance = "*";
/// Why a request is turned away whose amount was taken too long ago and is not there any more.
inline constexpr char const* overQuota = "the tenant is beyond its limit: held too long";
inline constexpr Milliseconds queueEvaluationInterval = 100;
inline constexpr Milliseconds releaseInterval = 10000;
inline constexpr std::size_t maxHandoverIds = 5000;
/// What stands for "not known" among the ages of a PeerHeartbeat.
inline constexpr int unknownAge = 255;

inline std::size_t majorityOf(std::size_t n) {
  return n / 2 + 1;
}

/// The path's rows of events are asked for on the product's own surface, not as a whole configuration's path.
inline bool ownEvents(config::Path const& path) {
  return path.stream && path.host.empty();
}

inline std::size_t lane(config::RequestClass cls) {
  return static_cast<std::size_t>(cls);
}

}  // namespace corkward::dataplane
