#include <corkward/http/operator_mapping.h>

#include <corkward/core/http_status.h>
#include <corkward/core/json.h>

namespace corkward::http {

namespace {

using core::HttpStatus;

constexpr std::size_t maxChangeIdLength = 256;
constexpr char const* retryAfterSeconds = "1";
/// Revision that a change is based on if it creates an object that does not exist yet.
constexpr char const* noRevision = "0";

bool hasDryRun(std::string const& query) {
  return query == "dryRun=1" || query.rfind("dryRun=1&", 0) == 0 || query.find("&dryRun=1") != std::string::npos;
}

/// Returns the revision that a change is based on: the value of If-Match, or noRevision for "If-None-Match: *". Empty
/// if the request names no revision.
std::string revisionOf(HeaderMap const& headers) {
  std::string revision = headerValue(headers, "if-match");
  if (revision.empty() && headerValue(headers, "if-none-match") == "*") revision = noRevision;
  return revision;
}

}  // namespace

OperatorRequest NativeOperatorMapping::operatorCall(Request const& request,
                                                    std::string const& generatedChangeId) const {
  transport::OperatorCall call;
  call.token = request.id;
  call.method = request.method;
  std::size_t const query = request.target.find('?');
  call.path = request.target.substr(0, query);
  call.dryRun = query != std::string::npos && hasDryRun(request.target.substr(query + 1));
  call.ifMatch = revisionOf(request.headers);
  call.changeId = headerValue(request.headers, "corkward-change-id");
  if (call.changeId.empty()) call.changeId = generatedChangeId;
  if (call.changeId.size() > maxChangeIdLength) call.changeId.resize(maxChangeIdLength);
  call.body = request.body;
  OperatorRequest out;
  out.call = std::move(call);
  return out;
}

Response NativeOperatorMapping::response(transport::OperatorCall const&, int status, QJsonObject const& body) const {
  Response out{status, {{"content-type", "application/json"}}, core::jsonText(body) + "\n"};
  char const* const revisionField = body.contains("version") ? "version" : "stamp";
  constexpr int firstRedirectCode = 300;
  bool const success = status < firstRedirectCode;
  if (body.contains(revisionField) && success)
    out.headers.emplace_back("etag", "\"" + std::to_string(body.value(revisionField).toInteger()) + "\"");
  if (status == core::code(HttpStatus::serviceUnavailable)) out.headers.emplace_back("retry-after", retryAfterSeconds);
  return out;
}

}  // namespace corkward::http
