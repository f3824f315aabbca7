#include "metrics_server.h"

#include <corkward/core/http_status.h>
#include <corkward/core/log.h>

#include "events.h"
#include "standard_endpoints.h"

namespace corkward::programs {

namespace {

constexpr int maxConnections = 8;
constexpr int idleTimeoutMs = 10000;
constexpr std::uint64_t requestBodyLimit = 4096;

}  // namespace

MetricsServer::MetricsServer(std::string const& address, std::function<std::string()> metrics)
    : metrics_(std::move(metrics)) {
  if (address.empty()) return;
  http::ServerLimits limits;
  limits.maxConnections = maxConnections;
  limits.idleTimeoutMs = idleTimeoutMs;
  limits.bodyLimitBytes = requestBodyLimit;
  http::Server::Events handlers;
  handlers.request = [this](http::Request const& request) {
    auto const alwaysReady = [] { return true; };
    if (serveStandardEndpoint(*server_, request, alwaysReady, metrics_)) return;
    server_->respond(request.id, core::code(core::HttpStatus::notFound), {}, "");
  };
  try {
    server_ = std::make_unique<http::Server>(address, limits, std::move(handlers));
  } catch (core::Error const& error) {
    core::writeWarning(core::LogEvent{events::metricsUnavailable, {{"error", error.what()}}});
  }
}

}  // namespace corkward::programs
