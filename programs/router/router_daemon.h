#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <corkward/dataplane/request_router.h>
#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>
#include <corkward/http/upstream_pool.h>
#include <corkward/transport/link.h>

#include "audit_recorder.h"
#include "graceful_shutdown.h"
#include "process.h"
#include "request_relay.h"
#include "settings.h"

namespace corkward::programs {

class RouterDaemon;

/// How a router is reached, when that differs from the product's own HTTP surface.
struct RouterSurface {
  /// Addresses for callers, operators and the platform, ip:port, all served alike; empty: Settings::http.
  std::vector<std::string> addresses = {};
  http::ServerLimits limits = {};
  /// Connections to replicas that are kept for further requests.
  http::KeepAlivePolicy keepAlive = {};
  /// Interval of the reducer's timer events, in milliseconds.
  int timerIntervalMs = 20;
  /// Answers a request that is not a caller's and returns true; false: the request is a caller's.
  std::function<bool(RouterDaemon&, http::Request const&)> extraEndpoints = {};
  /// Whether the product's own endpoints (/healthz, /readyz, /metrics, /v1/state, the platform's endpoint lists) are
  /// served, after those.
  bool standardEndpoints = true;
  /// Limits of the callers' HTTP server under the fleet configuration's, applied when these change; empty: they stay.
  std::function<http::ServerLimits(config::HttpLimits const&)> limitsUnder = {};
  /// Seed of the reducer's random choices, so that tests can repeat them; 0: a random one.
  std::uint64_t seed = 0;
};

/// Runs the data plane's reducer: joins it with the links to peers, the callers' HTTP server, the connections to
/// replicas and the audit log.
class RouterDaemon : public QObject {
 public:
  /// The mapping must outlive the daemon. Throws core::Error when an address or the audit directory cannot be had.
  RouterDaemon(Settings const& settings, dataplane::RouterTuning const& tuning, http::Mapping const& mapping,
               RouterSurface surface = {});

  http::Server& server() { return server_; }
  http::UpstreamPool& upstreams() { return upstreams_; }
  dataplane::RequestRouter const& reducer() const { return reducer_; }
  /// Whether callers should be sent here.
  bool ready() const;
  /// Counters and gauges in the Prometheus text format.
  std::string metrics() const;
  /// Takes over the platform's endpoint list of a pool.
  void updateEndpointList(std::string const& pool, std::string const& body);
  /// Parameters and seeds from here on.
  void retune(dataplane::RouterTuning const& tuning, std::vector<std::string> const& seeds);
  /// Starts a graceful shutdown, as SIGTERM does.
  void drain();

 private:
  http::Server::Events serverEvents();
  RequestRelay::Events relayEvents();
  void serve(http::Request request);
  bool serveNativeEndpoint(http::Request const& request);
  void respondState(http::Request const& request);
  /// Carries the reducer's commands out.
  void execute(dataplane::RouterCommands&& commands);
  void execute(dataplane::EndpointListResponse const& command);
  template <class Command>
  void execute(Command const& command) {
    relay_.execute(command);
  }
  void onTimer();

  Settings settings_;
  http::Mapping const& mapping_;
  http::NativeOperatorMapping operatorMapping_;
  RouterSurface surface_;
  GracefulShutdown shutdown_;
  dataplane::RequestRouter reducer_;
  AuditRecorder recorder_;
  transport::Link link_;
  http::UpstreamPool upstreams_;
  http::Server server_;
  RequestRelay relay_;
  QTimer timer_;
  /// Limits of the fleet configuration that the server's were derived from last.
  config::HttpLimits httpLimits_;
};

}  // namespace corkward::programs
