#pragma once

#include "simulated_cluster.h"

namespace corkward::testing {

inline constexpr Milliseconds clockEvery = 25;
inline constexpr Milliseconds callerPatience = 12000;
inline constexpr int slots = 8;
inline constexpr double coldRate = 2.0;
inline constexpr char const* family = "family:desk";
inline constexpr char const* templatePath = "/v1/templates/desk";
inline constexpr char const* regime = "health";
inline constexpr char const* regulated = "desk.nord";
/// Wall time at the beginning of a run.
inline constexpr std::int64_t wallBegin = 1800000000000;
/// Most that a wall clock jumps back in a fleet with certificates.
inline constexpr Milliseconds mostBack = 50000;
inline constexpr Milliseconds recoveryPeriod = 25000;
inline constexpr Milliseconds trafficFrom = 17500;
/// Idle connections to replicas: how long one is used, how long for what may run once, and from when on it may be
/// forgotten.
inline constexpr Milliseconds idleLimit = 1000;
inline constexpr Milliseconds freshIdleLimit = 250;
inline constexpr Milliseconds restedAfter = 500;
/// From so long after its start on a grey replica is checked, and the share of its fair part that it may draw then.
inline constexpr Milliseconds greyNoticed = 8000;
inline constexpr double greyShare = 0.6;

}  // namespace corkward::testing
