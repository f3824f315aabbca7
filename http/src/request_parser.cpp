#include "request_parser.h"

#include <new>
#include <tuple>
#include <utility>

#include <corkward/http/headers.h>

namespace corkward::http {

namespace beast = boost::beast;

namespace {

/// HTTP/1.1 in Beast's representation of versions.
constexpr unsigned http11 = 11;
/// Memory that a complete body may take beyond its length.
constexpr std::size_t maxUnusedBytes = 64U << 10;

RequestError errorOf(beast::error_code const& error) {
  core::HttpStatus status = core::HttpStatus::badRequest;
  if (error == beast::http::error::body_limit) status = core::HttpStatus::contentTooLarge;
  if (error == beast::http::error::header_limit) status = core::HttpStatus::headerFieldsTooLarge;
  return {status, error.message()};
}

/// Returns the header fields by name in lower case. The values of a repeated field are joined with commas (RFC 9110,
/// section 5.3), those of Cookie with semicolons (RFC 6265, section 5.4).
template <class Fields>
HeaderMap headersOf(Fields const& fields) {
  HeaderMap out;
  for (auto const& field : fields) {
    std::string const name = toLower(std::string(field.name_string()));
    auto const [entry, isNew] = out.emplace(name, std::string(field.value()));
    if (!isNew) entry->second.append(name == "cookie" ? "; " : ", ").append(field.value().data(), field.value().size());
  }
  return out;
}

}  // namespace

void RequestParser::begin(ServerLimits const& limits) {
  parser_.emplace(std::piecewise_construct, std::tuple<>(), std::tuple(CountingAllocator<char>(fieldBytes_)));
  parser_->header_limit(limits.headLimitBytes);
  parser_->body_limit(limits.bodyLimitBytes);
  parser_->eager(true);
  bodyLimit_ = limits.bodyLimitBytes;
  maxHeadBytes_ = static_cast<qsizetype>(limits.headLimitBytes);
  continueReported_ = false;
  readingSince_.start();
}

ParseResult RequestParser::parse(QByteArray& buffer) {
  try {
    return parseBytes(buffer);
  } catch (std::bad_alloc const&) {
    parser_.reset();
    return {.outcome = RequestError{core::HttpStatus::serviceUnavailable, "out of memory"}};
  }
}

ParseResult RequestParser::parseBytes(QByteArray& buffer) {
  beast::error_code error;
  std::size_t const used =
      parser_->put(boost::asio::buffer(buffer.constData(), static_cast<std::size_t>(buffer.size())), error);
  buffer.remove(0, static_cast<qsizetype>(used));
  ParseResult result;
  if (error && error != beast::http::error::need_more) {
    result.outcome = errorOf(error);
    return result;
  }
  result.expectsContinue = takeExpectsContinue();
  if (parser_->is_done())
    result.outcome = release();
  else if (buffer.size() > maxHeadBytes_)
    result.outcome = RequestError{core::HttpStatus::headerFieldsTooLarge, "head too large"};
  return result;
}

std::uint64_t RequestParser::expectedBodyBytes() const {
  if (!parser_ || !parser_->is_header_done()) return 0;
  auto const announced = parser_->content_length();
  if (announced) return *announced;
  return parser_->chunked() ? bodyLimit_ : 0;
}

bool RequestParser::takeExpectsContinue() {
  if (!parser_->is_header_done() || continueReported_) return false;
  bool const expects = toLower(std::string(parser_->get()[beast::http::field::expect])) == "100-continue";
  continueReported_ = expects;
  return expects;
}

std::variant<IncompleteRequest, ParsedRequest, RequestError> RequestParser::release() {
  Parser::value_type message = parser_->release();
  parser_.reset();
  if (message.version() != http11)
    return RequestError{core::HttpStatus::httpVersionNotSupported,
                        "HTTP/1.1 is needed: only there can a cut body be told from a whole one"};
  ParsedRequest out;
  out.keepAlive = message.keep_alive();
  out.isHead = message.method() == beast::http::verb::head;
  out.request.method = std::string(message.method_string());
  out.request.target = std::string(message.target());
  out.request.headers = headersOf(message);
  out.request.body = std::move(message.body());
  if (out.request.body.capacity() - out.request.body.size() > maxUnusedBytes) out.request.body.shrink_to_fit();
  out.request.readDuration = readingSince_.elapsed();
  return out;
}

}  // namespace corkward::http
