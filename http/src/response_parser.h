#pragma once

#include <QByteArray>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>

#include <corkward/core/types.h>
#include <corkward/http/upstream_connection.h>

namespace corkward::http {

/// Parses one response of a replica from the bytes that were received on its connection.
class ResponseParser {
 public:
  enum class Outcome {
    /// Bytes were consumed.
    progress,
    /// No byte can be consumed until the buffer contains more bytes.
    needsMoreBytes,
    /// An interim response (1xx) was skipped.
    interimResponse,
    /// The header section has just become complete.
    headComplete,
    /// The bytes are no valid response.
    failed,
    /// What belongs to no body is longer than maxFramingBytes, or has more than maxFields header fields.
    framingTooLong,
  };

  /// Longest header section, longest size line of a chunk with its extension, longest trailer section, and the most
  /// that all interim responses before a response may take.
  static constexpr std::uint32_t maxFramingBytes = 16U << 10;
  /// Most fields of a header section or a trailer section. A parsed field takes many times the memory of a short line.
  static constexpr std::ptrdiff_t maxFields = 256;

  /// Value of keepAliveTimeout() for a response that announces no timeout.
  static constexpr core::Milliseconds noTimeout = std::numeric_limits<core::Milliseconds>::max();

  /// Prepares to parse the response to a request.
  /// @param isHeadRequest whether the method of the request is HEAD
  void begin(bool isHeadRequest);
  /// Consumes bytes from the front of the buffer, and appends the bytes of the response's body to `body`.
  Outcome parse(QByteArray& buffer, std::string& body);

  /// Whether the header section is complete.
  bool hasHead() const { return hasHead_; }
  /// Whether the end of the response was received, as its message framing defines it.
  bool isComplete() const { return hasHead_ && parser_->is_done(); }
  /// Returns the status line and header fields. The header section must be complete.
  ReplicaHead head() const;
  /// Releases the memory of the header fields. Afterwards head(), isUnusable(), keepAliveTimeout() and header() see
  /// none.
  void dropFields() { parser_->get().clear(); }
  /// Whether the response cannot be forwarded: it switches the protocol (101), or it is successful and has a content
  /// coding, which requests to replicas do not ask for.
  bool isUnusable() const;
  /// Whether the body ends with the connection, because the response has neither Content-Length nor the chunked
  /// transfer coding (RFC 9112, section 6.3).
  bool bodyEndsWithConnection() const;
  /// Whether the replica keeps the connection open after the response.
  bool keepsConnection() const;
  /// Returns the timeout of the Keep-Alive header in milliseconds: the replica closes a connection that is idle for
  /// longer. Returns noTimeout if the response announces none, and 0 if the value is malformed.
  core::Milliseconds keepAliveTimeout() const;
  /// Returns the value of Content-Length, or std::nullopt if the response has none.
  std::optional<std::uint64_t> contentLength() const;
  /// Returns the value of a header field, or an empty text if the response has no such field.
  std::string header(std::string const& name) const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Prepares to parse a header section, of an interim response or of the final one.
  void beginHead();
  Outcome onHead();
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  bool hasNoBody() const;
  bool hasTooManyFields() const;

  std::optional<Parser> parser_;
  bool isHeadRequest_ = false;
  bool hasHead_ = false;
  /// Bytes of the header sections so far, with those of interim responses.
  std::size_t headBytes_ = 0;
};

}  // namespace corkward::http
