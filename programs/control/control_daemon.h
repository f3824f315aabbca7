#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
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
#include "settings.h"

namespace corkward::programs {

/// How a controller is reached, when that differs from the product's own HTTP surface.
struct ControllerSurface {
  /// Addresses for operators and the platform, ip:port, all served alike; empty: Settings::http.
  std::vector<std::string> addresses = {};
  http::ServerLimits limits = http::ServerLimits{.body = control::maxFleetConfigurationBytes};
  /// Interval of the reducer's timer events, in milliseconds.
  int timerIntervalMs = 25;
  /// Whether /healthz, /readyz and /metrics are served.
  bool standardEndpoints = true;
};

/// Runs the control plane's reducer: joins it with the links to peers, the operators' HTTP server and the write-ahead
/// log.
class ControlDaemon : public QObject {
 public:
  /// The mapping must outlive the daemon. Throws core::Error when the disk or an address cannot be had.
  ControlDaemon(Settings const& settings, control::ControllerTuning const& tuning, http::OperatorMapping const& mapping,
                ControllerSurface surface = {});

  http::Server& server() { return server_; }
  control::Controller const& reducer() const { return *reducer_; }
  bool ready() const;
  /// Counters and gauges in the Prometheus text format.
  std::string metrics() const;
  /// Takes over the platform's endpoint lists as they were just read; see control::Controller::updateEndpointLists.
  void updateEndpointLists(std::map<std::string, config::EndpointList> const& lists);
  /// Whether this controller reads the platform's endpoint lists on behalf of all.
  bool isEndpointListReader() const;
  /// Processes to join by from here on.
  void updateSeeds(std::vector<std::string> const& seeds);
  /// Starts a graceful shutdown, as SIGTERM does.
  void drain();

 private:
  http::Server::Events serverEvents();
  void serve(http::Request const& request);
  void respond(control::OperatorResponse const& response);
  /// Carries the reducer's commands out.
  void execute(control::ControllerCommands&& commands);
  void onPersisted(std::vector<std::uint64_t> const& tickets, bool written);
  /// Replaces the reducer by a new one that starts from the recovered log, as after a restart of the process.
  void restartReducer(storage::RecoveredState const& recovered);
  void probe(std::string const& link);
  void onTimer();

  Settings settings_;
  control::ControllerTuning tuning_;
  http::OperatorMapping const& mapping_;
  ControllerSurface surface_;
  GracefulShutdown shutdown_;
  LogWriter log_;
  bool draining_ = false;
  /// Engaged from the constructor on; replaced as a whole by restartReducer.
  std::optional<control::Controller> reducer_;
  /// Calls without an answer by their token, each without its body.
  std::unordered_map<std::uint64_t, transport::OperatorCall> pendingCalls_;
  transport::Link link_;
  http::Server server_;
  QTimer timer_;
};

}  // namespace corkward::programs
