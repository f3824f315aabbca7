#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <variant>

#include <corkward/core/http_status.h>
#include <corkward/http/server.h>

#include "counting_allocator.h"
#include "request_body.h"

namespace corkward::http {

/// A complete request, and the properties that its connection needs to write the response.
struct ParsedRequest {
  /// The request; its id and listener are not set.
  Request request;
  /// The caller keeps the connection open after the response.
  bool keepAlive = true;
  /// The method is HEAD.
  bool isHead = false;
};

/// Error for bytes that are not a valid request, or for a request that exceeds the server's limits.
struct RequestError {
  core::HttpStatus status = core::HttpStatus::badRequest;
  std::string reason;
};

/// The request is not complete yet; the parser needs more bytes.
struct IncompleteRequest {};

struct ParseResult {
  /// The caller waits for a 100 (Continue) response before it sends the body (RFC 9110, section 10.1.1). Set only once
  /// for each request.
  bool expectsContinue = false;
  std::variant<IncompleteRequest, ParsedRequest, RequestError> outcome;
};

/// Parses the successive requests of one connection, and enforces the server's limits.
class RequestParser {
 public:
  RequestParser() = default;
  ~RequestParser() = default;
  RequestParser(RequestParser const&) = delete;
  RequestParser& operator=(RequestParser const&) = delete;
  RequestParser(RequestParser&&) = delete;
  RequestParser& operator=(RequestParser&&) = delete;
  /// Whether a request has begun and is not complete yet.
  bool inProgress() const { return parser_.has_value(); }
  /// Prepares to parse the next request. Must be called when its first byte has arrived.
  void begin(ServerLimits const& limits);
  /// Consumes the bytes of the request from the front of the buffer. Bytes after the request remain in the buffer.
  /// A request for which no memory can be allocated is an error with status 503.
  ParseResult parse(QByteArray& buffer);
  /// Returns the length that the body of the request in progress will have: the announced one, or the limit for a body
  /// in chunks. 0 before the header section is complete.
  std::uint64_t expectedBodyBytes() const;
  /// Whether the body of the request in progress arrives in chunks, so that its length is not known.
  bool isChunked() const { return parser_ && parser_->chunked(); }
  /// Returns the memory that the body of the request in progress takes.
  std::uint64_t bodyCapacity() const { return parser_ ? parser_->get().body().capacity() : 0; }
  /// Returns the memory that the parsed header and trailer fields of the request in progress take.
  std::uint64_t fieldBytes() const { return fieldBytes_; }
  std::uint64_t bodySize() const { return parser_ ? parser_->get().body().size() : 0; }
  /// Allocates memory for the rest of the body.
  void reserveBody(std::uint64_t bytes) { parser_->get().body().reserve(bytes); }
  /// Gives the request in progress up.
  void reset() { parser_.reset(); }

 private:
  using Parser = boost::beast::http::request_parser<RequestBody, CountingAllocator<char>>;

  ParseResult parseBytes(QByteArray& buffer);
  /// Whether the request expects a 100 (Continue) response that was not reported yet; marks it as reported.
  bool takeExpectsContinue();
  /// Returns the complete request or its error, and ends the parsing of the request.
  std::variant<IncompleteRequest, ParsedRequest, RequestError> release();

  /// Counts the allocations of the parser's fields.
  std::uint64_t fieldBytes_ = 0;
  /// std::nullopt between two requests.
  std::optional<Parser> parser_;
  qsizetype maxHeadBytes_ = 0;
  std::uint64_t bodyLimit_ = 0;
  /// Measures the time since the first byte of the request.
  QElapsedTimer readingSince_;
  bool continueReported_ = false;
};

}  // namespace corkward::http
