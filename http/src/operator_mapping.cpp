#include <corkward/http/operator_mapping.h>

#include <corkward/core/json.h>

namespace corkward::http {

namespace {

constexpr std::size_t maxName = 256;

}  // namespace

OperatorRequest NativeOperatorMapping::operatorCall(Request const& request, std::string const& freshChangeId) const {
  transport::OperatorCall call;
  call.token = request.id;
  call.method = request.method;
  std::size_t const query = request.target.find('?');
  call.path = request.target.substr(0, query);
  std::string const words = query == std::string::npos ? "" : request.target.substr(query + 1);
  call.dryRun = words == "dryRun=1" || words.rfind("dryRun=1&", 0) == 0 || words.find("&dryRun=1") != std::string::npos;
  call.ifMatch = field(request.fields, "if-match");
  if (call.ifMatch.empty() && field(request.fields, "if-none-match") == "*") call.ifMatch = "0";
  call.changeId = field(request.fields, "corkward-change-id");
  if (call.changeId.empty()) call.changeId = freshChangeId;
  if (call.changeId.size() > maxName) call.changeId.resize(maxName);
  call.body = request.body;
  OperatorRequest out;
  out.call = std::move(call);
  return out;
}

Response NativeOperatorMapping::answer(transport::OperatorCall const&, int status, QJsonObject const& body) const {
  Response out{status, {{"content-type", "application/json"}}, core::jsonText(body) + "\n"};
  char const* const tag = body.contains("version") ? "version" : "stamp";
  if (body.contains(tag) && status < 300)
    out.fields.emplace_back("etag", "\"" + std::to_string(body.value(tag).toInteger()) + "\"");
  if (status == 503) out.fields.emplace_back("retry-after", "1");
  return out;
}

}  // namespace corkward::http
