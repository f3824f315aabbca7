#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::testing::capacity {

/// Thrown for a size at which no experiment can run. The text has the argument's name and the reason.
class SizesError : public core::Error {
 public:
  using core::Error::Error;
};

/// Sizes of one run. Everything else follows from the seed.
struct Sizes {
  std::int64_t seed = 1;
  std::int64_t nodes = 8;
  std::int64_t control = 6;
  std::int64_t regions = 2;
  std::int64_t zones = 6;
  std::int64_t models = 6;
  std::int64_t replicas = 60;
  std::int64_t templates = 6;
  std::int64_t tenants = 12;
  std::int64_t paths = 4;
  std::int64_t sessions = 0;
  std::int64_t prefixes = 0;
  std::int64_t calls = 0;
  std::int64_t changes = 0;
  std::int64_t interRegionDelay = 20;
  std::int64_t seconds = 3;
};

/// A command line argument with its bounds.
struct SizeOption {
  char const* name;
  std::int64_t Sizes::*field;
  std::int64_t min;
  std::int64_t max;
  char const* description;
};

inline constexpr SizeOption sizeTable[] = {
    {"seed", &Sizes::seed, 0, std::int64_t{1} << 52, "seed of the random numbers"},
    {"nodes", &Sizes::nodes, 1, 2000, "routers"},
    {"control", &Sizes::control, 1, 9, "controllers"},
    {"regions", &Sizes::regions, 1, 16, "regions"},
    {"zones", &Sizes::zones, 1, 64, "zones, spread over the regions"},
    {"models", &Sizes::models, 1, 64, "models, each with a pool of replicas"},
    {"replicas", &Sizes::replicas, 1, 20000, "replicas, spread over the models"},
    {"templates", &Sizes::templates, 1, 2000, "templates (each is a configuration family)"},
    {"tenants", &Sizes::tenants, 0, 20000, "instances (tenants), spread over the templates"},
    {"paths", &Sizes::paths, 1, 1000, "paths of a template"},
    {"sessions", &Sizes::sessions, 0, 2000000, "request ids that one router sees"},
    {"prefixes", &Sizes::prefixes, 0, 2000000, "prompt prefixes that one router sees"},
    {"calls", &Sizes::calls, 0, 100000, "calls in progress at one router"},
    {"changes", &Sizes::changes, 0, 8640000, "configuration changes per day"},
    {"apart", &Sizes::interRegionDelay, 0, 1000, "one-way delay between regions in ms"},
    {"seconds", &Sizes::seconds, 1, 3600, "virtual seconds that are measured"}};

/// Sets one size by its name. Throws SizesError if the name is unknown or the value is out of bounds.
void setSize(Sizes& sizes, std::string const& name, std::int64_t value);
/// Checks the rules that concern several sizes. Throws SizesError.
void checkSizes(Sizes const& sizes);

/// A size and the values at which the experiment runs.
struct Sweep {
  std::string name;
  std::vector<std::int64_t> values;
};

/// Parses NAME=VALUE,VALUE,... Throws SizesError.
Sweep readSweep(std::string const& text);

}  // namespace corkward::testing::capacity
