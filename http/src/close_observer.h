#pragma once

#include <QTcpSocket>

#include <corkward/core/file_descriptor.h>

namespace corkward::http {

/// Determines whether the peer closed a connection normally (FIN) or reset it (RST). QTcpSocket does not report which
/// of the two happened, and it closes its descriptor before it reports the end of the connection. This class therefore
/// keeps a duplicate of the descriptor, from which the difference can still be read.
class CloseObserver {
 public:
  /// Starts to observe the connection of the socket.
  void observe(QTcpSocket const& socket);
  void stop() { descriptor_.reset(); }
  /// Whether the connection, which must have ended, was closed without a reset. Returns false if no connection is
  /// observed.
  bool closedWithoutReset() const;

 private:
  core::FileDescriptor descriptor_;
};

}  // namespace corkward::http
