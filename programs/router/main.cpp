#include "router_daemon.h"

namespace corkward::programs {

namespace {

/// The data plane's daemon with the product's own surface.
struct OwnRouter {
  explicit OwnRouter(Settings const& settings) : router(settings, dataplane::RouterTuning{}, mapping) {}
  http::NativeMapping mapping;
  RouterDaemon router;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runProgram<corkward::programs::OwnRouter>("corkward-router",
                                                                       corkward::programs::Role::router, argc, argv);
}
