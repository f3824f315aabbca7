#pragma once

#include <QtGlobal>

namespace corkward::transport {

/// Sets the size of a socket's receive buffer in the operating system. Connections that a listening socket accepts have
/// its size. Up to one and a half times the size waits unread there. Without effect where the system does not allow it.
///
/// A buffer must not shrink to half of a size that it had on the connection: senders cut their segments to half of the
/// largest window that they were offered, and keep back what does not fit until their timer for closed windows ends.
/// @param bytes size; without one the system lets the buffer grow to megabytes
void setReceiveBuffer(qintptr socket, int bytes);

/// Sets the size of a socket's send buffer, likewise.
void setSendBuffer(qintptr socket, int bytes);

}  // namespace corkward::transport
