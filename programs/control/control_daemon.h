#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/workers.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>
#include <corkward/storage/write_ahead_log.h>
#include <corkward/transport/link.h>
#include <corkward/control/validator.h>
#include <corkward/control/controller.h>

#include "process.h"
#include "settings.h"

namespace corkward::programs {

class ControlDaemon;

/// What another surface than the product's own puts in its place.
struct ControllerSurface {
  /// Where operators and the platform are listened for, all served alike; empty: at Settings::http.
  std::vector<std::string> http = {};
  http::ServerLimits limits = http::ServerLimits{.body = control::maxFleetConfigurationBytes};
  /// How often the plane is told the time, in milliseconds.
  int clockEveryMs = 25;
  /// Answers a request that is none of an operator's; false: it is one.
  std::function<bool(ControlDaemon&, http::Request const&)> pages = {};
  /// Whether /healthz, /readyz and /metrics are served, after those.
  bool ownPages = true;
};

/// Puts the control plane's library together with its links, its HTTP edge and its disk.
class ControlDaemon : public QObject {
 public:
  /// The mapping must outlive it.
  ControlDaemon(Settings const& settings, control::ControllerTuning const& tuning, http::OperatorMapping const& mapping,
                ControllerSurface surface = {});

  http::Server& server() { return server_; }
  control::Controller const& reducer() const { return *reducer_; }
  bool ready() const;
  /// Counters in Prometheus' text form.
  std::string metrics() const;
  /// The platform's lists as they were just read; see control::Controller::platformLists.
  void platformLists(std::map<std::string, config::EndpointList> const& lists);
  bool readsLists() const;
  /// Other seeds from here on.
  void retune(std::vector<std::string> const& seeds);
  /// As SIGTERM.
  void drain();

 private:
  http::Server::Events events();
  /// Reads the log; on a disk that fails, "damaged", and the log takes no write.
  storage::RecoveredState recoverAtStart();
  void setAside();
  void serve(http::Request request);
  void answer(control::OperatorResponse const& a);
  void run(control::ControllerCommands&& commands);
  void probe(std::string const& link);
  /// Reads the write-ahead log again and writes what it says anew, on the worker; when that goes well the plane starts
  /// over from it, as after a restart of the process.
  void tryDisk();
  void startOver(storage::RecoveredState const& got);
  void clockEvent();

  Settings settings_;
  control::ControllerTuning tuning_;
  http::OperatorMapping const& mapping_;
  ControllerSurface surface_;
  Drain drain_;
  std::uint64_t seed_;
  std::unique_ptr<storage::Directory> folder_;
  FolderLock lock_;
  std::unique_ptr<storage::WriteAheadLog> log_;
  /// Lives of the plane: one more after each failure of the disk; the second is the worker's own count.
  std::uint64_t life_ = 0;
  std::uint64_t diskLife_ = 0;
  bool draining_ = false;
  std::optional<control::Controller> reducer_;
  std::unordered_map<std::uint64_t, transport::OperatorCall> calls_;
  transport::Link link_;
  http::Server server_;
  QTimer clock_;
  QTimer diskAgain_;
  core::WorkerPool disk_;
};

}  // namespace corkward::programs
