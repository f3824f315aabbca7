#include "response_writer.h"

#include <algorithm>
#include <boost/beast/http.hpp>

#include <corkward/core/http_status.h>

#include "message_text.h"

namespace corkward::http {

namespace beast = boost::beast;

namespace {

/// HTTP/1.1 in Beast's representation of versions.
constexpr unsigned http11 = 11;
constexpr char const* serverName = "corkward";
/// Bytes reserved for the size line and the line ends of a chunk.
constexpr std::size_t chunkOverhead = 24;

bool isNotModified(int status) {
  return status == core::code(core::HttpStatus::notModified);
}

/// Whether responses with this status never have a body (RFC 9110, section 6.4.1).
bool hasNoBody(int status) {
  return status < core::code(core::HttpStatus::ok) || status == core::code(core::HttpStatus::noContent) ||
         isNotModified(status);
}

}  // namespace

void ResponseWriter::reset(bool isHeadRequest) {
  isHeadRequest_ = isHeadRequest;
  hasNoBody_ = false;
  chunked_ = false;
  missingBytes_ = 0;
}

void ResponseWriter::writeHead(ResponseHeadFields const& head) {
  beast::http::response<beast::http::empty_body> message;
  message.version(http11);
  message.result(static_cast<unsigned>(head.status));
  if (!head.reason.empty()) message.reason(head.reason);
  for (auto const& [name, value] : head.headers) message.insert(name, value);
  if (head.sendsServerHeader) message.set(beast::http::field::server, serverName);
  hasNoBody_ = isHeadRequest_ || hasNoBody(head.status);
  chunked_ = head.bodyLength < 0 && !hasNoBody_;
  missingBytes_ = hasNoBody_ ? 0 : std::max<std::int64_t>(head.bodyLength, 0);
  if (chunked_) message.chunked(true);
  bool const mayHaveLength = !hasNoBody(head.status) || isNotModified(head.status);
  if (head.bodyLength >= 0 && mayHaveLength) message.content_length(static_cast<std::uint64_t>(head.bodyLength));
  if (head.closes) message.set(beast::http::field::connection, "close");
  write(socket_, headText(message));
}

void ResponseWriter::writeBody(std::string const& bytes) {
  if (bytes.empty() || hasNoBody_) return;
  if (!chunked_) {
    missingBytes_ -= static_cast<std::int64_t>(bytes.size());
    write(socket_, bytes);
    return;
  }
  std::string text;
  text.reserve(bytes.size() + chunkOverhead);
  append(text, beast::http::make_chunk(boost::asio::buffer(bytes)));
  write(socket_, text);
}

void ResponseWriter::writeEnd() {
  if (!chunked_) return;
  std::string text;
  append(text, beast::http::make_chunk_last());
  write(socket_, text);
}

}  // namespace corkward::http
