#pragma once

#include <QtGlobal>
#include <string_view>

class QObject;
class QTcpSocket;

namespace corkward::transport {

/// Writes the bytes, or has the socket keep those that the operating system does not take now. Returns false if the
/// connection has ended.
bool writeAll(QTcpSocket& socket, std::string_view bytes);

/// Sends the bytes on a connected descriptor without waiting. Returns false if the operating system does not take all
/// of them, as it does the first few of a new connection, or if the connection has ended.
bool sendAtOnce(qintptr descriptor, std::string_view bytes);

/// Closes the socket without waiting and frees it once its pending events were processed. Its signals no longer reach
/// the receiver. Null has no effect.
void closeLater(QTcpSocket* socket, QObject* receiver);

}  // namespace corkward::transport
