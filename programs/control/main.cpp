#include "control_daemon.h"

namespace corkward::programs {

namespace {

/// The control plane's daemon with the product's own surface.
struct OwnController {
  explicit OwnController(Settings const& settings)
      : controller(settings, corkward::control::ControllerTuning{}, mapping) {}
  http::NativeOperatorMapping mapping;
  ControlDaemon controller;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runProgram<corkward::programs::OwnController>(
      "corkward-control", corkward::programs::Role::controller, argc, argv);
}
