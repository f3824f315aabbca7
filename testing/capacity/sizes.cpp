#include "sizes.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/lexical_cast.hpp>
#include <iterator>

#include <corkward/config/config.h>

namespace corkward::testing::capacity {

void setSize(Sizes& sizes, std::string const& name, std::int64_t value) {
  SizeOption const* const size =
      std::find_if(std::begin(sizeTable), std::end(sizeTable), [&](SizeOption const& r) { return name == r.name; });
  if (size == std::end(sizeTable)) throw SizesError("sweep: no such size: " + name);
  if (value < size->min || value > size->max)
    throw SizesError(name + ": must be " + std::to_string(size->min) + " to " + std::to_string(size->max) + ", not " +
                     std::to_string(value));
  sizes.*(size->field) = value;
}

void checkSizes(Sizes const& sizes) {
  if (sizes.zones < sizes.regions) throw SizesError("zones: must be at least as many as regions");
  if (sizes.replicas < sizes.models) throw SizesError("replicas: must be at least as many as models");
  std::int64_t const each = (sizes.tenants + sizes.templates - 1) / sizes.templates;
  if (each > static_cast<std::int64_t>(config::maxInstances))
    throw SizesError("tenants: more than " + std::to_string(config::maxInstances) + " for one template");
  if (each * sizes.paths > static_cast<std::int64_t>(config::maxRenderedPaths))
    throw SizesError("paths: more than " + std::to_string(config::maxRenderedPaths) +
                     " for the tenants of one template");
  if (sizes.changes > 0 && sizes.tenants == 0) throw SizesError("changes: there is no tenant to change");
}

Sweep readSweep(std::string const& text) {
  std::size_t const eq = text.find('=');
  if (eq == std::string::npos) throw SizesError("sweep: must be NAME=VALUE,VALUE,... , not " + text);
  Sweep out;
  out.name = text.substr(0, eq);
  std::string const list = text.substr(eq + 1);
  std::vector<std::string> parts;
  boost::split(parts, list, boost::is_any_of(","));
  for (std::string const& part : parts) {
    std::int64_t value = 0;
    if (!boost::conversion::try_lexical_convert(part, value))
      throw SizesError("sweep: must be an integer for " + out.name + ": " + part);
    Sizes scratch;
    setSize(scratch, out.name, value);
    out.values.push_back(value);
  }
  return out;
}

}  // namespace corkward::testing::capacity
