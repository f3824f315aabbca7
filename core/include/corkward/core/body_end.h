#pragma once

namespace corkward::core {

/// How the body of a received response ended (RFC 9112, sections 6.3 and 8).
enum class BodyEnd {
  /// The message framing marks the end: all bytes of Content-Length or the last chunk were received, or the response
  /// has no body.
  framed,
  /// The response has neither Content-Length nor the chunked transfer coding, and the peer closed the connection
  /// without a reset. The operating system closes the connections of a crashed process in the same way, so the body may
  /// be incomplete.
  connectionClosed,
  /// The connection ended or was reset before the end of the body, or the response is malformed.
  incomplete,
};

}  // namespace corkward::core
