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

void startControllers(Fleet& fleet) {
  if (!fleet.startControllers())
    throw SizesError("control: the controllers did not found their membership within 60 s");
}

void startRouters(Fleet& fleet) {
  if (!fleet.startRouters()) throw SizesError("nodes: not all routers got a serving lease within 60 s");
}

void startAndStabilize(Fleet& fleet) {
  startControllers(fleet);
  fleet.configure();
  startRouters(fleet);
  fleet.run(stabilizationTime);
}

}  // namespace corkward::testing::capacity
