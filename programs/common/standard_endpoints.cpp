#include "standard_endpoints.h"

#include <corkward/core/http_status.h>

#include "metrics_text.h"

namespace corkward::programs {

namespace {

constexpr char const* plainText = "text/plain";
constexpr char const* prometheusText = "text/plain; version=0.0.4";

std::string malformedRequestsMetric(http::Server const& server) {
  return metricText("corkward_malformed_requests_total", MetricType::counter, server.malformed());
}

}  // namespace

std::string pathOf(http::Request const& request) {
  return request.target.substr(0, request.target.find('?'));
}

void respondReadiness(http::Server& server, http::Request const& request, bool ready) {
  auto const status = ready ? core::HttpStatus::ok : core::HttpStatus::serviceUnavailable;
  server.answer(request.id, core::code(status), {{"content-type", plainText}}, ready ? "ready\n" : "not ready\n");
}

bool serveStandardEndpoint(http::Server& server, http::Request const& request, std::function<bool()> const& ready,
                           std::function<std::string()> const& metrics) {
  int const ok = core::code(core::HttpStatus::ok);
  std::string const path = pathOf(request);
  if (path == "/healthz") {
    server.answer(request.id, ok, {{"content-type", plainText}}, "ok\n");
  } else if (path == "/readyz") {
    respondReadiness(server, request, ready());
  } else if (path == "/metrics") {
    server.answer(request.id, ok, {{"content-type", prometheusText}}, metrics() + malformedRequestsMetric(server));
  } else {
    return false;
  }
  return true;
}

}  // namespace corkward::programs
