#pragma once

#include "world.h"

namespace corkward::yard {

inline constexpr Tick clockEvery = 25;
inline constexpr Tick callerPatience = 12000;
inline constexpr int slots = 8;
inline constexpr double coldRate = 2.0;
inline constexpr char const* family = "family:desk";
inline constexpr char const* templatePath = "/v1/templates/desk";
inline constexpr char const* regime = "health";
inline constexpr char const* regulated = "desk.nord";
/// Wall time at the beginning of a run.
inline constexpr std::int64_t wallBegin = 1800000000000;
/// Most that a wall clock jumps back in a fleet with certificates.
inline constexpr Tick mostBack = 50000;
inline constexpr Tick settleFor = 25000;
inline constexpr Tick trafficFrom = 17500;

}  // namespace corkward::yard
