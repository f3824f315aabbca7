#pragma once

#include <string>
#include <vector>

#include <corkward/alerting/rules.h>

namespace corkward::programs {

/// Reads the metrics pages of all targets. Each sample gets the labels `target` and, when it is known, `zone`; the
/// sample corkward_up of each target says whether its page could be read.
/// @param targets ip:port or zone=ip:port
std::vector<alerting::Sample> scrapeMetrics(std::vector<std::string> const& targets);

}  // namespace corkward::programs
