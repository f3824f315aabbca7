#include "request_head.h"

#include <boost/beast/http.hpp>

#include <corkward/core/http_method.h>

#include "message_text.h"

namespace corkward::http {

namespace beast = boost::beast;

namespace {

/// HTTP/1.1 in Beast's representation of versions.
constexpr unsigned http11 = 11;

/// Whether a request with this method and without a body may omit Content-Length (RFC 9110, section 8.6).
bool mayLackLength(std::string const& method) {
  switch (core::httpMethodOf(method).value_or(core::HttpMethod::post)) {
    case core::HttpMethod::get:
    case core::HttpMethod::head:
    case core::HttpMethod::del:
    case core::HttpMethod::options:
      return true;
    default:
      return false;
  }
}

}  // namespace

std::string requestHead(ReplicaRequest const& request, RequestFraming const& framing) {
  beast::http::request<beast::http::empty_body> message;
  message.version(http11);
  message.method_string(request.method);
  message.target(request.target);
  if (headerValue(request.headers, "host").empty()) message.set(beast::http::field::host, framing.host);
  for (auto const& [name, value] : request.headers) message.insert(name, value);
  if (!framing.keepsConnection) message.set(beast::http::field::connection, "close");
  if (framing.bodyBytes > 0 || !mayLackLength(request.method)) message.content_length(framing.bodyBytes);
  return headText(message);
}

}  // namespace corkward::http
