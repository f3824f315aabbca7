#pragma once

#include <functional>
#include <string>

#include <corkward/http/server.h>

namespace corkward::programs {

/// Returns the path of a request without its query.
std::string pathOf(http::Request const& request);

/// Responds to a readiness check with status 200 if `ready`, else 503.
void respondReadiness(http::Server& server, http::Request const& request, bool ready);

/// Serves the endpoints that every daemon has: liveness (/healthz), readiness (/readyz) and metrics (/metrics).
/// @param ready returns whether load balancers should direct callers to this process; called only for /readyz
/// @param metrics returns the metrics in Prometheus' text format; called only for /metrics
/// @return false, without a response, if the request is for another path
bool serveStandardEndpoint(http::Server& server, http::Request const& request, std::function<bool()> const& ready,
                           std::function<std::string()> const& metrics);

}  // namespace corkward::programs
