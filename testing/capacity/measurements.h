#pragma once

#include <string>
#include <vector>

#include "fleet.h"
#include "sizes.h"

/// Figures of the rig, and what all experiments need to take them.
namespace corkward::testing::capacity {

/// Kinds of figures: counted ones follow from the seed alone, timed ones are processor time, heap ones bytes of memory.
inline constexpr char const* counted = "counted";
inline constexpr char const* timed = "timed";
inline constexpr char const* heap = "heap";

/// One figure.
struct Measurement {
  std::string measure;
  /// router, controller or operator; figures are per process of the role unless the measure says otherwise.
  std::string role;
  std::string unit;
  std::string kind;
  double value = 0;
};

using Measurements = std::vector<Measurement>;

/// Virtual time that a started fleet gets to come to rest, ms.
inline constexpr Milliseconds stabilizationTime = 12000;
/// Longest virtual time that an experiment waits for what it measures, ms.
inline constexpr Milliseconds longestWait = 30000;

/// Role of a process as the figures name it.
char const* roleName(bool control);
/// A total over `ms` milliseconds as a rate per second and process.
double perSecond(double value, Milliseconds ms, std::size_t processes);
double median(std::vector<double> values);
/// Milliseconds since `from` when it succeeded, else -1.
double elapsed(Fleet const& fleet, bool succeeded, Milliseconds from);
/// Processor time of all messages of a tally, microseconds.
double processorTime(Tally const& tally);

/// Starts the control machines; throws SizesError when they don't found their membership in time.
void startControl(Fleet& fleet);
/// Starts the nodes; throws SizesError when one doesn't serve in time.
void startNodes(Fleet& fleet);
/// Starts the complete fleet with its configuration and lets it come to rest.
void startAndStabilize(Fleet& fleet);

}  // namespace corkward::testing::capacity
