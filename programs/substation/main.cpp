#include "substation_program.h"

namespace corkward::programs {

namespace {

/// The control plane's daemon with the product's own surface.
struct OwnSubstation {
  explicit OwnSubstation(Settings const& settings) : substation(settings, corkward::substation::Tuning{}, mapping) {}
  door::OwnOperatorMapping mapping;
  Substation substation;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runProgram<corkward::programs::OwnSubstation>("corkward-substation", corkward::programs::Role::substation, argc, argv);
}
