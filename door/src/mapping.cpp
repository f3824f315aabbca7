#include <corkward/door/mapping.h>

#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::door {

namespace {

constexpr std::size_t maxName = 256;

std::string field(Request const& r, char const* name) {
  Fields::const_iterator const it = r.fields.find(name);
  return it == r.fields.end() ? "" : it->second;
}

bool number(std::string const& text, std::uint64_t most, std::uint64_t& out) {
  if (text.empty() || text.size() > 12 || !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; })) return false;
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

CallerRequest callerRequest(Request const& request) {
  if (request.target.rfind("/v1/", 0) != 0 || request.target.size() > 1024) return fault(404, "no such page");
  if (request.method != "POST") return fault(405, "POST is needed");
  std::string const rest = request.target.substr(4, request.target.find('?') == std::string::npos ? std::string::npos : request.target.find('?') - 4);
  std::size_t const slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) return fault(404, "no such page");
  rotor::Request r;
  r.call = request.id;
  r.instance = rest.substr(0, slash);
  r.path = rest.substr(slash + 1);
  r.id = field(request, "corkward-request-id");
  r.prefix = field(request, "corkward-prefix");
  if (r.id.size() > maxName) return fault(400, "corkward-request-id: longer than 256");
  if (r.prefix.size() > maxName) return fault(400, "corkward-prefix: longer than 256");
  std::string const attempt = field(request, "corkward-attempt");
  r.attempt = 0;
  if (!attempt.empty() && (!number(attempt, 1000000, r.attempt) || r.attempt == 0))
    return fault(400, "corkward-attempt: must be a number from 1 to 1000000");
  std::string const deadline = field(request, "corkward-deadline-ms");
  std::uint64_t ms = 0;
  if (!deadline.empty() && (!number(deadline, 600000, ms) || ms == 0))
    return fault(400, "corkward-deadline-ms: must be a number from 1 to 600000");
  r.deadline = static_cast<core::Tick>(ms);
  std::string const earlier = field(request, "corkward-earlier");
  if (!earlier.empty() && earlier != "not-run" && earlier != "not-run-reached")
    return fault(400, "corkward-earlier: must be not-run or not-run-reached");
  r.earlierNotRun = !earlier.empty();
  r.earlierReached = earlier == "not-run-reached";
  std::string const age = field(request, "corkward-age-ms");
  std::uint64_t old = 0;
  if (!age.empty() && !number(age, 99999999999, old)) return fault(400, "corkward-age-ms: must be a number from 0 to 99999999999");
  r.age = age.empty() ? -1 : static_cast<core::Tick>(old);
  CallerRequest out;
  out.request = r;
  return out;
}

signal::Call operatorCall(Request const& request, std::string const& freshChangeId) {
  signal::Call call;
  call.token = request.id;
  call.method = request.method;
  std::size_t const query = request.target.find('?');
  call.path = request.target.substr(0, query);
  std::string const words = query == std::string::npos ? "" : request.target.substr(query + 1);
  call.dryRun = words == "dryRun=1" || words.rfind("dryRun=1&", 0) == 0 || words.find("&dryRun=1") != std::string::npos;
  call.ifMatch = field(request, "if-match");
  if (call.ifMatch.empty() && field(request, "if-none-match") == "*") call.ifMatch = "0";
  call.changeId = field(request, "corkward-change-id");
  if (call.changeId.empty()) call.changeId = freshChangeId;
  if (call.changeId.size() > maxName) call.changeId.resize(maxName);
  call.body = request.body;
  return call;
}

Fields operatorFields(int status, QJsonObject const& body) {
  Fields out{{"content-type", "application/json"}};
  char const* const tag = body.contains("version") ? "version" : "stamp";
  if (body.contains(tag) && status < 300) out["etag"] = "\"" + std::to_string(body.value(tag).toInteger()) + "\"";
  if (status == 503) out["retry-after"] = "1";
  return out;
}

Fields denyFields(rotor::Deny const& deny) {
  Fields out{{"content-type", "application/json"}, {"corkward-outcome", deny.notRun ? "not-run" : "unknown"}};
  if (deny.notRun) out["corkward-earlier"] = deny.reached ? "not-run-reached" : "not-run";
  if (deny.retryAfter > 0) out["retry-after"] = core::str(QString::number(deny.retryAfter));
  return out;
}

std::string denyBody(rotor::Deny const& deny) {
  QJsonObject body{{"outcome", deny.notRun ? "not-run" : "unknown"}, {"reason", core::qstr(deny.reason)}};
  if (deny.retryAfter > 0) body.insert("retryAfter", deny.retryAfter);
  return core::jsonText(body);
}

}  // namespace corkward::door
