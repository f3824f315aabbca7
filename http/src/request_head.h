#pragma once

#include <cstddef>
#include <string>

#include <corkward/http/upstream_connection.h>

namespace corkward::http {

/// Values for the header fields that the connection adds to a request to a replica.
struct RequestFraming {
  /// Value of the Host header field if the request has none.
  std::string host;
  std::size_t bodyBytes = 0;
  /// Whether the connection stays open after the response; if false, the request has "Connection: close".
  bool keepsConnection = true;
};

/// Returns the request line and header section of a request to a replica as they are sent on the wire.
std::string requestHead(ReplicaRequest const& request, RequestFraming const& framing);

}  // namespace corkward::http
