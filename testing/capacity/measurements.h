#pragma once

#include <string>
#include <vector>

#include "fleet.h"
#include "sizes.h"

/// Measured values, and helpers that the experiments share.
namespace corkward::testing::capacity {

/// Kinds of measurements: `counted` values depend only on the sizes and the seed, `timed` ones are processor time,
/// `heap` ones are bytes of memory.
inline constexpr char const* counted = "counted";
inline constexpr char const* timed = "timed";
inline constexpr char const* heap = "heap";

/// One measured value.
struct Measurement {
  std::string measure;
  /// router, controller or operator. Values are per process of the role unless the measure says otherwise.
  std::string role;
  std::string unit;
  std::string kind;
  double value = 0;
};

using Measurements = std::vector<Measurement>;

/// Virtual time after the start of a fleet until measurements begin, in ms.
inline constexpr Milliseconds stabilizationTime = 12000;
/// Longest virtual time that an experiment waits for the event it measures, in ms.
inline constexpr Milliseconds longestWait = 30000;

/// Returns the name of a role in the output.
char const* roleName(bool control);
/// Converts a total over `ms` milliseconds to a rate per second and process.
double perSecond(double value, Milliseconds ms, std::size_t processes);
double median(std::vector<double> values);
/// Returns the milliseconds since `from`, or -1 if the operation did not succeed.
double elapsed(Fleet const& fleet, bool succeeded, Milliseconds from);
/// Returns the processor time of all messages of a tally, in microseconds.
double processorTime(Tally const& tally);

/// Starts the controllers. Throws SizesError if they don't found their membership in time.
void startControllers(Fleet& fleet);
/// Starts the routers. Throws SizesError if one doesn't get a serving lease in time.
void startRouters(Fleet& fleet);
/// Starts the complete fleet with its configuration and waits for `stabilizationTime`.
void startAndStabilize(Fleet& fleet);

}  // namespace corkward::testing::capacity
