#include "process_descriptors.h"

#include <corkward/core/descriptor_limit.h>
#include <corkward/core/log.h>

#include "events.h"
#include "metrics_text.h"

namespace corkward::programs {

namespace {

constexpr int checkIntervalMs = 500;

}  // namespace

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

DescriptorLimitGuard::DescriptorLimitGuard() : inForce_(core::descriptorLimits().inForce) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { check(); });
  timer_.start(checkIntervalMs);
}

void DescriptorLimitGuard::check() {
  std::uint64_t const former = inForce_;
  std::uint64_t const lowered = core::descriptorLimits().inForce;
  inForce_ = lowered;
  if (lowered >= former) return;
  core::DescriptorLimits const limits = core::raiseDescriptorLimitAboveUse(former);
  inForce_ = limits.inForce;
  core::writeWarning(core::LogEvent{events::descriptorLimitLowered,
                                    {{"before", std::to_string(former)},
                                     {"lowered-to", std::to_string(lowered)},
                                     {"in-force", std::to_string(limits.inForce)},
                                     {"highest", std::to_string(limits.highest)}}});
}

std::string descriptorMetrics() {
  return metricText("corkward_descriptor_limit", MetricType::gauge, core::descriptorLimits().inForce);
}

}  // namespace corkward::programs
