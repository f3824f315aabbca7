#pragma once

#include <string>
#include <vector>

#include <corkward/alerting/expression.h>

namespace corkward::programs {

/// Reads the metrics of all targets. Each sample gets the label `target` and, if the zone is known, the label `zone`.
/// For each target the sample corkward_up is added, which is 1 if the metrics could be read and else 0.
/// @param targets ip:port or zone=ip:port
std::vector<alerting::Sample> scrapeMetrics(std::vector<std::string> const& targets);

}  // namespace corkward::programs
