#pragma once

#include <optional>
#include <string>

#include <corkward/http/headers.h>
#include <corkward/http/upstream_connection.h>
#include <corkward/http/server.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>

namespace corkward::http {

/// A caller's request as the data plane's event, or the fault that it is answered with at once.
struct CallerRequest {
  std::optional<dataplane::Request> request;
  int status = 0;
  std::string reason;
  /// The answer may be a row of events that goes on at another replica; and the last event that the caller has.
  bool events = false;
  std::string lastEvent;
};

/// What a request to a replica is made from. The references hold during the call only.
struct Dispatch {
  Request const& request;
  dataplane::Request const& caller;
  /// Path as the plane connected for it.
  std::string const& path;
  dataplane::SendRequest const& handOver;
  dataplane::Resume const& resume;
};

/// The one mapping between HTTP and the data plane's events. Calls keep no state and may come in any order.
class Mapping {
 public:
  virtual ~Mapping() = default;
  /// Reads a caller's request.
  virtual CallerRequest callerRequest(Request const& request) const = 0;
  /// Head of the request that the replica is handed; the body goes with it unchanged. Host and the body's length are
  /// added where they are missing.
  virtual ReplicaRequest replicaRequest(Dispatch const& dispatch) const = 0;
  /// Reads the head of a replica's answer to the request.
  virtual dataplane::ResponseHead head(ReplicaHead const& head, Request const& request) const = 0;
  /// Header fields and body of a rejection, or of an outcome that is not known.
  virtual HeaderList rejectFields(dataplane::Reject const& reject) const = 0;
  virtual std::string rejectBody(dataplane::Reject const& reject) const = 0;
};

/// The product's own headers: POST /v1/{instance}/{path...}; see docs/interface.md.
class NativeMapping : public Mapping {
 public:
  CallerRequest callerRequest(Request const& request) const override;
  ReplicaRequest replicaRequest(Dispatch const& dispatch) const override;
  dataplane::ResponseHead head(ReplicaHead const& head, Request const& request) const override;
  HeaderList rejectFields(dataplane::Reject const& reject) const override;
  std::string rejectBody(dataplane::Reject const& reject) const override;
};

}  // namespace corkward::http
