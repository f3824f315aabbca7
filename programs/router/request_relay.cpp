#include "request_relay.h"

#include <utility>
#include <vector>

#include "clock.h"

namespace corkward::programs {

namespace {

/// If more bytes than this wait to be written to a caller, reading from its replica pauses. It resumes when half of
/// them are left.
constexpr std::int64_t maxCallerBuffer = 256 << 10;
/// The same while the process's memory is short.
constexpr std::int64_t maxCallerBufferWhenBusy = 32 << 10;
/// Bytes of a response that wait in this process and in the operating system while reading from the replica is paused.
constexpr std::uint64_t pausedResponseBytes = 192U << 10;
/// Minimum milliseconds between two progress reports of a request, and between two checks for stalled callers.
constexpr core::Milliseconds progressInterval = 1000;
/// Milliseconds for which reading from the replica may stay paused because of a slow caller. After that, the caller is
/// disconnected.
constexpr core::Milliseconds callerStallTimeout = 60000;

}  // namespace

RequestRelay::RequestRelay(QObject* owner, http::Server& server, http::UpstreamPool& upstreams,
                           http::Mapping const& mapping, AuditRecorder& recorder, Events events)
    : owner_(owner),
      server_(server),
      upstreams_(upstreams),
      mapping_(mapping),
      recorder_(recorder),
      events_(std::move(events)),
      heldResponses_(server.memory()) {}

RequestRelay::ActiveRequest* RequestRelay::find(std::uint64_t id) {
  auto const found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestRelay::add(http::Request request, http::CallerRequest caller) {
  ActiveRequest& active = requests_.try_emplace(request.id, server_.memory()).first->second;
  if (caller.isEventStream)
    active.stream.expectEvents(std::move(caller.lastEventId));
  else
    active.lastEventId = std::move(caller.lastEventId);
  active.body = std::make_shared<std::string const>(std::exchange(request.body, {}));
  active.request = std::move(request);
  active.caller = std::move(*caller.request);
}

http::UpstreamConnection::Events RequestRelay::upstreamEvents(std::uint64_t id) {
  http::UpstreamConnection::Events events;
  events.connected = [this, id] { events_.connected(id); };
  events.connectFailed = [this, id] { onConnectFailed(id); };
  events.head = [this, id](http::ReplicaHead const& head) { onHead(id, head); };
  events.chunk = [this, id](std::string bytes) { onChunk(id, std::move(bytes)); };
  events.ended = [this, id](core::BodyEnd end) { onEnded(id, end); };
  return events;
}

void RequestRelay::execute(dataplane::Connect const& command) {
  ActiveRequest* const active = find(command.call);
  if (active == nullptr) return;
  closeUpstream(command.call);
  active->path = command.path;
  active->pausedSince = 0;
  active->pausedBytes.set(0);
  if (command.events && !active->everConnected) active->stream.expectEvents(std::move(active->lastEventId));
  active->everConnected = true;
  active->stream.onConnecting(command.resume);
  chargeHeld(command.call);
  http::UpstreamConnection::Events events = upstreamEvents(command.call);
  active->upstream =
      command.incarnation.empty()
          ? upstreams_.acquire(command.address, command.avoidStaleConnection, std::move(events), owner_)
          : new http::UpstreamConnection(command.address, command.incarnation, std::move(events), owner_);
}

void RequestRelay::onConnectFailed(std::uint64_t id) {
  ActiveRequest const* const active = find(id);
  bool const local = active != nullptr && active->upstream != nullptr && active->upstream->outOfDescriptors();
  if (local)
    events_.localConnectFailed(id);
  else
    events_.connectFailed(id);
}

void RequestRelay::execute(dataplane::SendRequest const& command) {
  ActiveRequest* const active = find(command.call);
  if (active == nullptr || active->upstream == nullptr) return;
  if (server_.isDisconnected(command.call)) {
    server_.abort(command.call);
    onCallerDisconnected(command.call);
    return;
  }
  if (!command.regime.empty() && active->unrecorded) {
    closeUpstream(command.call);
    events_.finished(command.call, dataplane::UpstreamResult::notExecuted);
    return;
  }
  dataplane::Resume const resume = active->stream.resume();
  http::Dispatch const dispatch{active->request, active->caller, active->path, command, resume};
  active->upstream->send(mapping_.replicaRequest(dispatch), active->body);
}

void RequestRelay::execute(dataplane::CloseUpstream const& command) {
  closeUpstream(command.call);
}

void RequestRelay::execute(dataplane::WriteAuditRecord const& command) {
  bool const written = recorder_.write(command);
  ActiveRequest* const active = find(command.call);
  if (active != nullptr) active->unrecorded = !written;
}

void RequestRelay::execute(dataplane::Reject const& command) {
  closeUpstream(command.call);
  remove(command.call);
  server_.respond(command.call, command.status, mapping_.rejectionHeaders(command), mapping_.rejectionBody(command));
}

void RequestRelay::execute(dataplane::ResetDownstream const& command) {
  closeUpstream(command.call);
  remove(command.call);
  server_.abort(command.call);
}

void RequestRelay::closeUpstream(std::uint64_t id, CloseMode mode) {
  ActiveRequest* const active = find(id);
  if (active == nullptr || active->upstream == nullptr) return;
  http::UpstreamConnection* const upstream = std::exchange(active->upstream, nullptr);
  if (mode == CloseMode::drainAndReuse) {
    upstream->release();
    return;
  }
  upstream->close();
  upstream->deleteLater();
}

void RequestRelay::onHead(std::uint64_t id, http::ReplicaHead const& head) {
  ActiveRequest* const active = find(id);
  if (active == nullptr) return;
  apply(id, active->stream.onHead(mapping_.responseHead(head, active->request)));
  chargeHeld(id);
  limitHeldResponses();
}

void RequestRelay::onChunk(std::uint64_t id, std::string bytes) {
  ActiveRequest* const active = find(id);
  if (active == nullptr) return;
  apply(id, active->stream.onChunk(std::move(bytes)));
  chargeHeld(id);
  limitHeldResponses();
  reportProgress(id);
  applyBackpressure(id);
}

void RequestRelay::chargeHeld(std::uint64_t id) {
  ActiveRequest* const active = find(id);
  if (active == nullptr) return;
  std::uint64_t const bytes = active->stream.heldBytes();
  active->heldBytes.set(bytes);
  heldResponses_.update(id, bytes, now());
}

void RequestRelay::limitHeldResponses() {
  while (std::optional<std::uint64_t> const id = heldResponses_.excess()) {
    heldResponses_.remove(*id);
    ActiveRequest* const active = find(*id);
    if (active == nullptr) continue;
    ++responsesGivenUp_;
    dataplane::StreamSteps steps = active->stream.giveUp();
    active->heldBytes.set(active->stream.heldBytes());
    apply(*id, std::move(steps));
  }
}

void RequestRelay::remove(std::uint64_t id) {
  heldResponses_.remove(id);
  requests_.erase(id);
}

void RequestRelay::onEnded(std::uint64_t id, core::BodyEnd end) {
  ActiveRequest* const active = find(id);
  if (active == nullptr) return;
  bool const stale = end == core::BodyEnd::incomplete && active->upstream != nullptr && active->upstream->isStale();
  dataplane::StreamSteps steps = active->stream.onEnd(end);
  if (stale && steps.ended == dataplane::UpstreamResult::connectionLost)
    steps.ended = dataplane::UpstreamResult::staleConnection;
  apply(id, std::move(steps));
}

void RequestRelay::apply(std::uint64_t id, dataplane::StreamSteps&& steps) {
  if (steps.failed) events_.responseFailed(id);
  if (steps.begin)
    server_.beginResponse(id, steps.begin->status, steps.begin->fields, steps.begin->length, steps.begin->reason);
  if (!steps.chunk.empty()) server_.writeChunk(id, steps.chunk);
  if (steps.firstByte) events_.firstByte(id, *steps.firstByte);
  if (steps.closeUpstream) {
    bool const reusable = steps.ended == dataplane::UpstreamResult::notExecuted;
    closeUpstream(id, reusable ? CloseMode::drainAndReuse : CloseMode::close);
  }
  if (steps.finish) {
    remove(id);
    server_.finishResponse(id);
  }
  if (steps.ended) events_.finished(id, *steps.ended);
}

void RequestRelay::reportProgress(std::uint64_t id) {
  ActiveRequest* const active = find(id);
  if (active == nullptr || now() - active->progressAt < progressInterval) return;
  active->progressAt = now();
  events_.progress(id);
}

void RequestRelay::applyBackpressure(std::uint64_t id) {
  ActiveRequest* const active = find(id);
  bool const reads = active != nullptr && active->upstream != nullptr && active->pausedSince == 0;
  if (!reads || server_.bufferedBytes(id) <= callerBufferLimit()) return;
  active->pausedSince = now();
  active->pausedBytes.set(pausedResponseBytes);
  active->upstream->setPaused(true);
}

std::int64_t RequestRelay::callerBufferLimit() const {
  return server_.memory().isBusy() ? maxCallerBufferWhenBusy : maxCallerBuffer;
}

void RequestRelay::onCallerWritable(std::uint64_t id) {
  ActiveRequest* const active = find(id);
  bool const paused = active != nullptr && active->pausedSince != 0 && active->upstream != nullptr;
  if (!paused || server_.bufferedBytes(id) >= callerBufferLimit() / 2) return;
  active->pausedSince = 0;
  active->pausedBytes.set(0);
  active->upstream->setPaused(false);
}

void RequestRelay::onTimer() {
  if (now() < nextStallCheckAt_) return;
  nextStallCheckAt_ = now() + progressInterval;
  std::vector<std::uint64_t> stalled;
  for (auto const& [id, active] : requests_) {
    if (active.pausedSince == 0) continue;
    events_.progress(id);
    if (now() - active.pausedSince > callerStallTimeout) stalled.push_back(id);
  }
  for (std::uint64_t const id : stalled) {
    server_.abort(id);
    onCallerDisconnected(id);
  }
}

void RequestRelay::onCallerDisconnected(std::uint64_t id) {
  events_.callerDisconnected(id);
  closeUpstream(id);
  remove(id);
}

}  // namespace corkward::programs
