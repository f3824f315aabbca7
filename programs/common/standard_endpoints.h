#pragma once

#include <functional>
#include <string>

#include <corkward/http/server.h>

namespace corkward::programs {

/// Path of a request without its query.
std::string pathOf(http::Request const& request);

/// Answers a readiness check: 200 or 503.
void respondReadiness(http::Server& server, http::Request const& request, bool ready);

/// Serves the endpoints that every daemon has: liveness (/healthz), readiness (/readyz) and metrics (/metrics).
/// @param ready whether callers should be sent here, evaluated for /readyz alone
/// @param metrics the metrics page in Prometheus' text format, evaluated for /metrics alone
/// @return false when the request is for another path; it was not answered then
bool serveStandardEndpoint(http::Server& server, http::Request const& request, std::function<bool()> const& ready,
                           std::function<std::string()> const& metrics);

}  // namespace corkward::programs
