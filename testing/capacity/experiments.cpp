#include "experiments.h"

#include <algorithm>
#include <iterator>

namespace corkward::testing::capacity {

Experiment const* findExperiment(std::string const& name) {
  Experiment const* const found = std::find_if(std::begin(experiments), std::end(experiments),
                                               [&](Experiment const& experiment) { return name == experiment.name; });
  return found == std::end(experiments) ? nullptr : found;
}

}  // namespace corkward::testing::capacity
