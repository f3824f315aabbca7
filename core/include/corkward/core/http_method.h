#pragma once

#include <optional>
#include <string_view>

namespace corkward::core {

/// Methods of HTTP/1.1 (RFC 9110, section 9; PATCH of RFC 5789) that the fleet's edges and pages tell apart. Other ones
/// pass a router as the text that the caller wrote.
enum class HttpMethod { get, head, post, put, patch, del, options };

/// The method as it stands on the wire.
constexpr std::string_view name(HttpMethod method) {
  switch (method) {
    case HttpMethod::get:
      return "GET";
    case HttpMethod::head:
      return "HEAD";
    case HttpMethod::post:
      return "POST";
    case HttpMethod::put:
      return "PUT";
    case HttpMethod::patch:
      return "PATCH";
    case HttpMethod::del:
      return "DELETE";
    case HttpMethod::options:
      return "OPTIONS";
  }
  return "";
}

/// The method of a request line; nothing for one that is not in the list. Methods are case-sensitive.
constexpr std::optional<HttpMethod> httpMethodOf(std::string_view text) {
  for (HttpMethod const method : {HttpMethod::get, HttpMethod::head, HttpMethod::post, HttpMethod::put,
                                  HttpMethod::patch, HttpMethod::del, HttpMethod::options})
    if (name(method) == text) return method;
  return std::nullopt;
}

}  // namespace corkward::core
