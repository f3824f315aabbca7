#include "control_daemon.h"

#include <utility>

#include <corkward/core/guarantees.h>
#include <corkward/core/http_status.h>
#include <corkward/core/log.h>

#include "clock.h"
#include "events.h"
#include "metrics_text.h"
#include "process_probe.h"
#include "signals.h"
#include "standard_endpoints.h"

namespace corkward::programs {

namespace {

/// Returns a copy of the call without its body. Pending calls are stored without it, since only the other fields are
/// needed to write the response.
transport::OperatorCall withoutBody(transport::OperatorCall const& call) {
  transport::OperatorCall out;
  out.token = call.token;
  out.method = call.method;
  out.path = call.path;
  out.ifMatch = call.ifMatch;
  out.changeId = call.changeId;
  out.dryRun = call.dryRun;
  return out;
}

/// Copies of an operator's body that exist while its call is pending: the request, the parsed JSON, the translated call
/// and its text.
constexpr std::uint64_t operatorBodyCopies = 4;

http::ServerLimits operatorLimits(http::ServerLimits limits) {
  limits.bodyCostFactor = operatorBodyCopies;
  return limits;
}

/// Response to a call that was pending when the disk failed. Its outcome is unknown.
control::OperatorResponse diskFailureResponse(std::uint64_t token) {
  return {token,
          core::code(core::HttpStatus::gatewayTimeout),
          {{"error", "unknown"}, {"reason", "this machine's disk had failed; ask again"}}};
}

}  // namespace

ControlDaemon::ControlDaemon(Settings const& settings, control::ControllerTuning const& tuning,
                             http::OperatorMapping const& mapping, ControllerSurface surface)
    : settings_(settings),
      memory_(makeMemoryAccount(settings.processMemoryBytes)),
      memoryMonitor_(memory_),
      tuning_(tuning),
      mapping_(mapping),
      surface_(std::move(surface)),
      shutdown_(settings.drainLimitMs),
      log_(this, settings.data,
           LogWriter::Events{
               [this](std::vector<std::uint64_t> const& tickets, bool written) { onPersisted(tickets, written); },
               [this](storage::RecoveredState const& recovered) { restartReducer(recovered); }}),
      reducer_(std::in_place, contactOf(settings, transport::controllerRole), randomId(), settings.seeds,
               settings.founders, randomSeed(), tuning),
      link_(
          settings.link,
          [this](transport::Envelope const& envelope) {
            execute(reducer_->onMessage(now(), envelope.from, envelope.message));
          },
          settings.listen, memory_),
      server_(surface_.addresses.empty() ? std::vector<std::string>{settings.http} : surface_.addresses,
              operatorLimits(surface_.limits), serverEvents(), nullptr, memory_) {
  storage::RecoveredState const recovered = log_.recoverAtStart();
  execute(reducer_->restore(recovered.slots, recovered.damaged, now()));
  QObject::connect(&timer_, &QTimer::timeout, this, [this] { onTimer(); });
  timer_.start(surface_.timerIntervalMs);
  onTermination(this, [this] { drain(); });
  core::writeLog(core::LogEvent{events::started,
                                {{"link", link_.address()}, {"http", server_.address()}, {"zone", settings.zone}}});
}

http::Server::Events ControlDaemon::serverEvents() {
  http::Server::Events events;
  events.request = [this](http::Request const& request) { serve(request); };
  events.disconnected = [this](std::uint64_t id) {
    pendingCalls_.erase(id);
    execute(reducer_->onCallerDisconnected(now(), id));
  };
  return events;
}

void ControlDaemon::updateEndpointLists(std::map<std::string, config::EndpointList> const& lists) {
  execute(reducer_->updateEndpointLists(now(), lists));
}

bool ControlDaemon::isEndpointListReader() const {
  return reducer_->isEndpointListReader(now());
}

void ControlDaemon::updateSeeds(std::vector<std::string> const& seeds) {
  settings_.seeds = seeds;
  reducer_->setSeeds(seeds);
}

void ControlDaemon::serve(http::Request const& request) {
  bool const served =
      surface_.standardEndpoints && serveStandardEndpoint(
                                        server_, request, [this] { return ready(); }, [this] { return metrics(); });
  if (served) return;
  http::OperatorRequest const mapped = mapping_.operatorCall(request, randomId());
  if (!mapped.call) {
    server_.respond(request.id, mapped.immediateResponse.status, mapped.immediateResponse.headers,
                    mapped.immediateResponse.body);
    return;
  }
  transport::OperatorCall call = *mapped.call;
  call.token = request.id;
  pendingCalls_[call.token] = withoutBody(call);
  execute(reducer_->onOperatorCall(now(), call));
}

std::string ControlDaemon::memoryMetrics() const {
  using enum MetricType;
  return memoryMonitor_.metrics() + metricText("corkward_memory_shed_total", counter, server_.shedForMemory()) +
         metricText("corkward_displaced_connections_total", counter, server_.displacedConnections());
}

bool ControlDaemon::ready() const {
  return reducer_->ready(now());
}

std::string ControlDaemon::metrics() const {
  return reducer_->metrics(now()) +
         metricText("corkward_garbage_frames_total", MetricType::counter, link_.malformedFrames()) +
         core::guaranteeMetrics();
}

void ControlDaemon::respond(control::OperatorResponse const& response) {
  auto const found = pendingCalls_.find(response.token);
  if (found == pendingCalls_.end()) return;
  http::Response const mapped = mapping_.response(found->second, response.status, response.body);
  pendingCalls_.erase(found);
  server_.respond(response.token, mapped.status, mapped.headers, mapped.body);
}

void ControlDaemon::execute(control::ControllerCommands&& commands) {
  if (!commands.persists.empty()) log_.write(commands.persists);
  for (transport::Send const& send : commands.sends) link_.send(send.to, send.message);
  for (control::OperatorResponse const& response : commands.responses) respond(response);
  for (std::uint64_t const token : commands.callerChecks)
    execute(reducer_->onCallerChecked(now(), token, !server_.isDisconnected(token)));
  for (std::string const& link : commands.probes) probe(link);
  for (core::LogEvent const& event : commands.logEvents) core::writeLog(event);
}

void ControlDaemon::onPersisted(std::vector<std::uint64_t> const& tickets, bool written) {
  for (std::uint64_t const ticket : tickets) execute(reducer_->onPersisted(now(), ticket, written));
}

void ControlDaemon::restartReducer(storage::RecoveredState const& recovered) {
  std::vector<std::uint64_t> tokens;
  for (auto const& [token, call] : pendingCalls_) tokens.push_back(token);
  for (std::uint64_t const token : tokens) respond(diskFailureResponse(token));
  reducer_.emplace(contactOf(settings_, transport::controllerRole), randomId(), settings_.seeds, settings_.founders,
                   randomSeed(), tuning_);
  execute(reducer_->restore(recovered.slots, recovered.damaged, now()));
  if (draining_) execute(reducer_->drain(now()));
}

void ControlDaemon::probe(std::string const& link) {
  probeProcess(this, link, [this, link] { execute(reducer_->onProbeResult(now(), link, true)); });
}

void ControlDaemon::onTimer() {
  memoryMonitor_.onTimer();
  reducer_->setWallTime(wallClock());
  execute(reducer_->onTimer(now()));
  std::size_t const handovers = draining_ && !reducer_->handoverComplete(now()) ? 1 : 0;
  shutdown_.poll(server_, reducer_->pendingCount() + handovers);
}

void ControlDaemon::drain() {
  if (!shutdown_.begin()) return;
  draining_ = true;
  server_.startDraining();
  core::writeLog(core::LogEvent{events::draining, {{"pending", std::to_string(reducer_->pendingCount())}}});
  execute(reducer_->drain(now()));
}

}  // namespace corkward::programs
