#include "metrics_text.h"

namespace corkward::programs {

std::string metricText(std::string const& name, MetricType type, std::uint64_t value) {
  std::string const typeName = type == MetricType::counter ? "counter" : "gauge";
  return "# TYPE " + name + " " + typeName + "\n" + name + " " + std::to_string(value) + "\n";
}

}  // namespace corkward::programs
