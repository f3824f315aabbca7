/// corkward-router: the data plane's daemon with the product's own HTTP interface.

#include "router_daemon.h"

namespace corkward::programs {

namespace {

struct NativeRouter {
  explicit NativeRouter(Settings const& settings) : daemon(settings, dataplane::RouterTuning{}, mapping) {}
  http::NativeMapping mapping;
  RouterDaemon daemon;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  namespace programs = corkward::programs;
  return programs::runDaemon<programs::NativeRouter>("corkward-router", programs::Role::router, argc, argv);
}
