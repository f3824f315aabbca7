#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <variant>

#include <corkward/core/http_status.h>
#include <corkward/http/server.h>

namespace corkward::http {

/// A complete request with what its connection has to know of it.
struct ParsedRequest {
  /// Without its id and listener.
  Request request;
  /// The caller keeps the connection open for further requests.
  bool keepAlive = true;
  bool isHead = false;
};

/// Why bytes are no request, or none that is accepted.
struct RequestError {
  core::HttpStatus status = core::HttpStatus::badRequest;
  std::string reason;
};

/// More bytes are needed.
struct IncompleteRequest {};

struct ParseResult {
  /// The caller waits for 100 Continue before it sends the body (RFC 9110, section 10.1.1).
  bool expectsContinue = false;
  std::variant<IncompleteRequest, ParsedRequest, RequestError> outcome;
};

/// Parses the requests of one connection, one after the other, within the server's limits.
class RequestParser {
 public:
  /// Some of a request was read and not all of it.
  bool inProgress() const { return parser_.has_value(); }
  /// Starts with the next request, at its first byte.
  void begin(ServerLimits const& limits);
  /// Takes bytes of the request out of the buffer; what follows the request stays in it.
  ParseResult parse(QByteArray& buffer);

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool takeExpectsContinue();
  std::variant<IncompleteRequest, ParsedRequest, RequestError> release();

  /// Empty between two requests.
  std::optional<Parser> parser_;
  qsizetype maxHeadBytes_ = 0;
  /// Since the first byte of the request.
  QElapsedTimer readingSince_;
  bool continueReported_ = false;
};

}  // namespace corkward::http
