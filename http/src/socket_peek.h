#pragma once

#include <QTcpSocket>

namespace corkward::http {

/// State of a socket's receiving side according to the operating system. The event loop may not have been notified of
/// it yet.
enum class PeekResult {
  /// Bytes can be read.
  data,
  /// No bytes can be read, and the connection is open.
  noData,
  /// The peer has closed its sending side without a reset.
  closed,
  /// The connection was reset or has another error.
  failed,
};

/// Returns the state of the socket's receiving side without consuming bytes.
PeekResult peek(QTcpSocket const& socket);

}  // namespace corkward::http
