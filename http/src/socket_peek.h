#pragma once

#include <QTcpSocket>

namespace corkward::http {

/// What waits on a socket at this moment, as the operating system says it: the event loop may not have been notified
/// yet.
enum class PeekResult {
  /// Bytes can be read.
  data,
  /// Nothing waits; the connection stands.
  nothing,
  /// The peer has closed its side in order.
  closed,
  /// The connection was reset, or is in another error.
  failed,
};

/// Looks at the socket without reading from it.
PeekResult peek(QTcpSocket const& socket);

}  // namespace corkward::http
