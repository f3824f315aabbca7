/// corkward-control: the control plane's daemon with the product's own HTTP interface.

#include "control_daemon.h"

namespace corkward::programs {

namespace {

struct NativeController {
  explicit NativeController(Settings const& settings) : daemon(settings, control::ControllerTuning{}, mapping) {}
  http::NativeOperatorMapping mapping;
  ControlDaemon daemon;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  namespace programs = corkward::programs;
  return programs::runDaemon<programs::NativeController>("corkward-control", programs::Role::controller, argc, argv);
}
