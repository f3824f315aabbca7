#include "metrics_server.h"

#include <corkward/core/log.h>

#include "process.h"

namespace corkward::programs {

namespace {

constexpr int mostConnections = 8;
constexpr int idleMs = 10000;

}  // namespace

MetricsServer::MetricsServer(std::string const& address, std::function<std::string()> metrics)
    : metrics_(std::move(metrics)) {
  if (address.empty()) return;
  http::ServerLimits limits;
  limits.connections = mostConnections;
  limits.idleMs = idleMs;
  http::Server::Events events;
  events.request = [this](http::Request const& request) {
    if (plainPage(
            *server_, request, [] { return true; }, metrics_))
      return;
    server_->answer(request.id, 404, {}, "");
  };
  try {
    server_ = std::make_unique<http::Server>(address, limits, std::move(events));
  } catch (http::HttpError const& e) {
    core::writeWarning(core::LogEvent{"metrics-unavailable", {{"error", e.what()}}});
  }
}

}  // namespace corkward::programs
