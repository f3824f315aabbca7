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
/// Longest idle time after which a connection to a replica is reused, in ms.
inline constexpr Milliseconds idleLimit = 1000;
/// Replaces `idleLimit` for requests that may be executed only once, in ms.
inline constexpr Milliseconds executeOnceIdleLimit = 250;
/// Idle time from which on a lost connection to a replica counts as stale, in ms.
inline constexpr Milliseconds staleAfter = 500;
/// Time in ms from the start of the failures of a grey replica (one that fails a fraction of its requests) until the
/// requests to it are counted.
inline constexpr Milliseconds greyDetectionTime = 8000;
/// Maximum number of requests that a grey replica may get while they are counted, as a fraction of the number that an
/// even distribution would give it.
inline constexpr double greyMaxFraction = 0.6;

}  // namespace corkward::testing
