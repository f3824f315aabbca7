#include "close_observer.h"

#include <fcntl.h>
#include <sys/socket.h>

namespace corkward::http {

void CloseObserver::observe(QTcpSocket const& socket) {
  descriptor_.reset(::fcntl(static_cast<int>(socket.socketDescriptor()), F_DUPFD_CLOEXEC, 0));
}

bool CloseObserver::closedWithoutReset() const {
  // getpeername fails after a reset, because the socket then has no peer any more.
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  return descriptor_.isOpen() && ::getpeername(descriptor_.get(), reinterpret_cast<sockaddr*>(&peer), &length) == 0;
}

}  // namespace corkward::http
