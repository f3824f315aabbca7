#pragma once

#include <QByteArray>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <string>

#include <corkward/core/types.h>
#include <corkward/http/upstream_connection.h>

namespace corkward::http {

/// Parses one response of a replica from the bytes of its connection.
class ResponseParser {
 public:
  enum class Outcome {
    /// Bytes were taken.
    progress,
    /// Nothing can be taken without more bytes than the buffer has.
    needsMoreBytes,
    /// An interim response (1xx) was skipped.
    interimResponse,
    /// The head has just become complete.
    headComplete,
    /// The bytes are no response.
    failed,
  };

  /// Keep-alive time-out of a response that announces none.
  static constexpr core::Milliseconds noTimeout = std::numeric_limits<core::Milliseconds>::max();

  /// Starts with the response to a request.
  /// @param toHead the request was HEAD
  void begin(bool toHead);
  /// Takes bytes from the front of the buffer, and appends those of the body to the text.
  Outcome parse(QByteArray& buffer, std::string& body);

  bool hasHead() const { return hasHead_; }
  /// The response's own end was seen.
  bool isComplete() const { return hasHead_ && parser_->is_done(); }
  /// The head, once it is complete.
  ReplicaHead head() const;
  /// The response cannot be passed on: a change of the protocol, or an encoded body that nobody asked for.
  bool isUnusable() const;
  /// The body has no announced end: the end of the connection is its end (RFC 9112, section 6.3).
  bool bodyEndsWithConnection() const;
  /// The replica keeps the connection open after the response.
  bool keepsConnection() const;
  /// Milliseconds that the replica keeps an idle connection, by its Keep-Alive header.
  core::Milliseconds keepAliveTimeout() const;
  /// Announced length of the body; nothing when none is announced.
  std::optional<std::uint64_t> contentLength() const;
  /// Value of a header; empty: none.
  std::string header(std::string const& name) const;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  Outcome onHead();
  int status() const { return static_cast<int>(parser_->get().result_int()); }
  bool hasNoBody() const;

  std::optional<Parser> parser_;
  bool toHead_ = false;
  bool hasHead_ = false;
};

}  // namespace corkward::http
