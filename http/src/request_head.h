#pragma once

#include <cstddef>
#include <string>

#include <corkward/http/upstream_connection.h>

namespace corkward::http {

/// How a request to a replica is framed.
struct RequestFraming {
  /// Value of Host when the request has none.
  std::string host;
  std::size_t bodyBytes = 0;
  /// The connection is kept open after the response.
  bool keepsConnection = true;
};

/// The head of a request to a replica as it goes on the wire.
std::string requestHead(ReplicaRequest const& request, RequestFraming const& framing);

}  // namespace corkward::http
