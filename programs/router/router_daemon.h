#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
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
#include "process_memory.h"
#include "request_relay.h"
#include "settings.h"

namespace corkward::programs {

/// What a router serves at a listen address. A request is served only as the role of its own address says.
enum class ListenerRole {
  /// Callers: every request is routed to a replica, whatever its path.
  callers,
  /// Readiness checks: RouterSurface::readinessPath and nothing else.
  readiness,
  /// The product's own interface: callers, operators and the platform, told apart by their paths.
  combined
};

struct RouterListener {
  /// Address to listen at, ip:port.
  std::string address;
  ListenerRole role = ListenerRole::combined;
};

/// Configuration of a router's HTTP interface, for deployments in which it differs from the product's own.
struct RouterSurface {
  /// Empty for one listener at Settings::http with the role `combined`.
  std::vector<RouterListener> listeners = {};
  /// Path of the readiness checks at listeners with the role `readiness`.
  std::string readinessPath = {};
  http::ServerLimits limits = {};
  /// Policy for keeping connections to replicas open for further requests.
  http::KeepAlivePolicy keepAlive = {};
  /// Interval of the reducer's timer events, in milliseconds.
  int timerIntervalMs = 20;
  /// Computes the limits of the callers' HTTP server from those of the fleet configuration. Called each time the latter
  /// change. Empty if the limits are fixed.
  std::function<http::ServerLimits(config::HttpLimits const&)> deriveServerLimits = {};
  /// Seed of the reducer's random choices, so that tests can repeat them; 0 for a random seed.
  std::uint64_t seed = 0;
};

/// Runs the data plane's reducer and connects it with the links to peers, the callers' HTTP server, the connections to
/// replicas and the audit log.
class RouterDaemon : public QObject {
 public:
  /// The mapping must outlive the daemon. Throws core::Error if an address cannot be bound or the audit directory
  /// cannot be opened and locked.
  RouterDaemon(Settings const& settings, dataplane::RouterTuning const& tuning, http::Mapping const& mapping,
               RouterSurface surface = {});

  http::Server& server() { return server_; }
  http::UpstreamPool& upstreams() { return upstreams_; }
  dataplane::RequestRouter const& reducer() const { return reducer_; }
  /// Returns whether load balancers should direct callers to this router.
  bool ready() const;
  /// Returns counters and gauges in the Prometheus text format.
  std::string metrics() const;
  /// Applies the endpoint list of a pool that the platform supplied.
  void updateEndpointList(std::string const& pool, std::string const& body);
  /// Replaces the tuning parameters and the seeds.
  void retune(dataplane::RouterTuning const& tuning, std::vector<std::string> const& seeds);
  /// Replaces the memory that the process may take, in bytes; 0 for a default.
  void setProcessMemory(std::uint64_t bytes) { memory_->setLimit(accountLimitInForce(bytes)); }
  /// Returns the figures of the memory that is held for callers and peers, in the Prometheus text format.
  std::string memoryMetrics() const;
  /// Starts a graceful shutdown, as SIGTERM does.
  void drain();

 private:
  http::Server::Events serverEvents();
  RequestRelay::Events relayEvents();
  void serve(http::Request request);
  void serveReadinessCheck(http::Request const& request);
  /// Serves the product's own endpoints: /healthz, /readyz, /metrics, /v1/state and the platform's endpoint lists.
  /// Returns false, without a response, for any other request.
  bool serveNativeEndpoint(http::Request const& request);
  /// Maps a caller's request and passes it to the reducer.
  void routeRequest(http::Request request);
  void respondState(http::Request const& request);
  /// Executes the reducer's commands.
  void execute(dataplane::RouterCommands&& commands);
  void execute(dataplane::EndpointListResponse const& command);
  template <class Command>
  void execute(Command const& command) {
    relay_.execute(command);
  }
  void onTimer();

  Settings settings_;
  std::shared_ptr<core::MemoryAccount> memory_;
  MemoryMonitor memoryMonitor_;
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
  /// Limits of the fleet configuration from which the server's current limits were derived.
  config::HttpLimits httpLimits_;
};

}  // namespace corkward::programs
