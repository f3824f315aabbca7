#pragma once

#include <QTcpSocket>
#include <cstdint>
#include <string>

#include <corkward/http/headers.h>

namespace corkward::http {

/// Head of a response as the server writes it.
struct ResponseHeadFields {
  int status = 200;
  HeaderList const& headers;
  /// Length of the body; below zero: not known, so the body goes in chunks.
  std::int64_t bodyLength = -1;
  /// Reason phrase; empty: the usual one.
  std::string reason = {};
  /// Announces that the connection is closed after the response.
  bool closes = false;
  bool sendsServerHeader = true;
};

/// Writes the responses of one connection, one after the other, with the framing of HTTP/1.1 (RFC 9112, section 6).
class ResponseWriter {
 public:
  explicit ResponseWriter(QTcpSocket& socket) : socket_(socket) {}
  /// Begins with the next response.
  /// @param toHead the request was HEAD, so that no body follows, whatever the length says
  void reset(bool toHead);
  void writeHead(ResponseHeadFields const& head);
  /// Writes a part of the body; nothing for a response that has none.
  void writeBody(std::string const& bytes);
  /// Writes the end of a body in chunks.
  void writeEnd();
  /// Bytes of the announced body that were not written yet; 0 when the body is complete or of no announced length.
  std::int64_t missingBytes() const { return missingBytes_; }

 private:
  QTcpSocket& socket_;
  bool toHead_ = false;
  bool hasNoBody_ = false;
  bool chunked_ = false;
  std::int64_t missingBytes_ = 0;
};

}  // namespace corkward::http
