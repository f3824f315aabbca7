#pragma once

#include <corkward/dataplane/request_router.h>

namespace corkward::dataplane {

inline constexpr char const* rosterKey = "roster";
inline constexpr char const* membershipKey = "cohort";
/// Instance whose admission queues the paths of the fleet configuration share.
inline constexpr char const* fleetInstance = "*";
/// Reason for the rejection of a request whose quota amount was acquired too long ago and cannot be acquired again.
inline constexpr char const* quotaExpiredReason = "the tenant is beyond its limit: held too long";
inline constexpr Milliseconds queueEvaluationInterval = 100;
/// Interval at which the state of removed replicas, instances and peers is freed.
inline constexpr Milliseconds releaseInterval = 10000;
/// Maximum number of request ids in one RequestIdHandover.
inline constexpr std::size_t maxHandoverIds = 5000;
/// Value in the ages of a PeerHeartbeat that means "unknown".
inline constexpr int unknownAge = 255;

inline std::size_t majorityOf(std::size_t n) {
  return n / 2 + 1;
}

/// Whether the path is an event stream of an instance, not a path of the fleet configuration.
inline bool isInstanceEventStream(config::Path const& path) {
  return path.stream && path.host.empty();
}

/// Index of a priority class in AdmissionQueue::waiting.
inline std::size_t classIndex(config::RequestClass cls) {
  return static_cast<std::size_t>(cls);
}

}  // namespace corkward::dataplane
