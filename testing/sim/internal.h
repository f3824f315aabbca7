#pragma once

#include "simulated_cluster.h"

namespace corkward::testing {

inline constexpr Milliseconds timerInterval = 25;
inline constexpr Milliseconds callerPatience = 12000;
inline constexpr int slotsPerReplica = 8;
inline constexpr double coldRate = 2.0;
inline constexpr char const* family = "family:desk";
inline constexpr char const* templatePath = "/v1/templates/desk";
inline constexpr char const* regime = "health";
inline constexpr char const* regulated = "desk.nord";
/// Wall clock time at the beginning of a run, in ms since the epoch.
inline constexpr std::int64_t wallBegin = 1800000000000;
/// Largest backward step of the wall clock in a fleet with certificates, in ms.
inline constexpr Milliseconds maxClockStepBack = 50000;
inline constexpr Milliseconds recoveryPeriod = 25000;
inline constexpr Milliseconds trafficFrom = 17500;
/// Idle connections to replicas: the longest idle time after which a connection is reused, the same for requests that
/// may be executed only once, and the idle time from which on a lost connection counts as stale, in ms.
inline constexpr Milliseconds idleLimit = 1000;
inline constexpr Milliseconds executeOnceIdleLimit = 250;
inline constexpr Milliseconds staleAfter = 500;
/// Requests to a replica that fails part of its requests (a grey replica) are counted from this time after the start of
/// its failures; it may then get at most this fraction of the requests that an even distribution would give it.
inline constexpr Milliseconds greyDetectionTime = 8000;
inline constexpr double greyMaxFraction = 0.6;

}  // namespace corkward::testing
