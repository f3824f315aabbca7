#pragma once

namespace corkward::core {

/// Status codes of HTTP/1.1 (RFC 9110, section 15; 428, 429 and 431: RFC 6585) that the fleet's HTTP servers respond
/// with.
enum class HttpStatus : int {
  continueRequest = 100,
  switchingProtocols = 101,
  ok = 200,
  created = 201,
  accepted = 202,
  noContent = 204,
  notModified = 304,
  temporaryRedirect = 307,
  badRequest = 400,
  unauthorized = 401,
  forbidden = 403,
  notFound = 404,
  methodNotAllowed = 405,
  requestTimeout = 408,
  conflict = 409,
  preconditionFailed = 412,
  contentTooLarge = 413,
  misdirectedRequest = 421,
  unprocessableContent = 422,
  preconditionRequired = 428,
  tooManyRequests = 429,
  headerFieldsTooLarge = 431,
  internalServerError = 500,
  notImplemented = 501,
  badGateway = 502,
  serviceUnavailable = 503,
  gatewayTimeout = 504,
  httpVersionNotSupported = 505,
};

/// Returns the status code on the wire.
constexpr int code(HttpStatus status) {
  return static_cast<int>(status);
}

/// Lowest status code of client errors. Responses with this code or a greater one are failures.
inline constexpr int firstErrorCode = 400;

}  // namespace corkward::core
