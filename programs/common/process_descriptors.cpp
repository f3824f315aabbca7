#include "process_descriptors.h"

#include <corkward/core/descriptor_limit.h>
#include <corkward/core/log.h>

#include "events.h"
#include "metrics_text.h"

namespace corkward::programs {

void setProcessDescriptors(std::uint64_t stated) {
  std::uint64_t const before = core::descriptorLimits().inForce;
  core::DescriptorLimits const limits = core::applyDescriptorLimit(stated);
  core::LogEvent const event{events::descriptorLimit,
                             {{"stated", std::to_string(stated)},
                              {"before", std::to_string(before)},
                              {"in-force", std::to_string(limits.inForce)},
                              {"highest", std::to_string(limits.highest)}}};
  if (limits.inForce < stated)
    core::writeWarning(event);
  else
    core::writeLog(event);
}

std::string descriptorMetrics() {
  return metricText("corkward_descriptor_limit", MetricType::gauge, core::descriptorLimits().inForce);
}

}  // namespace corkward::programs
