#pragma once

#include <optional>
#include <string_view>

namespace corkward::core {

/// Methods of HTTP/1.1 (RFC 9110, section 9; PATCH: RFC 5789) that the fleet's HTTP servers distinguish. A router
/// forwards a request whose method is not listed here with the method text that the caller sent.
enum class HttpMethod { get, head, post, put, patch, del, options };

/// Returns the method's text on the wire.
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

/// Returns the method with this text, or std::nullopt if the text is not one of HttpMethod. Methods are case-sensitive.
constexpr std::optional<HttpMethod> httpMethodOf(std::string_view text) {
  for (HttpMethod const method : {HttpMethod::get, HttpMethod::head, HttpMethod::post, HttpMethod::put,
                                  HttpMethod::patch, HttpMethod::del, HttpMethod::options})
    if (name(method) == text) return method;
  return std::nullopt;
}

}  // namespace corkward::core
