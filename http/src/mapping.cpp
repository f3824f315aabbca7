#include <corkward/http/mapping.h>

#include <algorithm>
#include <cmath>

#include <corkward/core/json.h>

namespace corkward::http {

namespace {

constexpr std::size_t maxName = 256;
/// Bytes of a caller's name for its request that the log repeats.
constexpr std::size_t longestTrace = 64;
constexpr char const* lastEventId = "last-event-id";

bool number(std::string const& text, std::uint64_t most, std::uint64_t& out) {
  if (text.empty() || text.size() > 12 ||
      !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return false;
  out = std::stoull(text);
  return out <= most;
}

CallerRequest fault(int status, std::string reason) {
  CallerRequest out;
  out.status = status;
  out.reason = std::move(reason);
  return out;
}

}  // namespace

CallerRequest NativeMapping::callerRequest(Request const& request) const {
  if (request.target.rfind("/v1/", 0) != 0 || request.target.size() > 1024) return fault(404, "no such page");
  if (request.method != "POST") return fault(405, "POST is needed");
  std::string const rest = request.target.substr(
      4, request.target.find('?') == std::string::npos ? std::string::npos : request.target.find('?') - 4);
  std::size_t const slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) return fault(404, "no such page");
  dataplane::Request r;
  r.call = request.id;
  r.instance = rest.substr(0, slash);
  r.path = rest.substr(slash + 1);
  r.id = field(request.fields, "corkward-request-id");
  r.trace = r.id.substr(0, longestTrace);
  r.prefix = field(request.fields, "corkward-prefix");
  if (r.id.size() > maxName) return fault(400, "corkward-request-id: longer than 256");
  if (r.prefix.size() > maxName) return fault(400, "corkward-prefix: longer than 256");
  std::string const attempt = field(request.fields, "corkward-attempt");
  r.attempt = 0;
  if (!attempt.empty() && (!number(attempt, 1000000, r.attempt) || r.attempt == 0))
    return fault(400, "corkward-attempt: must be a number from 1 to 1000000");
  std::string const deadline = field(request.fields, "corkward-deadline-ms");
  std::uint64_t ms = 0;
  if (!deadline.empty() && (!number(deadline, 600000, ms) || ms == 0))
    return fault(400, "corkward-deadline-ms: must be a number from 1 to 600000");
  r.deadline = static_cast<core::Tick>(ms);
  r.readFor = request.readFor;
  std::string const earlier = field(request.fields, "corkward-earlier");
  if (!earlier.empty() && earlier != "not-run" && earlier != "not-run-reached")
    return fault(400, "corkward-earlier: must be not-run or not-run-reached");
  r.earlierNotExecuted = !earlier.empty();
  r.earlierReachedReplica = earlier == "not-run-reached";
  std::string const age = field(request.fields, "corkward-age-ms");
  std::uint64_t old = 0;
  if (!age.empty() && !number(age, 99999999999, old))
    return fault(400, "corkward-age-ms: must be a number from 0 to 99999999999");
  r.age = age.empty() ? -1 : static_cast<core::Tick>(old);
  CallerRequest out;
  std::string const last = field(request.fields, lastEventId);
  if (last.size() <= maxName) out.lastEvent = last;
  out.request = r;
  return out;
}

ReplicaRequest NativeMapping::replicaRequest(Dispatch const& dispatch) const {
  std::string type = field(dispatch.request.fields, "content-type");
  if (type.empty()) type = "application/json";
  ReplicaRequest out{"POST", "/" + dispatch.path, {{"content-type", std::move(type)}}};
  out.fields.emplace_back("corkward-attempt", std::to_string(std::max<std::uint64_t>(dispatch.caller.attempt, 1)));
  if (!dispatch.caller.id.empty()) out.fields.emplace_back("corkward-request-id", dispatch.caller.id);
  if (!dispatch.resume.lastEvent.empty()) {
    out.fields.emplace_back(lastEventId, dispatch.resume.lastEvent);
  } else if (dispatch.resume.resuming) {
    out.fields.emplace_back("corkward-run", dispatch.resume.run);
    out.fields.emplace_back("corkward-offset", std::to_string(dispatch.resume.offset));
  }
  return out;
}

dataplane::ResponseHead NativeMapping::head(ReplicaHead const& head, Request const&) const {
  dataplane::ResponseHead out;
  out.status = head.status;
  out.length = head.length;
  out.bodiless = head.bodiless;
  std::string const run = field(head.fields, "corkward-run");
  out.notExecuted = head.status == 503 && run == "none";
  out.failed = head.status >= 500 && !out.notExecuted;
  out.events = head.status / 100 == 2 && lower(field(head.fields, "content-type")).rfind("text/event-stream", 0) == 0;
  if (run != "none") out.run = run;
  out.offset = field(head.fields, "corkward-offset");
  for (char const* const kept : {"content-type", "corkward-run", "corkward-replica"}) {
    std::string value = field(head.fields, kept);
    if (!value.empty()) out.fields.emplace_back(kept, std::move(value));
  }
  out.fields.emplace_back("corkward-outcome", "run");
  return out;
}

HeaderList NativeMapping::rejectFields(dataplane::Reject const& reject) const {
  HeaderList out{{"content-type", "application/json"},
                 {"corkward-outcome", reject.notExecuted ? "not-run" : "unknown"}};
  if (reject.notExecuted) out.emplace_back("corkward-earlier", reject.reachedReplica ? "not-run-reached" : "not-run");
  if (reject.retryAfter > 0)
    out.emplace_back("retry-after", core::toStdString(QString::number(std::ceil(reject.retryAfter), 'f', 0)));
  return out;
}

std::string NativeMapping::rejectBody(dataplane::Reject const& reject) const {
  QJsonObject body{{"outcome", reject.notExecuted ? "not-run" : "unknown"}, {"reason", core::toQString(reject.reason)}};
  if (reject.retryAfter > 0) body.insert("retryAfter", std::ceil(reject.retryAfter));
  return core::jsonText(body) + "\n";
}

}  // namespace corkward::http
