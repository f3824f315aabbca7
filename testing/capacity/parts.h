#pragma once

#include <string>
#include <vector>

#include "sizes.h"

namespace corkward::testing::capacity {

/// One figure. Counted ones follow from the seed alone; timed ones are processor time, heap ones bytes of memory.
struct Row {
  std::string measure;
  /// router, controller or operator; figures are per process of the role unless the measure says otherwise.
  std::string role;
  std::string unit;
  std::string kind;
  double value = 0;
};

using Rows = std::vector<Row>;

/// One part of the rig.
struct PartRow {
  char const* name;
  Rows (*run)(Sizes const&);
  char const* what;
};

/// Parts of the rig, ended by a row without a name.
extern PartRow const partTable[];

/// Part of a name, or null.
PartRow const* findPart(std::string const& name);

}  // namespace corkward::testing::capacity
