#pragma once

#include <optional>
#include <string>

#include <corkward/http/headers.h>
#include <corkward/http/upstream_connection.h>
#include <corkward/http/server.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>

namespace corkward::http {

/// A caller's request as an event for the data plane, or the error that it is rejected with.
struct CallerRequest {
  /// Empty for a request that is rejected.
  std::optional<dataplane::Request> request;
  /// Status and reason of the rejection.
  int status = 0;
  std::string reason;
  /// A response that is an event stream may be resumed at another replica, after the last event that was passed on.
  bool isEventStream = false;
  /// Last event that the caller says it has; empty: none.
  std::string lastEventId;
};

/// What a request to a replica is made of. The references are valid during the call only.
struct Dispatch {
  Request const& request;
  dataplane::Request const& caller;
  /// Path that the data plane connected for.
  std::string const& path;
  dataplane::SendRequest const& command;
  dataplane::Resume const& resume;
};

/// Maps HTTP to the data plane's events and back; there is one for each HTTP surface. Mappings keep no state.
class Mapping {
 public:
  Mapping() = default;
  virtual ~Mapping() = default;
  Mapping(Mapping const&) = delete;
  Mapping& operator=(Mapping const&) = delete;
  Mapping(Mapping&&) = delete;
  Mapping& operator=(Mapping&&) = delete;
  /// Reads a caller's request.
  virtual CallerRequest callerRequest(Request const& request) const = 0;
  /// Head of the request to a replica; the body goes with it unchanged. Host and the body's length are added where they
  /// are missing.
  virtual ReplicaRequest replicaRequest(Dispatch const& dispatch) const = 0;
  /// Reads the head of a replica's response to the request.
  virtual dataplane::ResponseHead responseHead(ReplicaHead const& head, Request const& request) const = 0;
  /// Headers and body of a rejection, or of an outcome that is not known.
  virtual HeaderList rejectionHeaders(dataplane::Reject const& reject) const = 0;
  virtual std::string rejectionBody(dataplane::Reject const& reject) const = 0;
};

/// The product's own HTTP surface: POST /v1/{instance}/{path...}; see docs/interface.md.
class NativeMapping : public Mapping {
 public:
  CallerRequest callerRequest(Request const& request) const override;
  ReplicaRequest replicaRequest(Dispatch const& dispatch) const override;
  dataplane::ResponseHead responseHead(ReplicaHead const& head, Request const& request) const override;
  HeaderList rejectionHeaders(dataplane::Reject const& reject) const override;
  std::string rejectionBody(dataplane::Reject const& reject) const override;
};

}  // namespace corkward::http
