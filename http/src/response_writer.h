#pragma once

#include <QTcpSocket>
#include <cstdint>
#include <string>

#include <corkward/http/headers.h>

namespace corkward::http {

/// Content of a response's status line and header section.
struct ResponseHeadFields {
  int status = 200;
  HeaderList const& headers;
  /// Length of the body; negative if it is unknown, so that the chunked transfer coding is used.
  std::int64_t bodyLength = -1;
  /// Reason phrase; if empty, the standard phrase of the status is used.
  std::string reason = {};
  /// Whether the response announces that the connection is closed after it.
  bool closes = false;
  bool sendsServerHeader = true;
};

/// Writes the successive responses of one connection with the message framing of HTTP/1.1 (RFC 9112, section 6).
class ResponseWriter {
 public:
  explicit ResponseWriter(QTcpSocket& socket) : socket_(socket) {}
  /// Prepares to write the next response.
  /// @param isHeadRequest whether the method of the request is HEAD, so that the response has no body whatever its
  /// length is
  void reset(bool isHeadRequest);
  /// Writes the status line and header section.
  void writeHead(ResponseHeadFields const& head);
  /// Writes bytes of the body. Does nothing if the response has no body.
  void writeBody(std::string const& bytes);
  /// Writes the last chunk if the response uses the chunked transfer coding; otherwise does nothing.
  void writeEnd();
  /// Returns how many bytes of the announced body length were not written yet; 0 if the body is complete or has no
  /// announced length.
  std::int64_t missingBytes() const { return missingBytes_; }

 private:
  QTcpSocket& socket_;
  bool isHeadRequest_ = false;
  bool hasNoBody_ = false;
  bool chunked_ = false;
  std::int64_t missingBytes_ = 0;
};

}  // namespace corkward::http
