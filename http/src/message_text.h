#pragma once

#include <QTcpSocket>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace corkward::http {

/// Appends the bytes of a sequence of buffers to a text.
template <class Buffers>
void append(std::string& out, Buffers const& buffers) {
  for (boost::asio::const_buffer const buffer : boost::beast::buffers_range_ref(buffers))
    out.append(static_cast<char const*>(buffer.data()), buffer.size());
}

/// Returns the start line and header section of a message as they are sent on the wire.
template <bool isRequest>
std::string headText(boost::beast::http::message<isRequest, boost::beast::http::empty_body>& message) {
  std::string out;
  boost::beast::http::serializer<isRequest, boost::beast::http::empty_body> serializer(message);
  serializer.split(true);
  boost::beast::error_code error;
  serializer.next(error, [&out](boost::beast::error_code&, auto const& buffers) { append(out, buffers); });
  return out;
}

/// Appends bytes to the socket's write buffer, so that everything written in one iteration of the event loop is sent
/// together.
inline void write(QTcpSocket& socket, std::string const& bytes) {
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

}  // namespace corkward::http
