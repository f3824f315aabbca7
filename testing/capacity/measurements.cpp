#include "measurements.h"

#include <algorithm>

namespace corkward::testing::capacity {

char const* roleName(bool control) {
  return control ? "controller" : "router";
}

double perSecond(double value, Milliseconds ms, std::size_t processes) {
  return value * 1000.0 / static_cast<double>(ms) / static_cast<double>(std::max<std::size_t>(processes, 1));
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double elapsed(Fleet const& fleet, bool succeeded, Milliseconds from) {
  return succeeded ? static_cast<double>(fleet.now() - from) : -1;
}

double processorTime(Tally const& tally) {
  return tally.packUs + tally.unpackUs + tally.handleUs;
}

void startControl(Fleet& fleet) {
  if (!fleet.startControl()) throw SizesError("control: the membership was not founded within its limit");
}

void startNodes(Fleet& fleet) {
  if (!fleet.startNodes()) throw SizesError("nodes: not all stand within the limit");
}

void startAndStabilize(Fleet& fleet) {
  startControl(fleet);
  fleet.configure();
  startNodes(fleet);
  fleet.run(stabilizationTime);
}

}  // namespace corkward::testing::capacity
