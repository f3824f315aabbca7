#pragma once

#include <optional>
#include <string>

#include <corkward/http/headers.h>
#include <corkward/http/upstream_connection.h>
#include <corkward/http/server.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>

namespace corkward::http {

/// A caller's request as the data plane receives it, or the error response for a request that is rejected.
struct CallerRequest {
  /// std::nullopt if the request is rejected.
  std::optional<dataplane::Request> request;
  /// HTTP status and reason of the rejection. Zero and empty if the request is accepted.
  int status = 0;
  std::string reason;
  /// Whether a response that is an event stream may be resumed on another replica after the last event that was
  /// forwarded to the caller.
  bool isEventStream = false;
  /// Id of the last event that the caller has received according to its request. Empty if the request names none.
  std::string lastEventId;
};

/// Everything that Mapping::replicaRequest needs to build the request to a replica. The references are valid only
/// during that call.
struct Dispatch {
  Request const& request;
  dataplane::Request const& caller;
  /// Path of the request on the replica, as the data plane determined it.
  std::string const& path;
  dataplane::SendRequest const& command;
  dataplane::Resume const& resume;
};

/// Translates between HTTP and the data plane's events. Each HTTP interface has an implementation. Mappings are
/// stateless.
class Mapping {
 public:
  Mapping() = default;
  virtual ~Mapping() = default;
  Mapping(Mapping const&) = delete;
  Mapping& operator=(Mapping const&) = delete;
  Mapping(Mapping&&) = delete;
  Mapping& operator=(Mapping&&) = delete;
  /// Translates a caller's HTTP request to a request for the data plane, or to a rejection.
  virtual CallerRequest callerRequest(Request const& request) const = 0;
  /// Returns the request line and header fields for the request to a replica. The caller's body is forwarded unchanged.
  /// The connection adds Host if it is missing, and Content-Length.
  virtual ReplicaRequest replicaRequest(Dispatch const& dispatch) const = 0;
  /// Translates the status and header section of a replica's response to the given request.
  virtual dataplane::ResponseHead responseHead(ReplicaHead const& head, Request const& request) const = 0;
  /// Return the header fields and the body of the response for a rejected request, or for a request whose outcome is
  /// unknown.
  virtual HeaderList rejectionHeaders(dataplane::Reject const& reject) const = 0;
  virtual std::string rejectionBody(dataplane::Reject const& reject) const = 0;
};

/// The product's native HTTP interface for callers: POST /v1/{instance}/{path...}; see docs/interface.md.
class NativeMapping : public Mapping {
 public:
  CallerRequest callerRequest(Request const& request) const override;
  ReplicaRequest replicaRequest(Dispatch const& dispatch) const override;
  dataplane::ResponseHead responseHead(ReplicaHead const& head, Request const& request) const override;
  HeaderList rejectionHeaders(dataplane::Reject const& reject) const override;
  std::string rejectionBody(dataplane::Reject const& reject) const override;
};

}  // namespace corkward::http
