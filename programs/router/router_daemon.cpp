#include "router_daemon.h"

#include <QDateTime>
#include <algorithm>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/core/log.h>
#include <corkward/core/guarantees.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr std::int64_t callerBuffer = 256 << 10;
constexpr char const* listPath = "/v1/platform/pools/";
constexpr core::Tick movingEvery = 1000;
constexpr core::Tick callerStall = 60000;

}  // namespace

RouterDaemon::RouterDaemon(Settings const& s, dataplane::RouterTuning const& tuning, http::Mapping const& mapping,
                           RouterSurface surface)
    : settings_(s),
      mapping_(mapping),
      surface_(std::move(surface)),
      drain_(s.drainLimitMs, tuning.drainServe),
      reducer_(contactOf(s, transport::routerRole), s.seeds, surface_.seed == 0 ? freshSeed() : surface_.seed, tuning),
      records_(this, s, [this](bool works) { reducer_.setRecording(works); }),
      link_(
          this, s.link, [this](transport::Envelope const& e) { run(reducer_.onMessage(now(), e.from, e.message)); },
          s.listen),
      upstreams_(surface_.kept, [] { return now(); }),
      server_(surface_.http.empty() ? std::vector<std::string>{s.http} : surface_.http, surface_.limits, events()) {
  run(reducer_.started(now()));
  QObject::connect(&clock_, &QTimer::timeout, this, [this] { clockEvent(); });
  clock_.start(surface_.clockEveryMs);
  onTermination(this, [this] { drain(); });
}

http::Server::Events RouterDaemon::events() {
  http::Server::Events e;
  e.request = [this](http::Request request) { serve(std::move(request)); };
  e.disconnected = [this](std::uint64_t id) { gone(id); };
  e.writable = [this](std::uint64_t id) {
    std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
    if (it == calls_.end() || it->second.pausedSince == 0 || it->second.upstream == nullptr ||
        server_.bufferedBytes(id) >= callerBuffer / 2)
      return;
    it->second.pausedSince = 0;
    it->second.upstream->pause(false);
  };
  return e;
}

bool RouterDaemon::ready() const {
  return reducer_.ready(now());
}

std::string RouterDaemon::metrics() const {
  return reducer_.metrics(now()) + "# TYPE corkward_garbage_frames_total counter\ncorkward_garbage_frames_total " +
         std::to_string(link_.malformedFrames()) +
         "\n# TYPE corkward_replica_connections_total counter\ncorkward_replica_connections_total " +
         std::to_string(upstreams_.opened()) +
         "\n# TYPE corkward_replica_connections_reused_total counter\ncorkward_replica_connections_reused_total " +
         std::to_string(upstreams_.reused()) +
         "\n# TYPE corkward_caller_connections gauge\ncorkward_caller_connections " +
         std::to_string(server_.connections()) +
         "\n# TYPE corkward_caller_accepts_failed_total counter\ncorkward_caller_accepts_failed_total " +
         std::to_string(server_.acceptsFailed()) + "\n" + core::guaranteeMetrics();
}

bool RouterDaemon::ownPage(http::Request const& request) {
  if (plainPage(
          server_, request, [this] { return ready(); }, [this] { return metrics(); }))
    return true;
  std::string const path = pathOf(request);
  if (path == "/v1/state" && request.method == "GET") {
    QJsonObject state = reducer_.state(now());
    if (std::optional<QJsonObject> const head = records_.head()) state.insert("audit", *head);
    server_.answer(request.id, 200, {{"content-type", "application/json"}}, core::jsonText(state) + "\n");
  } else if (path.rfind(listPath, 0) == 0 && request.method == "PUT") {
    run(reducer_.onEndpointList(now(), request.id, config::labelOf(path.substr(std::string(listPath).size())),
                                request.body));
  } else {
    return false;
  }
  return true;
}

void RouterDaemon::serve(http::Request request) {
  if (surface_.pages && surface_.pages(*this, request)) return;
  if (surface_.ownPages && ownPage(request)) return;
  http::CallerRequest caller = mapping_.callerRequest(request);
  if (!caller.request) {
    dataplane::Reject const reject{request.id, caller.status, caller.reason, true, 0};
    server_.answer(request.id, caller.status, mapping_.rejectFields(reject), mapping_.rejectBody(reject));
    return;
  }
  std::uint64_t const id = request.id;
  Call& call = calls_[id];
  if (caller.events)
    call.stream.asEvents(std::move(caller.lastEvent));
  else
    call.lastEvent = std::move(caller.lastEvent);
  call.request = std::move(request);
  call.caller = std::move(*caller.request);
  dataplane::Request const asked = call.caller;
  run(reducer_.onRequest(now(), asked));
}

void RouterDaemon::retune(dataplane::RouterTuning const& tuning, std::vector<std::string> const& seeds) {
  bool const records = reducer_.setRecording();
  reducer_.retune(tuning, seeds);
  reducer_.setRecording(records);
}

void RouterDaemon::platformList(std::string const& pool, std::string const& body) {
  run(reducer_.onEndpointList(now(), 0, pool, body));
}

void RouterDaemon::run(dataplane::RouterCommands&& commands) {
  if (surface_.limitsUnder && reducer_.httpTerms() != httpTerms_) {
    httpTerms_ = reducer_.httpTerms();
    server_.setLimits(surface_.limitsUnder(httpTerms_));
  }
  for (transport::Send const& s : commands.sends) link_.send(s.to, s.message);
  for (core::LogEvent const& n : commands.logEvents) core::writeLog(n);
  for (core::LogEvent const& n : commands.failures) core::writeWarning(n);
  for (dataplane::CallCommand const& c : commands.calls) std::visit([this](auto const& m) { this->act(m); }, c);
}

void RouterDaemon::act(dataplane::Connect const& m) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it == calls_.end()) return;
  abandon(m.call);
  std::uint64_t const id = m.call;
  it->second.path = m.path;
  it->second.pausedSince = 0;
  if (m.events && !it->second.connected) it->second.stream.asEvents(std::move(it->second.lastEvent));
  it->second.connected = true;
  it->second.stream.connecting(m.resume);
  http::UpstreamConnection::Events e;
  e.connected = [this, id] { run(reducer_.onConnected(now(), id)); };
  e.rejected = [this, id] { rejected(id); };
  e.head = [this, id](http::ReplicaHead const& head) { replicaHead(id, head); };
  e.piece = [this, id](std::string bytes) { replicaPiece(id, std::move(bytes)); };
  e.ended = [this, id](bool whole) { replicaEnded(id, whole); };
  it->second.upstream = m.incarnation.empty()
                            ? upstreams_.acquire(m.address, m.fresh, std::move(e), this)
                            : new http::UpstreamConnection(m.address, m.incarnation, std::move(e), this);
}

void RouterDaemon::rejected(std::uint64_t id) {
  std::unordered_map<std::uint64_t, Call>::const_iterator const it = calls_.find(id);
  bool const own = it != calls_.end() && it->second.upstream != nullptr && it->second.upstream->outOfDescriptors();
  run(own ? reducer_.onLocalConnectFailure(now(), id) : reducer_.onConnectFailure(now(), id));
}

void RouterDaemon::act(dataplane::SendRequest const& m) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it == calls_.end() || it->second.upstream == nullptr) return;
  if (server_.isDisconnected(m.call)) {
    server_.abort(m.call);
    gone(m.call);
    return;
  }
  Call& call = it->second;
  if (!m.regime.empty() && call.unrecorded) {
    abandon(m.call);
    run(reducer_.upstreamFinished(now(), m.call, dataplane::UpstreamResult::notExecuted));
    return;
  }
  dataplane::Resume const resume = call.stream.resume();
  call.upstream->send(mapping_.replicaRequest(http::Dispatch{call.request, call.caller, call.path, m, resume}),
                      call.request.body);
}

void RouterDaemon::act(dataplane::CloseUpstream const& m) {
  abandon(m.call);
}

void RouterDaemon::act(dataplane::WriteAuditRecord const& m) {
  bool const written = records_.write(m);
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it != calls_.end()) it->second.unrecorded = !written;
}

void RouterDaemon::act(dataplane::Reject const& m) {
  abandon(m.call);
  calls_.erase(m.call);
  server_.answer(m.call, m.status, mapping_.rejectFields(m), mapping_.rejectBody(m));
}

void RouterDaemon::act(dataplane::EndpointListResponse const& m) {
  if (m.call == 0) return;
  http::Response const a = ownOperators_.answer({}, m.status, m.body);
  server_.answer(m.call, a.status, a.fields, a.body);
}

void RouterDaemon::act(dataplane::ResetDownstream const& m) {
  abandon(m.call);
  calls_.erase(m.call);
  server_.abort(m.call);
}

void RouterDaemon::abandon(std::uint64_t id, bool readRest) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.upstream == nullptr) return;
  http::UpstreamConnection* const upstream = std::exchange(it->second.upstream, nullptr);
  if (readRest) {
    upstream->release();
    return;
  }
  upstream->stop();
  upstream->deleteLater();
}

void RouterDaemon::replicaHead(std::uint64_t id, http::ReplicaHead const& head) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end()) steps(id, it->second.stream.head(mapping_.head(head, it->second.request)));
}

void RouterDaemon::replicaEnded(std::uint64_t id, bool whole) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  bool const forgotten = !whole && it->second.upstream != nullptr && it->second.upstream->forgotten();
  dataplane::StreamSteps out = it->second.stream.ended(whole);
  if (forgotten && out.ended == dataplane::UpstreamResult::connectionLost)
    out.ended = dataplane::UpstreamResult::staleConnection;
  steps(id, std::move(out));
}

void RouterDaemon::steps(std::uint64_t id, dataplane::StreamSteps&& out) {
  if (out.failed) run(reducer_.upstreamFailed(now(), id));
  if (out.begin) server_.begin(id, out.begin->status, out.begin->fields, out.begin->length, out.begin->reason);
  if (!out.chunk.empty()) server_.writeChunk(id, out.chunk);
  if (out.firstByte) run(reducer_.firstByteReceived(now(), id, *out.firstByte));
  if (out.closeUpstream) abandon(id, out.ended == dataplane::UpstreamResult::notExecuted);
  if (out.finish) {
    calls_.erase(id);
    server_.finish(id);
  }
  if (out.ended) run(reducer_.upstreamFinished(now(), id, *out.ended));
}

void RouterDaemon::replicaPiece(std::uint64_t id, std::string bytes) {
  std::unordered_map<std::uint64_t, Call>::iterator it = calls_.find(id);
  if (it == calls_.end()) return;
  steps(id, it->second.stream.piece(std::move(bytes)));
  it = calls_.find(id);
  if (it == calls_.end()) return;
  if (now() - it->second.movedAt >= movingEvery) {
    it->second.movedAt = now();
    run(reducer_.progress(now(), id));
  }
  it = calls_.find(id);
  if (it == calls_.end() || server_.bufferedBytes(id) <= callerBuffer || it->second.upstream == nullptr ||
      it->second.pausedSince != 0)
    return;
  it->second.pausedSince = now();
  it->second.upstream->pause(true);
}

void RouterDaemon::watchPaused() {
  if (now() < pausedLookAt_) return;
  pausedLookAt_ = now() + movingEvery;
  std::vector<std::uint64_t> stalled;
  for (std::unordered_map<std::uint64_t, Call>::value_type& c : calls_) {
    if (c.second.pausedSince == 0) continue;
    run(reducer_.progress(now(), c.first));
    if (now() - c.second.pausedSince > callerStall) stalled.push_back(c.first);
  }
  for (std::uint64_t const id : stalled) {
    server_.abort(id);
    gone(id);
  }
}

void RouterDaemon::gone(std::uint64_t id) {
  run(reducer_.callerDisconnected(now(), id));
  abandon(id);
  calls_.erase(id);
}

void RouterDaemon::clockEvent() {
  watchPaused();
  reducer_.setWallTime(now(), QDateTime::currentMSecsSinceEpoch());
  run(reducer_.onTimer(now()));
  records_.clockEvent();
  drain_.look(server_, reducer_.pendingCount());
}

void RouterDaemon::drain() {
  if (!drain_.begin()) return;
  server_.startDraining();
  run(reducer_.drain(now()));
}

}  // namespace corkward::programs
