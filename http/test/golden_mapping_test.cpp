/// Compares the native HTTP interface with the records under golden/: how each request is parsed and mapped, and the
/// bytes of each kind of response.
///
/// Callers and operators depend on these bytes. Record the files again (see testing/golden/golden.h) only if the
/// interface itself is meant to change.

#include <catch2/catch.hpp>

#include "golden_exchange.h"
#include "testing/golden/golden.h"

namespace dataplane = corkward::dataplane;
namespace golden = corkward::golden;
namespace http = corkward::http;
namespace transport = corkward::transport;
using corkward::http::test::ensureApplication;
using corkward::http::test::Transcript;

namespace {

std::string post(std::string const& target, std::string const& fields = "", std::string const& body = "{}") {
  return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(std::string const& method, std::string const& target, std::string const& fields = "",
                    std::string const& body = "") {
  std::string const length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n" + fields + length + "\r\n" + body;
}

void check(std::string const& name, Transcript const& transcript) {
  golden::check("http/test/golden/" + name, transcript.text());
}

}  // namespace

TEST_CASE("golden: callers' requests on the native interface are translated as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeMapping const mapping;
  t.title("requests");
  t.caller(mapping, post("/v1/desk.nord/hint"));
  t.caller(mapping, post("/v1/desk.nord/hint/a/b?x=1&y=2"));
  t.caller(mapping, post("/v1/desk.nord/hint",
                         "Corkward-Request-Id: 9c41\r\nCorkward-Attempt: 3\r\nCorkward-Earlier: not-run-reached\r\n"
                         "Corkward-Age-Ms: 1500\r\nCorkward-Deadline-Ms: 2500\r\nCorkward-Prefix: p1\r\n"
                         "Last-Event-Id: e7\r\nContent-Type: text/plain\r\n"));
  t.caller(mapping, post("/v1/desk.nord/hint", "corkward-earlier: not-run\r\ncorkward-attempt: 1000000\r\n"));
  t.caller(mapping, post("/v1/desk.nord/hint", "corkward-request-id: " + std::string(200, 'i') + "\r\n"));
  t.caller(mapping, post("/v1/desk.nord/hint", "last-event-id: " + std::string(257, 'e') + "\r\n"));
  t.caller(mapping,
           "POST /v1/desk.nord/hint HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
  t.title("faults");
  for (char const* const target : {"/", "/v1", "/v1/", "/v1/desk.nord", "/v1/desk.nord/", "/v1//hint", "/v2/desk/hint"})
    t.caller(mapping, post(target));
  t.caller(mapping, post("/v1/desk.nord/" + std::string(1024, 'x')));
  t.caller(mapping, request("GET", "/v1/desk.nord/hint"));
  t.caller(mapping, request("HEAD", "/v1/desk.nord/hint"));
  for (std::string const& fields : std::vector<std::string>{
           "corkward-request-id: " + std::string(257, 'i') + "\r\n",
           "corkward-prefix: " + std::string(257, 'p') + "\r\n", "corkward-attempt: 0\r\n", "corkward-attempt: x\r\n",
           "corkward-attempt: 1000001\r\n", "corkward-deadline-ms: 0\r\n", "corkward-deadline-ms: 600001\r\n",
           "corkward-deadline-ms: -1\r\n", "corkward-earlier: run\r\n", "corkward-age-ms: -1\r\n",
           "corkward-age-ms: 999999999999\r\n"})
    t.caller(mapping, post("/v1/desk.nord/hint", fields));
  t.title("requests that break HTTP or its bounds");
  t.caller(mapping, "nonsense\r\n\r\n");
  t.caller(mapping, "POST /v1/a/b HTTP/1.0\r\nHost: h\r\n\r\n");
  t.caller(mapping, "POST /v1/a/b HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n");
  t.caller(mapping, "POST /v1/a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
  t.caller(mapping, post("/v1/a/b", "x-long: " + std::string(20000, 'x') + "\r\n"));
  t.serverResponse("POST /a HTTP/1.1\r\nHost: h\r\nx-long: " + std::string(20000, 'x'));
  t.serverResponse("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}");
  t.serverResponse("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
  http::ServerLimits oneConnection = http::ServerLimits();
  oneConnection.maxConnections = 1;
  Transcript atLimit(oneConnection);
  atLimit.openIdleConnection();
  atLimit.serverResponse("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
  t.title("too many connections");
  t.append(atLimit.text());
  check("caller_requests.txt", t);
}

TEST_CASE("golden: rejections on the native interface are sent as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeMapping const mapping;
  for (int const status : {400, 401, 404, 405, 409, 429, 502, 503, 504})
    t.rejected(mapping, {0, status, "the reason \"in words\"", status != 502 && status != 504, 0});
  t.rejected(mapping, {0, 503, "no serving lease", true, 1.0});
  t.rejected(mapping, {0, 503, "too much held", true, 0.25});
  t.rejected(mapping, {0, 503, "too much held", true, 12.5, true});
  t.rejected(mapping, {0, 503, "replica said not run; no retry left", true, 0, true});
  t.rejected(mapping, {0, 502, "unknown, may have run", false, 0, true});
  t.rejected(mapping, {0, 503, "no serving lease", true, 1.0}, "HEAD");
  check("rejections.txt", t);
}

TEST_CASE("golden: requests to replicas on the native interface are sent as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeMapping const mapping;
  dataplane::SendRequest command;
  command.remainingMs = 1200;
  command.expectedIncarnation = "L1";
  command.tenant = "t";
  std::string const full = post("/v1/desk.nord/hint/a",
                                "Corkward-Request-Id: 9c41\r\nCorkward-Attempt: 3\r\nContent-Type: text/plain\r\n"
                                "X-Own: 1\r\nConnection: keep-alive\r\nAuthorization: Bearer k\r\n");
  t.dispatch(mapping, post("/v1/desk.nord/hint"), {}, {});
  t.dispatch(mapping, full, command, {});
  t.dispatch(mapping, full, command, {true, "run-1", 512, ""});
  t.dispatch(mapping, full, command, {true, "run-1", 512, "e7"});
  t.dispatch(mapping, full, command, {false, "", 0, "e7"});
  check("replica_requests.txt", t);
}

TEST_CASE("golden: replicas' responses on the native interface are translated as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeMapping const mapping;
  t.replicaResponse(mapping, {200, "OK", {{"Content-Type", "application/json"}, {"Content-Length", "2"}}, 2}, "{}");
  t.replicaResponse(mapping,
                    {200,
                     "Fine",
                     {{"Content-Type", "text/event-stream; charset=utf-8"},
                      {"Corkward-Run", "run-1"},
                      {"Corkward-Replica", "r1"},
                      {"Corkward-Offset", "512"},
                      {"X-Own", "1"}},
                     -1},
                    "data: a\n\n");
  t.replicaResponse(mapping, {503, "", {{"corkward-run", "none"}}, 0}, "");
  t.replicaResponse(mapping, {503, "", {{"content-type", "text/plain"}}, 3}, "bad");
  t.replicaResponse(mapping, {500, "", {{"corkward-run", "none"}}, 3}, "bad");
  t.replicaResponse(mapping, {404, "Nowhere", {}, 0}, "");
  t.replicaResponse(mapping, {204, "", {{"corkward-run", "run-2"}}, 0, true}, "");
  t.replicaResponse(mapping, {304, "", {}, -1, true}, "");
  check("replica_answers.txt", t);
}

TEST_CASE("golden: operators' requests on the native interface are translated as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeOperatorMapping const mapping;
  for (char const* const target :
       {"/v1/fleet", "/v1/templates", "/v1/templates/desk", "/v1/templates/desk/instances/nord", "/v1/blueprint",
        "/v1/certificates", "/v1/certificates/c1", "/v1/evacuations/z1", "/v1/alerts/a", "/v1/platform/pools/LM%20Pool",
        "/v1/nodes/n1", "/v1/changes/c1", "/v1/duties/watch", "/v1/state", "/healthz", "/", "*"})
    t.operatorCall(mapping, request("GET", target));
  t.operatorCall(mapping,
                 request("PUT", "/v1/templates/desk", "If-Match: \"3\"\r\nCorkward-Change-Id: mine\r\n", "{}"));
  t.operatorCall(mapping, request("PUT", "/v1/templates/desk?dryRun=1", "If-None-Match: *\r\n", "{}"));
  t.operatorCall(mapping, request("PUT", "/v1/templates/desk?dryRun=1&x=2", "If-Match: 0\r\n", "{}"));
  t.operatorCall(mapping, request("PUT", "/v1/templates/desk?x=2&dryRun=1", "If-None-Match: 7\r\n", "{}"));
  t.operatorCall(mapping, request("PATCH", "/v1/blueprint?dryRun=0", "If-Match: 5\r\n", R"({"version":6})"));
  t.operatorCall(mapping,
                 request("DELETE", "/v1/evacuations/z1", "corkward-change-id: " + std::string(300, 'c') + "\r\n"));
  t.operatorCall(mapping, request("POST", "/v1/templates/desk", "", "nonsense"));
  check("operator_requests.txt", t);
}

TEST_CASE("golden: responses to operators on the native interface are sent as recorded") {
  ensureApplication();
  Transcript t;
  http::NativeOperatorMapping const mapping;
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = "/v1/templates/desk";
  for (char const* const body :
       {"{}", R"({"changeId":"c","stamp":7,"inForce":true})", R"({"changeId":"c","stamp":7,"version":9})"})
    for (int const status : {200, 201}) t.operatorResponse(mapping, call, status, body);
  for (int const status : {400, 404, 405, 409, 412, 413, 421, 422, 428, 503, 504})
    t.operatorResponse(mapping, call, status, R"({"error":"e","reason":"r","stamp":7,"version":9,"pointer":"/"})");
  check("operator_answers.txt", t);
}
