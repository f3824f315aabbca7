#include "response_parser.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <corkward/core/http_status.h>
#include <corkward/http/headers.h>

namespace corkward::http {

namespace beast = boost::beast;

namespace {

/// Largest number of body bytes that one call of parse() consumes.
constexpr std::size_t bodyStepBytes = 32768;
/// HTTP/1.1 in Beast's representation of versions.
constexpr unsigned http11 = 11;
constexpr core::Milliseconds millisPerSecond = 1000;

bool isSuccess(int status) {
  return status >= 200 && status < 300;
}

bool isInterim(int status) {
  return status >= core::code(core::HttpStatus::continueRequest) && status < core::code(core::HttpStatus::ok) &&
         status != core::code(core::HttpStatus::switchingProtocols);
}

HeaderList headersOf(beast::http::fields const& fields) {
  HeaderList out;
  for (auto const& field : fields) out.emplace_back(std::string(field.name_string()), std::string(field.value()));
  return out;
}

}  // namespace

void ResponseParser::begin(bool isHeadRequest) {
  isHeadRequest_ = isHeadRequest;
  headBytes_ = 0;
  beginHead();
}

void ResponseParser::beginHead() {
  hasHead_ = false;
  parser_.emplace();
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->header_limit(maxFramingBytes);
  parser_->eager(false);
  parser_->skip(isHeadRequest_);
}

ResponseParser::Outcome ResponseParser::parse(QByteArray& buffer, std::string& body) {
  std::array<char, bodyStepBytes> step;
  bool const hadHead = hasHead_;
  if (hadHead) {
    parser_->get().body().data = step.data();
    parser_->get().body().size = step.size();
  }
  beast::error_code error;
  std::size_t const used =
      parser_->put(boost::asio::buffer(buffer.constData(), static_cast<std::size_t>(buffer.size())), error);
  buffer.remove(0, static_cast<qsizetype>(used));
  if (hadHead)
    body.append(step.data(), step.size() - parser_->get().body().size);
  else
    headBytes_ += used;
  bool const needsMore = error == beast::http::error::need_more;
  if (error == beast::http::error::header_limit || hasTooManyFields()) return Outcome::framingTooLong;
  if (error && !needsMore && error != beast::http::error::need_buffer) return Outcome::failed;
  if (!hadHead && parser_->is_header_done()) return onHead();
  if (used > 0 || !needsMore) return Outcome::progress;
  return buffer.size() > static_cast<qsizetype>(maxFramingBytes) ? Outcome::framingTooLong : Outcome::needsMoreBytes;
}

ResponseParser::Outcome ResponseParser::onHead() {
  if (isInterim(status())) {
    if (headBytes_ > maxFramingBytes) return Outcome::framingTooLong;
    beginHead();
    return Outcome::interimResponse;
  }
  hasHead_ = true;
  parser_->eager(true);
  return Outcome::headComplete;
}

ReplicaHead ResponseParser::head() const {
  ReplicaHead out;
  out.status = status();
  out.reason = std::string(parser_->get().reason());
  out.headers = headersOf(parser_->get());
  out.hasNoBody = hasNoBody();
  if (out.hasNoBody) {
    // Content-Length announces the length that the body would have if it were sent.
    bool isNumber = false;
    std::int64_t const announced =
        QString::fromStdString(headerValue(out.headers, "content-length")).toLongLong(&isNumber);
    if (isNumber) out.bodyLength = announced;
  } else if (parser_->content_length()) {
    out.bodyLength = static_cast<std::int64_t>(*parser_->content_length());
  }
  return out;
}

bool ResponseParser::hasTooManyFields() const {
  auto const& fields = parser_->get();
  return std::distance(fields.begin(), fields.end()) > maxFields;
}

bool ResponseParser::hasNoBody() const {
  return isHeadRequest_ || status() == core::code(core::HttpStatus::noContent) ||
         status() == core::code(core::HttpStatus::notModified);
}

bool ResponseParser::isUnusable() const {
  std::string const encoding = toLower(header("content-encoding"));
  bool const encoded = isSuccess(status()) && !encoding.empty() && encoding != "identity";
  return status() == core::code(core::HttpStatus::switchingProtocols) || encoded;
}

bool ResponseParser::bodyEndsWithConnection() const {
  return !hasNoBody() && !parser_->content_length() && !parser_->chunked();
}

bool ResponseParser::keepsConnection() const {
  return parser_->get().version() == http11 && parser_->keep_alive();
}

core::Milliseconds ResponseParser::keepAliveTimeout() const {
  std::string parameters = ";" + header("keep-alive");
  std::replace(parameters.begin(), parameters.end(), ',', ';');
  for (auto const& [name, value] : beast::http::param_list(parameters)) {
    if (toLower(std::string(name)) != "timeout") continue;
    bool isNumber = false;
    core::Milliseconds const seconds = QString::fromStdString(std::string(value)).toInt(&isNumber);
    return isNumber && seconds >= 0 ? seconds * millisPerSecond : 0;
  }
  return noTimeout;
}

std::optional<std::uint64_t> ResponseParser::contentLength() const {
  auto const length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::string ResponseParser::header(std::string const& name) const {
  return std::string(parser_->get()[name]);
}

}  // namespace corkward::http
