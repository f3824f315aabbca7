#pragma once

#include <QTcpSocket>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace corkward::http {

/// Appends a sequence of buffers to text.
template <class Buffers>
void append(std::string& out, Buffers const& buffers) {
  for (boost::asio::const_buffer const b : boost::beast::buffers_range_ref(buffers))
    out.append(static_cast<char const*>(b.data()), b.size());
}

/// The head of a message as it goes on the wire.
template <bool isRequest>
std::string headText(boost::beast::http::message<isRequest, boost::beast::http::empty_body>& message) {
  std::string out;
  boost::beast::http::serializer<isRequest, boost::beast::http::empty_body> serializer(message);
  serializer.split(true);
  boost::beast::error_code ec;
  serializer.next(ec, [&out](boost::beast::error_code&, auto const& buffers) { append(out, buffers); });
  return out;
}

/// Bytes go into the socket's own buffer together, so that what is written together leaves together.
inline void put(QTcpSocket& socket, std::string const& bytes) {
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

}  // namespace corkward::http
