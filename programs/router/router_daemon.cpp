#include "router_daemon.h"

#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/guarantees.h>
#include <corkward/core/http_method.h>
#include <corkward/core/http_status.h>
#include <corkward/core/json.h>
#include <corkward/core/log.h>

#include "clock.h"
#include "metrics_text.h"
#include "signals.h"
#include "standard_endpoints.h"

namespace corkward::programs {

namespace {

constexpr char const* statePath = "/v1/state";
constexpr char const* poolsPath = "/v1/platform/pools/";
/// Request id for an endpoint list that was not received by an HTTP request and needs no response.
constexpr std::uint64_t noRequest = 0;

/// Returns the surface with at least one listener.
RouterSurface withListeners(RouterSurface surface, Settings const& settings) {
  if (surface.listeners.empty()) surface.listeners.push_back({settings.http, ListenerRole::combined});
  return surface;
}

std::vector<std::string> addressesOf(std::vector<RouterListener> const& listeners) {
  std::vector<std::string> addresses;
  addresses.reserve(listeners.size());
  for (RouterListener const& listener : listeners) addresses.push_back(listener.address);
  return addresses;
}

}  // namespace

RouterDaemon::RouterDaemon(Settings const& settings, dataplane::RouterTuning const& tuning,
                           http::Mapping const& mapping, RouterSurface surface)
    : settings_(settings),
      memory_(makeMemoryAccount(settings.processMemoryBytes)),
      memoryMonitor_(memory_),
      mapping_(mapping),
      surface_(withListeners(std::move(surface), settings)),
      shutdown_(settings.drainLimitMs, tuning.drainAcceptPeriod),
      reducer_(contactOf(settings, transport::routerRole), settings.seeds,
               surface_.seed == 0 ? randomSeed() : surface_.seed, tuning),
      recorder_(this, settings, [this](bool available) { reducer_.setAuditAvailable(available); }),
      link_(
          settings.link,
          [this](transport::Envelope const& envelope) {
            execute(reducer_.onMessage(now(), envelope.from, envelope.message));
          },
          settings.listen, memory_),
      upstreams_(surface_.keepAlive, [] { return now(); }),
      server_(addressesOf(surface_.listeners), surface_.limits, serverEvents(), nullptr, memory_),
      relay_(this, server_, upstreams_, mapping, recorder_, relayEvents()) {
  execute(reducer_.started(now()));
  QObject::connect(&timer_, &QTimer::timeout, this, [this] { onTimer(); });
  timer_.start(surface_.timerIntervalMs);
  onTermination(this, [this] { drain(); });
}

http::Server::Events RouterDaemon::serverEvents() {
  http::Server::Events events;
  events.request = [this](http::Request request) { serve(std::move(request)); };
  events.disconnected = [this](std::uint64_t id) { relay_.onCallerDisconnected(id); };
  events.writable = [this](std::uint64_t id) { relay_.onCallerWritable(id); };
  return events;
}

RequestRelay::Events RouterDaemon::relayEvents() {
  using dataplane::UpstreamResult;
  RequestRelay::Events events;
  events.connected = [this](std::uint64_t id) { execute(reducer_.onConnected(now(), id)); };
  events.connectFailed = [this](std::uint64_t id) { execute(reducer_.onConnectFailure(now(), id)); };
  events.localConnectFailed = [this](std::uint64_t id) { execute(reducer_.onLocalConnectFailure(now(), id)); };
  events.responseFailed = [this](std::uint64_t id) { execute(reducer_.onUpstreamError(now(), id)); };
  events.firstByte = [this](std::uint64_t id, bool runKnown) { execute(reducer_.onFirstByte(now(), id, runKnown)); };
  events.progress = [this](std::uint64_t id) { execute(reducer_.onProgress(now(), id)); };
  events.finished = [this](std::uint64_t id, UpstreamResult result) {
    execute(reducer_.onUpstreamFinished(now(), id, result));
  };
  events.callerDisconnected = [this](std::uint64_t id) { execute(reducer_.onCallerDisconnected(now(), id)); };
  return events;
}

bool RouterDaemon::ready() const {
  return reducer_.ready(now());
}

std::string RouterDaemon::metrics() const {
  using enum MetricType;
  return reducer_.metrics(now()) + metricText("corkward_garbage_frames_total", counter, link_.malformedFrames()) +
         metricText("corkward_replica_connections_total", counter, upstreams_.openedCount()) +
         metricText("corkward_replica_connections_reused_total", counter, upstreams_.reusedCount()) +
         metricText("corkward_caller_connections", gauge, server_.connectionCount()) +
         metricText("corkward_caller_accepts_failed_total", counter, server_.failedAccepts()) +
         core::guaranteeMetrics();
}

std::string RouterDaemon::memoryMetrics() const {
  using enum MetricType;
  return memoryMonitor_.metrics() + metricText("corkward_memory_shed_total", counter, server_.shedForMemory()) +
         metricText("corkward_displaced_connections_total", counter, server_.displacedConnections()) +
         metricText("corkward_replica_framing_exceeded_total", counter, upstreams_.framingTooLongCount()) +
         metricText("corkward_replica_responses_given_up_total", counter, relay_.responsesGivenUp());
}

bool RouterDaemon::serveNativeEndpoint(http::Request const& request) {
  bool const served = serveStandardEndpoint(
      server_, request, [this] { return ready(); }, [this] { return metrics(); });
  if (served) return true;
  std::string const path = pathOf(request);
  auto const method = core::httpMethodOf(request.method);
  if (path == statePath && method == core::HttpMethod::get) {
    respondState(request);
    return true;
  }
  if (path.rfind(poolsPath, 0) == 0 && method == core::HttpMethod::put) {
    std::string const pool = config::percentDecodeLabel(path.substr(std::string(poolsPath).size()));
    execute(reducer_.onEndpointList(now(), request.id, pool, request.body));
    return true;
  }
  return false;
}

void RouterDaemon::respondState(http::Request const& request) {
  QJsonObject state = reducer_.state(now());
  if (std::optional<QJsonObject> const head = recorder_.head()) state.insert("audit", *head);
  server_.respond(request.id, core::code(core::HttpStatus::ok), {{"content-type", "application/json"}},
                  core::jsonText(state) + "\n");
}

void RouterDaemon::serve(http::Request request) {
  switch (surface_.listeners.at(request.listener).role) {
    case ListenerRole::readiness:
      serveReadinessCheck(request);
      return;
    case ListenerRole::combined:
      if (!serveNativeEndpoint(request)) routeRequest(std::move(request));
      return;
    case ListenerRole::callers:
      routeRequest(std::move(request));
      return;
  }
}

void RouterDaemon::serveReadinessCheck(http::Request const& request) {
  bool const isCheck =
      core::httpMethodOf(request.method) == core::HttpMethod::get && pathOf(request) == surface_.readinessPath;
  if (isCheck)
    respondReadiness(server_, request, ready());
  else
    server_.respond(request.id, core::code(core::HttpStatus::notFound), {}, "");
}

void RouterDaemon::routeRequest(http::Request request) {
  http::CallerRequest caller = mapping_.callerRequest(request);
  if (!caller.request) {
    dataplane::Reject const reject{request.id, caller.status, caller.reason, true, 0};
    server_.respond(request.id, caller.status, mapping_.rejectionHeaders(reject), mapping_.rejectionBody(reject));
    return;
  }
  dataplane::Request const event = *caller.request;
  relay_.add(std::move(request), std::move(caller));
  execute(reducer_.onRequest(now(), event));
}

void RouterDaemon::retune(dataplane::RouterTuning const& tuning, std::vector<std::string> const& seeds) {
  bool const recording = reducer_.auditAvailable();
  reducer_.updateTuning(tuning, seeds);
  reducer_.setAuditAvailable(recording);
}

void RouterDaemon::updateEndpointList(std::string const& pool, std::string const& body) {
  execute(reducer_.onEndpointList(now(), noRequest, pool, body));
}

void RouterDaemon::execute(dataplane::RouterCommands&& commands) {
  if (surface_.deriveServerLimits && reducer_.httpLimits() != httpLimits_) {
    httpLimits_ = reducer_.httpLimits();
    server_.setLimits(surface_.deriveServerLimits(httpLimits_));
  }
  for (transport::Send const& send : commands.sends) link_.send(send.to, send.message);
  for (core::LogEvent const& event : commands.logEvents) core::writeLog(event);
  for (core::LogEvent const& event : commands.failures) core::writeWarning(event);
  for (dataplane::CallCommand const& call : commands.calls)
    std::visit([this](auto const& command) { this->execute(command); }, call);
}

void RouterDaemon::execute(dataplane::EndpointListResponse const& command) {
  if (command.call == noRequest) return;
  http::Response const response = operatorMapping_.response({}, command.status, command.body);
  server_.respond(command.call, response.status, response.headers, response.body);
}

void RouterDaemon::onTimer() {
  relay_.onTimer();
  memoryMonitor_.onTimer();
  reducer_.setWallTime(now(), wallClock());
  execute(reducer_.onTimer(now()));
  recorder_.onTimer();
  shutdown_.poll(server_, reducer_.pendingCount());
}

void RouterDaemon::drain() {
  if (!shutdown_.begin()) return;
  server_.startDraining();
  execute(reducer_.drain(now()));
}

}  // namespace corkward::programs
