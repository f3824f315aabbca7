#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>
#include <corkward/http/mapping.h>
#include <corkward/http/server.h>
#include <corkward/http/upstream_pool.h>

#include "audit_recorder.h"

namespace corkward::programs {

/// Carries requests to replicas and their responses back to the callers, as the data plane's reducer commands it. The
/// bytes of bodies pass here alone; the reducer gets the events.
class RequestRelay {
 public:
  /// What the reducer is notified of; the number is the id of the caller's request.
  struct Events {
    /// The connection is established and no byte of the request was sent yet.
    std::function<void(std::uint64_t)> connected;
    /// No connection to the replica; nothing was sent.
    std::function<void(std::uint64_t)> connectFailed;
    /// This process could open no connection at all, for want of descriptors.
    std::function<void(std::uint64_t)> localConnectFailed;
    /// The replica answers with a failure, of which nothing was passed on yet.
    std::function<void(std::uint64_t)> responseFailed;
    /// The first byte of the response, or the first one after a resume; and whether the run may be resumed.
    std::function<void(std::uint64_t, bool runKnown)> firstByte;
    /// The response moves, or it is the caller that is slow.
    std::function<void(std::uint64_t)> progress;
    std::function<void(std::uint64_t, dataplane::UpstreamResult)> finished;
    std::function<void(std::uint64_t)> callerDisconnected;
  };

  /// All references must outlive the relay; the owner is the parent of the connections to replicas.
  RequestRelay(QObject* owner, http::Server& server, http::UpstreamPool& upstreams, http::Mapping const& mapping,
               AuditRecorder& recorder, Events events);

  /// Takes a caller's request over, until its response is complete or the caller is disconnected.
  void add(http::Request request, http::CallerRequest caller);

  /// Opens a connection to a replica, in place of the one before.
  void execute(dataplane::Connect const& command);
  /// Sends the request on its connection.
  void execute(dataplane::SendRequest const& command);
  /// Closes the connection to the replica.
  void execute(dataplane::CloseUpstream const& command);
  /// Writes an audit record before the request is sent.
  void execute(dataplane::WriteAuditRecord const& command);
  /// Rejects the request.
  void execute(dataplane::Reject const& command);
  /// Cuts a response that has begun.
  void execute(dataplane::ResetDownstream const& command);

  /// Bytes were written to the caller: reading from the replica goes on when the buffer has emptied.
  void onCallerWritable(std::uint64_t id);
  void onCallerDisconnected(std::uint64_t id);
  /// Resets callers that have read nothing for too long.
  void onTimer();

 private:
  struct ActiveRequest {
    /// Null between two connections. Owned by the pool's or the relay's owner, as its parent.
    http::UpstreamConnection* upstream = nullptr;
    http::Request request;
    dataplane::Request caller;
    /// Path that the reducer connected for.
    std::string path;
    dataplane::ResponseStream stream;
    /// Id of the last event that the caller says it has, for a path whose responses are event streams.
    std::string lastEvent;
    /// Some connection was opened before.
    bool everConnected = false;
    /// When progress was reported last, by the boot clock.
    core::Milliseconds progressAt = 0;
    /// Since when the replica is not read, as the caller is slow; 0: it is read.
    core::Milliseconds pausedSince = 0;
    /// The audit record of what the request is about to do could not be written.
    bool unrecorded = false;
  };
  enum class CloseMode { close, drainAndReuse };

  http::UpstreamConnection::Events upstreamEvents(std::uint64_t id);
  ActiveRequest* find(std::uint64_t id);
  void closeUpstream(std::uint64_t id, CloseMode mode = CloseMode::close);
  void onConnectFailed(std::uint64_t id);
  void onHead(std::uint64_t id, http::ReplicaHead const& head);
  void onChunk(std::uint64_t id, std::string bytes);
  void onEnded(std::uint64_t id, bool complete);
  void reportProgress(std::uint64_t id);
  /// Stops reading from the replica while too much waits to be written to the caller.
  void applyBackpressure(std::uint64_t id);
  void apply(std::uint64_t id, dataplane::StreamSteps&& steps);

  QObject* owner_;
  http::Server& server_;
  http::UpstreamPool& upstreams_;
  http::Mapping const& mapping_;
  AuditRecorder& recorder_;
  Events events_;
  /// By the id of the caller's request.
  std::unordered_map<std::uint64_t, ActiveRequest> requests_;
  core::Milliseconds nextStallCheckAt_ = 0;
};

}  // namespace corkward::programs
