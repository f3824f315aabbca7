#pragma once

#include <QTcpSocket>

#include <corkward/core/file_descriptor.h>

namespace corkward::http {

/// Tells whether a peer has closed its connection in order or reset it. The socket closes its own descriptor before it
/// reports that the connection has ended, and does not say in which of both ways; a second descriptor still knows.
class CloseObserver {
 public:
  /// Observes the connection of the socket from here on.
  void observe(QTcpSocket const& socket);
  void stop() { descriptor_.reset(); }
  /// The connection has ended in order; false when it is not observed.
  bool closedInOrder() const;

 private:
  core::FileDescriptor descriptor_;
};

}  // namespace corkward::http
