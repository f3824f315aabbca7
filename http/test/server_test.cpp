#include <catch2/catch.hpp>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>

#include "turn.h"

namespace http = corkward::http;
namespace dataplane = corkward::dataplane;
using corkward::http::test::application;
using corkward::http::test::until;

namespace {

/// A caller that keeps its connection and all that it got.
struct Client {
  explicit Client(std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
  }
  void say(std::string const& bytes) { socket.write(QByteArray::fromStdString(bytes)); }
  bool has(std::string const& text) {
    return until([&] {
             got += socket.readAll().toStdString();
             return got.find(text) != std::string::npos ||
                    (socket.state() == QAbstractSocket::UnconnectedState && socket.bytesAvailable() == 0);
           }) &&
           got.find(text) != std::string::npos;
  }
  bool ends() {
    return until([&] {
      got += socket.readAll().toStdString();
      return socket.state() == QAbstractSocket::UnconnectedState;
    });
  }
  QTcpSocket socket;
  std::string got;
};

/// A caller whose connection needs no turn of the event loop.
struct Caller {
  explicit Caller(std::string const& address)
      : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), connected(connectTo(fd, address)) {}
  ~Caller() { ::close(fd); }
  static bool connectTo(int fd, std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.host.c_str(), &in.sin_addr);
    return ::connect(fd, reinterpret_cast<sockaddr const*>(&in), sizeof in) == 0;
  }
  static bool reaches(std::string const& address) { return Caller(address).connected; }
  void say(std::string const& bytes) {
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  bool hears(std::string const& text) {
    std::string got;
    return until([&] {
             char part[1024];
             ssize_t const n = ::recv(fd, part, sizeof part, MSG_DONTWAIT);
             if (n > 0) got.append(part, static_cast<std::size_t>(n));
             return n == 0 || (n < 0 && errno != EAGAIN) || got.find(text) != std::string::npos;
           }) &&
           got.find(text) != std::string::npos;
  }
  int fd;
  bool connected;
};

struct Rig {
  explicit Rig(std::vector<std::string> const& addresses = {"127.0.0.1:0"}, http::ServerLimits limits = {})
      : server(addresses, limits, events()) {}
  http::Server::Events events() {
    http::Server::Events e;
    e.request = [this](http::Request r) {
      requests.push_back(r);
      if (answer) answer(requests.back());
    };
    return e;
  }
  std::vector<http::Request> requests;
  std::function<void(http::Request const&)> answer;
  http::Server server;
};

std::string request(std::string const& method, std::string const& more = "") {
  return method + " /a?b HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

}  // namespace

TEST_CASE("values of a header that comes more than once are joined") {
  application();
  Rig rig;
  Client c(rig.server.address());
  c.say(request("GET", "X-A: 1\r\nx-a: 2\r\nCookie: a=1\r\nCookie: b=2\r\n"));
  REQUIRE(until([&] { return !rig.requests.empty(); }));
  CHECK(rig.requests[0].headers.at("x-a") == "1, 2");
  CHECK(rig.requests[0].headers.at("cookie") == "a=1; b=2");
  CHECK(rig.requests[0].target == "/a?b");
}

TEST_CASE("a request has the time that its caller took to send it") {
  application();
  std::vector<http::Request> got;
  http::Server::Events events;
  events.request = [&](http::Request r) { got.push_back(std::move(r)); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  Client client(server.address());
  client.say("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab");
  constexpr int slowMs = 120;
  QTimer::singleShot(slowMs, &client.socket, [&] { client.say("cd"); });
  REQUIRE(until([&] { return got.size() == 1; }));
  CHECK(got[0].readDuration >= slowMs - 10);
  CHECK(got[0].readDuration < 10 * slowMs);
  server.respond(got[0].id, 200, {}, "");
  REQUIRE(client.has("200"));
  client.say("GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(until([&] { return got.size() == 2; }));
  CHECK(got[1].readDuration < slowMs);
}

TEST_CASE("status, reason phrase and headers are written as they are, each header as often as it was given") {
  application();
  Rig rig({"127.0.0.1:0"}, http::ServerLimits{.sendsServerHeader = false});
  rig.answer = [&](http::Request const& r) {
    rig.server.beginResponse(r.id, 299, {{"Set-Cookie", "a"}, {"Set-Cookie", "b"}, {"X-Case", "C"}}, 2, "Fine So Far");
    rig.server.writeChunk(r.id, "ok");
    rig.server.finishResponse(r.id);
  };
  Client c(rig.server.address());
  c.say(request("GET"));
  REQUIRE(c.has("\r\n\r\nok"));
  CHECK(c.got ==
        "HTTP/1.1 299 Fine So Far\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nX-Case: C\r\nContent-Length: 2\r\n\r\nok");
}

TEST_CASE("responses to HEAD, 204 and 304 have no body, and the connection goes on") {
  application();
  struct Row {
    char const* method;
    int status;
    bool length;
  };
  constexpr Row rows[] = {{"HEAD", 200, true}, {"GET", 204, false}, {"GET", 304, true}};
  for (Row const& r : rows) {
    bool const whole = GENERATE(true, false);
    Rig rig;
    int count = 0;
    rig.answer = [&](http::Request const& q) {
      if (++count > 1) {
        rig.server.respond(q.id, 200, {}, "second");
      } else if (whole) {
        rig.server.respond(q.id, r.status, {}, "first");
      } else {
        rig.server.beginResponse(q.id, r.status, {}, 5);
        rig.server.writeChunk(q.id, "first");
        rig.server.finishResponse(q.id);
      }
    };
    Client c(rig.server.address());
    c.say(request(r.method) + request("GET"));
    REQUIRE(c.has("second"));
    CHECK(c.got.find("first") == std::string::npos);
    CHECK((c.got.find("Content-Length: 5\r\n") != std::string::npos) == r.length);
  }
}

TEST_CASE("several addresses share one handler, and a request has the one that it came in at") {
  application();
  Rig rig({"127.0.0.1:0", "127.0.0.1:0"});
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 200, {}, "at " + std::to_string(r.listener)); };
  Client one(rig.server.address(0));
  Client two(rig.server.address(1));
  one.say(request("GET"));
  two.say(request("GET"));
  CHECK(one.has("at 0"));
  CHECK(two.has("at 1"));
}

TEST_CASE("changed limits apply from the next request on") {
  application();
  Rig rig({"127.0.0.1:0"}, http::ServerLimits{.bodyLimitBytes = 4});
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 200, {}, "served"); };
  std::string const big = request("POST", "Content-Length: 5\r\n") + "12345";
  Client c(rig.server.address());
  c.say(big);
  CHECK(c.has(" 413 "));
  rig.server.setLimits(http::ServerLimits{.bodyLimitBytes = 5, .errorHeaders = {}});
  Client d(rig.server.address());
  d.say(big);
  CHECK(d.has("served"));
  d.say(request("POST", "Content-Length: 6\r\n"));
  CHECK(d.has(" 413 "));
  CHECK(d.got.find("corkward-outcome") == std::string::npos);
}

TEST_CASE("a draining server announces it, serves what still comes, and closes without a reset") {
  application();
  Rig rig;
  Client kept(rig.server.address());
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 200, {}, "first"); };
  kept.say(request("GET"));
  REQUIRE(kept.has("first"));
  Client begun(rig.server.address());
  rig.answer = [&](http::Request const& r) { rig.server.beginResponse(r.id, 200, {}, -1); };
  begun.say(request("GET"));
  REQUIRE(begun.has("chunked"));
  CHECK(rig.server.pendingCount() == 1);
  rig.server.startDraining();
  rig.server.writeChunk(rig.requests[1].id, "words");
  rig.server.finishResponse(rig.requests[1].id);
  REQUIRE(begun.has("\r\n0\r\n\r\n"));
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 200, {}, "late"); };
  begun.got.clear();
  for (Client* const c : {&kept, &begun}) {
    c->say(request("GET"));
    REQUIRE(c->has("late"));
    CHECK(c->got.find("Connection: close") != std::string::npos);
    CHECK(c->ends());
    CHECK(c->socket.error() == QAbstractSocket::RemoteHostClosedError);
  }
  CHECK(rig.server.pendingCount() == 0);
}

TEST_CASE("a server that closes its listeners still answers all that its callers have sent or are about to send") {
  application();
  Rig rig;
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 503, {}, "not here"); };
  Client idle(rig.server.address());
  idle.say(request("GET"));
  REQUIRE(idle.has("not here"));
  rig.requests.clear();
  std::string const text = request("POST", "Content-Length: 4\r\n") + "body";
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t const said : {text.size(), text.size() - 2, std::size_t{0}}) {
    callers.push_back(std::make_unique<Caller>(rig.server.address()));
    callers.back()->say(text.substr(0, said));
  }
  rig.server.closeListeners();
  CHECK_FALSE(Caller::reaches(rig.server.address()));
  CHECK(rig.server.expectedRequests() == 3);
  callers[1]->say("dy");
  callers[2]->say(text);
  REQUIRE(until([&] { return rig.requests.size() == 3; }));
  CHECK(rig.server.expectedRequests() == 0);
  for (std::unique_ptr<Caller> const& c : callers) CHECK(c->hears("not here"));
  SECTION("a request on a connection that was idle is expected once it was sent") {
    idle.say(request("GET"));
    REQUIRE(idle.socket.waitForBytesWritten());
    CHECK(rig.server.expectedRequests() == 1);
    REQUIRE(until([&] { return rig.requests.size() == 4; }));
    CHECK(rig.server.expectedRequests() == 0);
  }
}

TEST_CASE("a disconnected caller is known before the event arrives") {
  application();
  Rig rig;
  bool const leaves = GENERATE(true, false);
  int left = -1;
  rig.answer = [&](http::Request const& r) { left = rig.server.isDisconnected(r.id) ? 1 : 0; };
  std::unique_ptr<Caller> caller = std::make_unique<Caller>(rig.server.address());
  REQUIRE(caller->connected);
  caller->say(request("GET"));
  if (leaves) caller.reset();
  REQUIRE(until([&] { return left >= 0; }));
  CHECK(left == (leaves ? 1 : 0));
  CHECK(rig.server.isDisconnected(999));
}

TEST_CASE("the duration of a request counts from its first byte") {
  application();
  Rig rig;
  Caller caller(rig.server.address());
  caller.say("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
  QElapsedTimer since;
  bool read = false;
  REQUIRE(until([&] {
    read = read || rig.server.expectedRequests() > 0;
    if (read && !since.isValid()) since.start();
    return since.isValid() && since.elapsed() >= 60;
  }));
  caller.say("b");
  REQUIRE(until([&] { return !rig.requests.empty(); }));
  CHECK(rig.requests[0].readDuration >= 40);
}

TEST_CASE("a burst of connections does not delay a caller that is connected") {
  application();
  Rig rig;
  rig.answer = [&](http::Request const& r) { rig.server.respond(r.id, 200, {}, "served"); };
  Client c(rig.server.address());
  REQUIRE(until([&] { return rig.server.connectionCount() == 1; }));
  std::vector<std::unique_ptr<Client>> burst;
  for (int i = 0; i < 500; ++i) {
    burst.push_back(std::make_unique<Client>(rig.server.address()));
    REQUIRE(burst.back()->socket.waitForConnected());
  }
  c.say(request("GET"));
  c.socket.flush();
  std::size_t most = 0;
  while (rig.server.connectionCount() < 501) {
    std::size_t const before = rig.server.connectionCount();
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    most = std::max(most, rig.server.connectionCount() - before);
  }
  CHECK(most <= 64);
  CHECK(rig.requests.size() == 1);
  for (std::unique_ptr<Client> const& b : burst) b->say(request("GET"));
  REQUIRE(until([&] { return rig.requests.size() == 501; }));
}

TEST_CASE("the native mapping writes and reads its headers") {
  http::NativeMapping const mapping;
  http::Request request;
  request.id = 7;
  request.method = "POST";
  request.target = "/v1/desk.nord/answers/diagnosis?x=1";
  request.headers = {
      {"corkward-request-id", "q1"}, {"corkward-attempt", "2"}, {"content-type", "text/plain"}, {"x-other", "y"}};
  http::CallerRequest const caller = mapping.callerRequest(request);
  REQUIRE(caller.request);
  CHECK(caller.request->instance == "desk.nord");
  CHECK(caller.request->path == "answers/diagnosis");
  CHECK_FALSE(caller.isEventStream);
  dataplane::SendRequest const handOver;
  dataplane::Resume resume;
  http::ReplicaRequest sent =
      mapping.replicaRequest({request, *caller.request, caller.request->path, handOver, resume});
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/answers/diagnosis");
  CHECK(sent.headers ==
        http::HeaderList{{"content-type", "text/plain"}, {"corkward-attempt", "2"}, {"corkward-request-id", "q1"}});
  resume = {true, "r1", 9, ""};
  sent = mapping.replicaRequest({request, *caller.request, caller.request->path, handOver, resume});
  CHECK(http::headerValue(sent.headers, "corkward-run") == "r1");
  CHECK(http::headerValue(sent.headers, "corkward-offset") == "9");
  dataplane::ResponseHead const head = mapping.responseHead(
      {200, "OK", {{"Corkward-Run", "r1"}, {"Content-Type", "a/b"}, {"X-Own", "z"}}, 4, false}, request);
  CHECK(head.run == "r1");
  CHECK(head.length == 4);
  CHECK(head.fields == http::HeaderList{{"content-type", "a/b"}, {"corkward-run", "r1"}, {"corkward-outcome", "run"}});
  CHECK_FALSE(head.notExecuted);
  CHECK(mapping.responseHead({503, "", {{"corkward-run", "none"}}, 0, false}, request).notExecuted);
  CHECK_FALSE(mapping.responseHead({503, "", {{"corkward-run", "none"}}, 0, false}, request).failed);
  CHECK(mapping.responseHead({500, "", {}, 0, false}, request).failed);
  CHECK_FALSE(mapping.responseHead({404, "", {}, 0, false}, request).failed);
  CHECK_FALSE(mapping.responseHead({503, "", {}, 0, false}, request).notExecuted);
  CHECK_FALSE(mapping.responseHead({200, "", {{"corkward-run", "none"}}, 0, false}, request).notExecuted);
  CHECK(mapping.responseHead({200, "", {{"corkward-run", "none"}}, 0, false}, request).run.empty());
  dataplane::Reject const reject{7, 503, "full", true, 0.4};
  CHECK(http::headerValue(mapping.rejectionHeaders(reject), "retry-after") == "1");
  CHECK(mapping.rejectionBody(reject).find("\"retryAfter\":1") != std::string::npos);
}

TEST_CASE("hop-by-hop headers are not forwarded") {
  http::HeaderList const fields{
      {"Connection", "x-hop, Keep-Alive"}, {"X-Hop", "1"},     {"X-End", "2"}, {"keep-alive", "timeout=5"},
      {"Transfer-Encoding", "chunked"},    {"TE", "trailers"}, {"X-End", "3"}, {"Content-Length", "4"}};
  CHECK(http::endToEndHeaders(fields) == http::HeaderList{{"X-End", "2"}, {"X-End", "3"}});
  CHECK(http::endToEndHeaders(http::HeaderMap{{"connection", "close"}, {"a", "b"}}) == http::HeaderList{{"a", "b"}});
}
