#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/upstream_pool.h>
#include <corkward/http/server.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>
#include <corkward/transport/link.h>

#include "process.h"
#include "records.h"
#include "settings.h"

namespace corkward::programs {

class RouterDaemon;

/// What another surface than the product's own puts in its place.
struct RouterSurface {
  /// Where callers, operators and the platform are listened for, all served alike; empty: at Settings::http.
  std::vector<std::string> http = {};
  http::ServerLimits limits = {};
  http::KeepAlivePolicy kept = {};
  /// How often the plane is told the time, in milliseconds.
  int clockEveryMs = 20;
  /// Answers a request that is none of a caller's; false: it is one.
  std::function<bool(RouterDaemon&, http::Request const&)> pages = {};
  /// Whether the product's own pages (/healthz, /readyz, /metrics, /v1/state, platform lists) are served, after those.
  bool ownPages = true;
  /// Bounds of the callers' HTTP edge under the whole configuration's terms, taken over when these change; empty: as
  /// they are.
  std::function<http::ServerLimits(config::HttpLimits const&)> limitsUnder = {};
  /// Seed of the plane's own choices, so that tests can repeat them; 0: a fresh one.
  std::uint64_t seed = 0;
};

/// Puts the data plane's library together with its links, its HTTP edge and its relays; body bytes pass here alone.
class RouterDaemon : public QObject {
 public:
  /// The mapping must outlive it.
  RouterDaemon(Settings const& settings, dataplane::RouterTuning const& tuning, http::Mapping const& mapping,
               RouterSurface surface = {});

  http::Server& server() { return server_; }
  http::UpstreamPool& upstreams() { return upstreams_; }
  dataplane::RequestRouter const& reducer() const { return reducer_; }
  /// Whether clients should be sent here.
  bool ready() const;
  /// Counters in Prometheus' text form.
  std::string metrics() const;
  /// The platform's list of a pool, as told to this node.
  void platformList(std::string const& pool, std::string const& body);
  /// Other figures and seeds from here on.
  void retune(dataplane::RouterTuning const& tuning, std::vector<std::string> const& seeds);
  /// As SIGTERM.
  void drain();

 private:
  struct Call {
    http::UpstreamConnection* upstream = nullptr;
    http::Request request;
    dataplane::Request caller;
    std::string path;
    dataplane::ResponseStream stream;
    /// Id of the last event that the caller says it has, for a path whose answer is a row of events.
    std::string lastEvent;
    bool connected = false;
    core::Tick movedAt = 0;
    core::Tick pausedSince = 0;
    /// What it is about to do could not be written down.
    bool unrecorded = false;
  };

  http::Server::Events events();
  void serve(http::Request request);
  bool ownPage(http::Request const& request);
  void run(dataplane::RouterCommands&& commands);
  void act(dataplane::Connect const& m);
  void act(dataplane::SendRequest const& m);
  void act(dataplane::CloseUpstream const& m);
  void act(dataplane::WriteAuditRecord const& m);
  void act(dataplane::Reject const& m);
  void act(dataplane::EndpointListResponse const& m);
  void act(dataplane::ResetDownstream const& m);
  /// The replica's connection cannot be had.
  void rejected(std::uint64_t id);
  void abandon(std::uint64_t id, bool readRest = false);
  void replicaHead(std::uint64_t id, http::ReplicaHead const& head);
  void steps(std::uint64_t id, dataplane::StreamSteps&& out);
  void replicaPiece(std::uint64_t id, std::string bytes);
  void replicaEnded(std::uint64_t id, bool whole);
  void watchPaused();
  void gone(std::uint64_t id);
  void clockEvent();

  Settings settings_;
  http::Mapping const& mapping_;
  http::NativeOperatorMapping ownOperators_;
  RouterSurface surface_;
  Drain drain_;
  dataplane::RequestRouter reducer_;
  Records records_;
  std::unordered_map<std::uint64_t, Call> calls_;
  transport::Link link_;
  http::UpstreamPool upstreams_;
  http::Server server_;
  QTimer clock_;
  config::HttpLimits httpTerms_;
  core::Tick pausedLookAt_ = 0;
};

}  // namespace corkward::programs
