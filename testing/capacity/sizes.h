#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::testing::capacity {

/// A size that the rig cannot run at: the argument's name and the reason.
class SizesError : public core::Error {
 public:
  using core::Error::Error;
};

/// Sizes of one run; everything else follows from the seed.
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

/// One argument: its name, its bounds and what it says.
struct SizeOption {
  char const* name;
  std::int64_t Sizes::*field;
  std::int64_t least;
  std::int64_t most;
  char const* what;
};

inline constexpr SizeOption sizeTable[] = {
    {"seed", &Sizes::seed, 0, std::int64_t{1} << 52, "first of all random numbers"},
    {"nodes", &Sizes::nodes, 1, 2000, "router nodes"},
    {"control", &Sizes::control, 1, 9, "control machines"},
    {"regions", &Sizes::regions, 1, 16, "regions"},
    {"zones", &Sizes::zones, 1, 64, "zones, dealt out to the regions in turn"},
    {"models", &Sizes::models, 1, 64, "models, a pool of replicas each"},
    {"replicas", &Sizes::replicas, 1, 20000, "replicas, dealt out to the models in turn"},
    {"templates", &Sizes::templates, 1, 2000, "templates, a family each"},
    {"tenants", &Sizes::tenants, 0, 20000, "instances, dealt out to the templates in turn"},
    {"paths", &Sizes::paths, 1, 1000, "paths of a template"},
    {"sessions", &Sizes::sessions, 0, 2000000, "sessions that one node sees"},
    {"prefixes", &Sizes::prefixes, 0, 2000000, "shared prefixes that one node sees"},
    {"calls", &Sizes::calls, 0, 100000, "calls in hand at one node"},
    {"changes", &Sizes::changes, 0, 8640000, "changes of the configuration a day"},
    {"apart", &Sizes::interRegionDelay, 0, 1000, "milliseconds from region to region, one way"},
    {"seconds", &Sizes::seconds, 1, 3600, "virtual seconds that are counted"}};

/// Sets one size by its name; throws SizesError with the name and the reason.
void setSize(Sizes& sizes, std::string const& name, std::int64_t value);
/// Checks what one argument's bounds cannot say; throws SizesError.
void checkSizes(Sizes const& sizes);

/// One argument that is run at several sizes.
struct Sweep {
  std::string name;
  std::vector<std::int64_t> values;
};

/// Reads NAME=VALUE,VALUE,...; throws SizesError.
Sweep readSweep(std::string const& text);

}  // namespace corkward::testing::capacity
