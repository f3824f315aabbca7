#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/control/controller.h>
#include <corkward/control/validator.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>
#include <corkward/transport/link.h>

#include "graceful_shutdown.h"
#include "log_writer.h"
#include "process.h"
#include "process_memory.h"
#include "settings.h"

namespace corkward::programs {

/// Configuration of a controller's HTTP interface, for deployments in which it differs from the product's own.
struct ControllerSurface {
  /// Addresses to listen at, ip:port. Operators and the platform are served at each of them. Empty to use only
  /// Settings::http.
  std::vector<std::string> addresses = {};
  http::ServerLimits limits = http::ServerLimits{.bodyLimitBytes = control::maxFleetConfigurationBytes};
  /// Interval of the reducer's timer events, in milliseconds.
  int timerIntervalMs = 25;
  /// Whether /healthz, /readyz and /metrics are served.
  bool standardEndpoints = true;
};

/// Runs the control plane's reducer and connects it with the links to peers, the operators' HTTP server and the
/// write-ahead log.
class ControlDaemon : public QObject {
 public:
  /// The mapping must outlive the daemon. Throws core::Error if the data directory cannot be opened and locked or an
  /// address cannot be bound.
  ControlDaemon(Settings const& settings, control::ControllerTuning const& tuning, http::OperatorMapping const& mapping,
                ControllerSurface surface = {});

  http::Server& server() { return server_; }
  control::Controller const& reducer() const { return *reducer_; }
  bool ready() const;
  /// Returns counters and gauges in the Prometheus text format.
  std::string metrics() const;
  /// Applies the endpoint lists that were just read from the platform; see control::Controller::updateEndpointLists.
  void updateEndpointLists(std::map<std::string, config::EndpointList> const& lists);
  /// Returns whether this controller is the one that reads the platform's endpoint lists for all controllers.
  bool isEndpointListReader() const;
  /// Replaces the addresses of the processes through which this one joins the fleet.
  void updateSeeds(std::vector<std::string> const& seeds);
  /// Replaces the memory that the process may take, in bytes; 0 for a default.
  void setProcessMemory(std::uint64_t bytes) { memory_->setLimit(accountLimitInForce(bytes)); }
  core::MemoryAccount& memory() const { return *memory_; }
  /// Returns the figures of the memory that is held for operators and peers, in the Prometheus text format.
  std::string memoryMetrics() const;
  /// Starts a graceful shutdown, as SIGTERM does.
  void drain();

 private:
  http::Server::Events serverEvents();
  void serve(http::Request const& request);
  void respond(control::OperatorResponse const& response);
  /// Executes the reducer's commands.
  void execute(control::ControllerCommands&& commands);
  void onPersisted(std::vector<std::uint64_t> const& tickets, bool written);
  /// Replaces the reducer by a new one that starts from the recovered log, as if the process had been restarted.
  void restartReducer(storage::RecoveredState const& recovered);
  void probe(std::string const& link);
  void onTimer();

  Settings settings_;
  std::shared_ptr<core::MemoryAccount> memory_;
  MemoryMonitor memoryMonitor_;
  control::ControllerTuning tuning_;
  http::OperatorMapping const& mapping_;
  ControllerSurface surface_;
  GracefulShutdown shutdown_;
  LogWriter log_;
  bool draining_ = false;
  /// Always has a value after construction. An optional, so that restartReducer can construct a new reducer in place.
  std::optional<control::Controller> reducer_;
  /// Calls that have no response yet, without their bodies, keyed by their tokens.
  std::unordered_map<std::uint64_t, transport::OperatorCall> pendingCalls_;
  transport::Link link_;
  http::Server server_;
  QTimer timer_;
};

}  // namespace corkward::programs
