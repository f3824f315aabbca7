#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include <corkward/core/memory_account.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>
#include <corkward/http/mapping.h>
#include <corkward/http/server.h>
#include <corkward/http/upstream_pool.h>

#include "audit_recorder.h"
#include "held_responses.h"

namespace corkward::programs {

/// Forwards requests to replicas and their responses to the callers, as commanded by the data plane's reducer. Bodies
/// pass only through the relay; the reducer is notified of events without their bytes.
class RequestRelay {
 public:
  /// Notifications to the reducer. The number is the id of the caller's request.
  struct Events {
    /// The connection to the replica is established. No byte of the request has been sent yet.
    std::function<void(std::uint64_t)> connected;
    /// The connection to the replica failed. No byte of the request has been sent.
    std::function<void(std::uint64_t)> connectFailed;
    /// This process ran out of file descriptors and cannot open any connection, so the replica is not at fault.
    std::function<void(std::uint64_t)> localConnectFailed;
    /// The replica responds with an error. No byte of the response has been forwarded to the caller.
    std::function<void(std::uint64_t)> responseFailed;
    /// The first byte of the response arrived, or the first one after a resume. `runKnown` says whether the response
    /// can be resumed on another replica.
    std::function<void(std::uint64_t, bool runKnown)> firstByte;
    /// Bytes of the response arrived, or none are read from the replica because the caller is slow.
    std::function<void(std::uint64_t)> progress;
    std::function<void(std::uint64_t, dataplane::UpstreamResult)> finished;
    std::function<void(std::uint64_t)> callerDisconnected;
  };

  /// All references must outlive the relay. The owner is the QObject parent of the connections to replicas.
  RequestRelay(QObject* owner, http::Server& server, http::UpstreamPool& upstreams, http::Mapping const& mapping,
               AuditRecorder& recorder, Events events);

  /// Stores a caller's request until its response is complete or the caller is disconnected.
  void add(http::Request request, http::CallerRequest caller);

  /// Opens a connection to a replica and closes the request's previous one.
  void execute(dataplane::Connect const& command);
  /// Sends the request on its connection.
  void execute(dataplane::SendRequest const& command);
  /// Closes the connection to the replica.
  void execute(dataplane::CloseUpstream const& command);
  /// Writes an audit record. If that fails before dispatch, a request under a regime is not sent.
  void execute(dataplane::WriteAuditRecord const& command);
  /// Rejects the request.
  void execute(dataplane::Reject const& command);
  /// Aborts a response that has begun by resetting the caller's connection.
  void execute(dataplane::ResetDownstream const& command);

  /// Called after bytes were written to the caller. Resumes reading from the replica if the caller's buffer has
  /// drained.
  void onCallerWritable(std::uint64_t id);
  void onCallerDisconnected(std::uint64_t id);
  /// Disconnects callers that have read nothing for too long.
  void onTimer();
  /// Number of responses that were given up because those that cannot be forwarded yet took too much memory.
  std::uint64_t responsesGivenUp() const { return responsesGivenUp_; }

 private:
  struct ActiveRequest {
    explicit ActiveRequest(core::MemoryAccount& memory) : heldBytes(memory), pausedBytes(memory) {}
    /// Null while the request has no connection. Owned by its QObject parent, the relay's owner.
    http::UpstreamConnection* upstream = nullptr;
    /// The request without its body.
    http::Request request;
    std::shared_ptr<std::string const> body;
    dataplane::Request caller;
    /// Path of the request at the replica, from the reducer's newest Connect command.
    std::string path;
    dataplane::ResponseStream stream;
    /// Memory of what is held of the response.
    core::MemoryCharge heldBytes;
    /// Id of the last event that the caller has received, from its request. Only for a path whose responses are event
    /// streams.
    std::string lastEventId;
    /// Whether a connection was opened for this request before.
    bool everConnected = false;
    /// Time of the last progress report by the boot clock.
    core::Milliseconds progressAt = 0;
    /// Time since which reading from the replica is paused because the caller is slow; 0 if it is not paused.
    core::Milliseconds pausedSince = 0;
    /// Bytes of the response that wait unread while reading from the replica is paused.
    core::MemoryCharge pausedBytes;
    /// Whether the newest audit record of the request could not be written.
    bool unrecorded = false;
  };
  enum class CloseMode { close, drainAndReuse };

  http::UpstreamConnection::Events upstreamEvents(std::uint64_t id);
  ActiveRequest* find(std::uint64_t id);
  void remove(std::uint64_t id);
  /// Charges what the request holds of a response that cannot be forwarded yet.
  void chargeHeld(std::uint64_t id);
  /// Gives up responses that cannot be forwarded yet while all of them take too much memory.
  void limitHeldResponses();
  void closeUpstream(std::uint64_t id, CloseMode mode = CloseMode::close);
  void onConnectFailed(std::uint64_t id);
  void onHead(std::uint64_t id, http::ReplicaHead const& head);
  void onChunk(std::uint64_t id, std::string bytes);
  void onEnded(std::uint64_t id, core::BodyEnd end);
  void reportProgress(std::uint64_t id);
  /// Pauses reading from the replica if too many bytes wait to be written to the caller.
  void applyBackpressure(std::uint64_t id);
  /// Returns how many bytes may wait to be written to a caller before reading from its replica pauses.
  std::int64_t callerBufferLimit() const;
  void apply(std::uint64_t id, dataplane::StreamSteps&& steps);

  QObject* owner_;
  http::Server& server_;
  http::UpstreamPool& upstreams_;
  http::Mapping const& mapping_;
  AuditRecorder& recorder_;
  Events events_;
  /// Keyed by the id of the caller's request.
  std::unordered_map<std::uint64_t, ActiveRequest> requests_;
  HeldResponses heldResponses_;
  std::uint64_t responsesGivenUp_ = 0;
  core::Milliseconds nextStallCheckAt_ = 0;
};

}  // namespace corkward::programs
