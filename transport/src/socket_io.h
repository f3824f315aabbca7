#pragma once

#include <string_view>

class QObject;
class QTcpSocket;

namespace corkward::transport {

/// Writes the bytes, or has the socket keep those that the operating system does not take now. Returns false if the
/// connection has ended.
bool writeAll(QTcpSocket& socket, std::string_view bytes);

/// Closes the socket without waiting and frees it once its pending events were processed. Its signals no longer reach
/// the receiver. Null has no effect.
void closeLater(QTcpSocket* socket, QObject* receiver);

}  // namespace corkward::transport
