#pragma once

#include <cstdint>
#include <string>

namespace corkward::programs {

/// Type of a metric, as the Prometheus text format names it.
enum class MetricType { counter, gauge };

/// Returns a metric without labels, preceded by its type, in the Prometheus text format.
std::string metricText(std::string const& name, MetricType type, std::uint64_t value);

}  // namespace corkward::programs
