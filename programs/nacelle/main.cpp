#include "nacelle.h"

namespace corkward::programs {

namespace {

/// The data plane's daemon with the product's own surface.
struct OwnNacelle {
  explicit OwnNacelle(Settings const& settings) : nacelle(settings, rotor::Tuning{}, mapping) {}
  door::OwnMapping mapping;
  Nacelle nacelle;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runProgram<corkward::programs::OwnNacelle>("corkward-nacelle", corkward::programs::Role::nacelle, argc, argv);
}
