#include "socket_peek.h"

#include <cerrno>
#include <sys/socket.h>

namespace corkward::http {

PeekResult peek(QTcpSocket const& socket) {
  char byte = 0;
  ssize_t const received = ::recv(static_cast<int>(socket.socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return PeekResult::data;
  if (received == 0) return PeekResult::closed;
  bool const wouldBlock = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return wouldBlock ? PeekResult::noData : PeekResult::failed;
}

}  // namespace corkward::http
