#include <corkward/http/mapping.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include <corkward/core/http_method.h>
#include <corkward/core/http_status.h>
#include <corkward/core/json.h>

namespace corkward::http {

namespace {

using core::HttpStatus;

// Header fields of the native interface, in lower case; see docs/interface.md.
constexpr char const* requestIdHeader = "corkward-request-id";
constexpr char const* prefixHeader = "corkward-prefix";
constexpr char const* attemptHeader = "corkward-attempt";
constexpr char const* deadlineHeader = "corkward-deadline-ms";
constexpr char const* ageHeader = "corkward-age-ms";
constexpr char const* earlierHeader = "corkward-earlier";
constexpr char const* outcomeHeader = "corkward-outcome";
constexpr char const* runHeader = "corkward-run";
constexpr char const* offsetHeader = "corkward-offset";
constexpr char const* replicaHeader = "corkward-replica";
constexpr char const* lastEventIdHeader = "last-event-id";
constexpr char const* contentTypeHeader = "content-type";

// Values of the header fields corkward-earlier, corkward-outcome and corkward-run.
constexpr char const* notExecutedValue = "not-run";
constexpr char const* notExecutedReachedValue = "not-run-reached";
constexpr char const* executedValue = "run";
constexpr char const* unknownValue = "unknown";
constexpr char const* noRunValue = "none";

constexpr char const* pathPrefix = "/v1/";
constexpr std::size_t maxTargetLength = 1024;
constexpr std::size_t maxIdentifierLength = 256;
/// Number of bytes of a caller's request id that are written to the log.
constexpr std::size_t maxLoggedIdLength = 64;
constexpr std::uint64_t maxAttempt = 1000000;
constexpr std::uint64_t maxDeadlineMs = 600000;
constexpr std::uint64_t maxAgeMs = 99999999999;
constexpr std::size_t maxDigits = 12;
/// Age of a request without the header field corkward-age-ms.
constexpr core::Milliseconds unknownAge = -1;

/// Parses a decimal number. Returns std::nullopt if the text has other characters than digits or the number exceeds
/// max.
std::optional<std::uint64_t> parseNumber(std::string const& text, std::uint64_t max) {
  bool const isNumber = !text.empty() && text.size() <= maxDigits &&
                        std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!isNumber) return std::nullopt;
  std::uint64_t const value = std::stoull(text);
  return value <= max ? std::optional<std::uint64_t>(value) : std::nullopt;
}

CallerRequest rejected(HttpStatus status, std::string reason) {
  CallerRequest out;
  out.status = core::code(status);
  out.reason = std::move(reason);
  return out;
}

CallerRequest invalid(std::string reason) {
  return rejected(HttpStatus::badRequest, std::move(reason));
}

std::string rangeReason(char const* header, std::uint64_t min, std::uint64_t max) {
  return std::string(header) + ": must be a number from " + std::to_string(min) + " to " + std::to_string(max);
}

bool isCallerTarget(std::string const& target) {
  return target.rfind(pathPrefix, 0) == 0 && target.size() <= maxTargetLength;
}

/// Reads instance and path from the target of a caller's request. Returns false if one of them is missing.
bool readPath(std::string const& target, dataplane::Request& out) {
  std::string const instanceAndPath = target.substr(0, target.find('?')).substr(std::string(pathPrefix).size());
  std::size_t const slash = instanceAndPath.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == instanceAndPath.size()) return false;
  out.instance = instanceAndPath.substr(0, slash);
  out.path = instanceAndPath.substr(slash + 1);
  return true;
}

/// Reads the request id and the prefix from the header fields. Returns the reason for a rejection if one is too long,
/// std::nullopt otherwise.
std::optional<std::string> readIdentifiers(HeaderMap const& headers, dataplane::Request& out) {
  out.id = headerValue(headers, requestIdHeader);
  out.attemptName = out.id.substr(0, maxLoggedIdLength);
  out.prefix = headerValue(headers, prefixHeader);
  if (out.id.size() > maxIdentifierLength) return std::string(requestIdHeader) + ": longer than 256";
  if (out.prefix.size() > maxIdentifierLength) return std::string(prefixHeader) + ": longer than 256";
  return std::nullopt;
}

/// Reads attempt, deadline, outcome of the earlier attempt and age from the header fields. Returns the reason for a
/// rejection if one is invalid, std::nullopt otherwise.
std::optional<std::string> readAttempt(HeaderMap const& headers, dataplane::Request& out) {
  std::string const attempt = headerValue(headers, attemptHeader);
  out.attempt = attempt.empty() ? 0 : parseNumber(attempt, maxAttempt).value_or(0);
  if (!attempt.empty() && out.attempt == 0) return rangeReason(attemptHeader, 1, maxAttempt);
  std::string const deadline = headerValue(headers, deadlineHeader);
  out.deadline =
      deadline.empty() ? 0 : static_cast<core::Milliseconds>(parseNumber(deadline, maxDeadlineMs).value_or(0));
  if (!deadline.empty() && out.deadline == 0) return rangeReason(deadlineHeader, 1, maxDeadlineMs);
  std::string const earlier = headerValue(headers, earlierHeader);
  if (!earlier.empty() && earlier != notExecutedValue && earlier != notExecutedReachedValue)
    return std::string(earlierHeader) + ": must be not-run or not-run-reached";
  out.earlierNotExecuted = !earlier.empty();
  out.earlierReachedReplica = earlier == notExecutedReachedValue;
  std::string const age = headerValue(headers, ageHeader);
  std::optional<std::uint64_t> const ageMs = parseNumber(age, maxAgeMs);
  if (!age.empty() && !ageMs) return rangeReason(ageHeader, 0, maxAgeMs);
  out.ageMs = ageMs ? static_cast<core::Milliseconds>(*ageMs) : unknownAge;
  return std::nullopt;
}

}  // namespace

CallerRequest NativeMapping::callerRequest(Request const& request) const {
  dataplane::Request out;
  if (!isCallerTarget(request.target)) return rejected(HttpStatus::notFound, "no such page");
  if (core::httpMethodOf(request.method) != core::HttpMethod::post)
    return rejected(HttpStatus::methodNotAllowed, "POST is needed");
  if (!readPath(request.target, out)) return rejected(HttpStatus::notFound, "no such page");
  out.call = request.id;
  out.readDuration = request.readDuration;
  if (auto const reason = readIdentifiers(request.headers, out)) return invalid(*reason);
  if (auto const reason = readAttempt(request.headers, out)) return invalid(*reason);
  CallerRequest caller;
  std::string const lastEventId = headerValue(request.headers, lastEventIdHeader);
  if (lastEventId.size() <= maxIdentifierLength) caller.lastEventId = lastEventId;
  caller.request = std::move(out);
  return caller;
}

ReplicaRequest NativeMapping::replicaRequest(Dispatch const& dispatch) const {
  std::string type = headerValue(dispatch.request.headers, contentTypeHeader);
  if (type.empty()) type = "application/json";
  ReplicaRequest out{"POST", "/" + dispatch.path, {{contentTypeHeader, std::move(type)}}};
  std::uint64_t const attempt = std::max<std::uint64_t>(dispatch.caller.attempt, 1);
  out.headers.emplace_back(attemptHeader, std::to_string(attempt));
  if (!dispatch.caller.id.empty()) out.headers.emplace_back(requestIdHeader, dispatch.caller.id);
  if (!dispatch.resume.lastEvent.empty()) {
    out.headers.emplace_back(lastEventIdHeader, dispatch.resume.lastEvent);
  } else if (dispatch.resume.resuming) {
    out.headers.emplace_back(runHeader, dispatch.resume.run);
    out.headers.emplace_back(offsetHeader, std::to_string(dispatch.resume.offset));
  }
  return out;
}

dataplane::ResponseHead NativeMapping::responseHead(ReplicaHead const& head, Request const&) const {
  dataplane::ResponseHead out;
  out.status = head.status;
  out.length = head.bodyLength;
  out.bodiless = head.hasNoBody;
  std::string const run = headerValue(head.headers, runHeader);
  out.notExecuted = head.status == core::code(HttpStatus::serviceUnavailable) && run == noRunValue;
  out.failed = head.status >= core::code(HttpStatus::internalServerError) && !out.notExecuted;
  bool const success = head.status / 100 == 2;
  std::string const type = toLower(headerValue(head.headers, contentTypeHeader));
  out.events = success && type.rfind("text/event-stream", 0) == 0;
  if (run != noRunValue) out.run = run;
  out.offset = headerValue(head.headers, offsetHeader);
  for (char const* const name : {contentTypeHeader, runHeader, replicaHeader}) {
    std::string value = headerValue(head.headers, name);
    if (!value.empty()) out.fields.emplace_back(name, std::move(value));
  }
  out.fields.emplace_back(outcomeHeader, executedValue);
  return out;
}

HeaderList NativeMapping::rejectionHeaders(dataplane::Reject const& reject) const {
  HeaderList out{{contentTypeHeader, "application/json"},
                 {outcomeHeader, reject.notExecuted ? notExecutedValue : unknownValue}};
  if (reject.notExecuted)
    out.emplace_back(earlierHeader, reject.reachedReplica ? notExecutedReachedValue : notExecutedValue);
  if (reject.retryAfter > 0)
    out.emplace_back("retry-after", core::toStdString(QString::number(std::ceil(reject.retryAfter), 'f', 0)));
  return out;
}

std::string NativeMapping::rejectionBody(dataplane::Reject const& reject) const {
  QJsonObject body{{"outcome", reject.notExecuted ? notExecutedValue : unknownValue},
                   {"reason", core::toQString(reject.reason)}};
  if (reject.retryAfter > 0) body.insert("retryAfter", std::ceil(reject.retryAfter));
  return core::jsonText(body) + "\n";
}

}  // namespace corkward::http
