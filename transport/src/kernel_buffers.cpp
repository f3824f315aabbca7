#include <corkward/transport/kernel_buffers.h>

#include <sys/socket.h>

namespace corkward::transport {

void setReceiveBuffer(qintptr socket, int bytes) {
  ::setsockopt(static_cast<int>(socket), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void setSendBuffer(qintptr socket, int bytes) {
  ::setsockopt(static_cast<int>(socket), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

}  // namespace corkward::transport
