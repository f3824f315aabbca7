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

#include "event_loop.h"

namespace http = corkward::http;
namespace dataplane = corkward::dataplane;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

/// A caller that stores all bytes that it has received on its connection.
struct Client {
  explicit Client(std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
  }
  void send(std::string const& bytes) { socket.write(QByteArray::fromStdString(bytes)); }
  /// Waits until the text is received or the connection ends. Returns whether the text was received.
  bool receives(std::string const& text) {
    return waitUntil([&] {
             received += socket.readAll().toStdString();
             return received.find(text) != std::string::npos ||
                    (socket.state() == QAbstractSocket::UnconnectedState && socket.bytesAvailable() == 0);
           }) &&
           received.find(text) != std::string::npos;
  }
  /// Waits until the connection ends. Returns false after a timeout.
  bool isDisconnected() {
    return waitUntil([&] {
      received += socket.readAll().toStdString();
      return socket.state() == QAbstractSocket::UnconnectedState;
    });
  }
  QTcpSocket socket;
  std::string received;
};

/// A caller that uses the operating system's sockets, so that connecting and sending need no event loop.
struct RawCaller {
  explicit RawCaller(std::string const& address)
      : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), connected(connectTo(fd, address)) {}
  ~RawCaller() { ::close(fd); }
  static bool connectTo(int fd, std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.host.c_str(), &in.sin_addr);
    return ::connect(fd, reinterpret_cast<sockaddr const*>(&in), sizeof in) == 0;
  }
  static bool canConnect(std::string const& address) { return RawCaller(address).connected; }
  void send(std::string const& bytes) {
    REQUIRE(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  /// Waits until the text is received or the connection ends. Returns whether the text was received.
  bool receives(std::string const& text) {
    std::string received;
    return waitUntil([&] {
             char buffer[1024];
             ssize_t const n = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
             if (n > 0) received.append(buffer, static_cast<std::size_t>(n));
             return n == 0 || (n < 0 && errno != EAGAIN) || received.find(text) != std::string::npos;
           }) &&
           received.find(text) != std::string::npos;
  }
  int fd;
  bool connected;
};

/// A server, the requests that it has received, and an optional handler that writes the responses.
struct TestServer {
  explicit TestServer(std::vector<std::string> const& addresses = {"127.0.0.1:0"}, http::ServerLimits limits = {})
      : server(addresses, limits, events()) {}
  http::Server::Events events() {
    http::Server::Events e;
    e.request = [this](http::Request r) {
      requests.push_back(r);
      if (handler) handler(requests.back());
    };
    return e;
  }
  std::vector<http::Request> requests;
  std::function<void(http::Request const&)> handler;
  http::Server server;
};

std::string request(std::string const& method, std::string const& fields = "") {
  return method + " /a?b HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

}  // namespace

TEST_CASE("the values of a repeated header field are joined") {
  ensureApplication();
  TestServer fixture;
  Client c(fixture.server.address());
  c.send(request("GET", "X-A: 1\r\nx-a: 2\r\nCookie: a=1\r\nCookie: b=2\r\n"));
  REQUIRE(waitUntil([&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests[0].headers.at("x-a") == "1, 2");
  CHECK(fixture.requests[0].headers.at("cookie") == "a=1; b=2");
  CHECK(fixture.requests[0].target == "/a?b");
}

TEST_CASE("a request reports how long its caller took to send it") {
  ensureApplication();
  std::vector<http::Request> requests;
  http::Server::Events events;
  events.request = [&](http::Request r) { requests.push_back(std::move(r)); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  Client client(server.address());
  client.send("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab");
  constexpr int sendDelayMs = 120;
  QTimer::singleShot(sendDelayMs, &client.socket, [&] { client.send("cd"); });
  REQUIRE(waitUntil([&] { return requests.size() == 1; }));
  CHECK(requests[0].readDuration >= sendDelayMs - 10);
  CHECK(requests[0].readDuration < 10 * sendDelayMs);
  server.respond(requests[0].id, 200, {}, "");
  REQUIRE(client.receives("200"));
  client.send("GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
  REQUIRE(waitUntil([&] { return requests.size() == 2; }));
  CHECK(requests[1].readDuration < sendDelayMs);
}

TEST_CASE("status, reason phrase and header fields are written unchanged, including repeated fields") {
  ensureApplication();
  TestServer fixture({"127.0.0.1:0"}, http::ServerLimits{.sendsServerHeader = false});
  fixture.handler = [&](http::Request const& r) {
    fixture.server.beginResponse(r.id, 299, {{"Set-Cookie", "a"}, {"Set-Cookie", "b"}, {"X-Case", "C"}}, 2,
                                 "Fine So Far");
    fixture.server.writeChunk(r.id, "ok");
    fixture.server.finishResponse(r.id);
  };
  Client c(fixture.server.address());
  c.send(request("GET"));
  REQUIRE(c.receives("\r\n\r\nok"));
  CHECK(c.received ==
        "HTTP/1.1 299 Fine So Far\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nX-Case: C\r\nContent-Length: 2\r\n\r\nok");
}

TEST_CASE("responses to HEAD and responses with 204 or 304 have no body, and the connection stays open") {
  ensureApplication();
  struct Row {
    char const* method;
    int status;
    bool hasLength;
  };
  constexpr Row rows[] = {{"HEAD", 200, true}, {"GET", 204, false}, {"GET", 304, true}};
  for (Row const& r : rows) {
    bool const atOnce = GENERATE(true, false);
    TestServer fixture;
    int count = 0;
    fixture.handler = [&](http::Request const& q) {
      if (++count > 1) {
        fixture.server.respond(q.id, 200, {}, "second");
      } else if (atOnce) {
        fixture.server.respond(q.id, r.status, {}, "first");
      } else {
        fixture.server.beginResponse(q.id, r.status, {}, 5);
        fixture.server.writeChunk(q.id, "first");
        fixture.server.finishResponse(q.id);
      }
    };
    Client c(fixture.server.address());
    c.send(request(r.method) + request("GET"));
    REQUIRE(c.receives("second"));
    CHECK(c.received.find("first") == std::string::npos);
    CHECK((c.received.find("Content-Length: 5\r\n") != std::string::npos) == r.hasLength);
  }
}

TEST_CASE("several addresses share one handler, and a request names the listener at which it arrived") {
  ensureApplication();
  TestServer fixture({"127.0.0.1:0", "127.0.0.1:0"});
  fixture.handler = [&](http::Request const& r) {
    fixture.server.respond(r.id, 200, {}, "at " + std::to_string(r.listener));
  };
  Client first(fixture.server.address(0));
  Client second(fixture.server.address(1));
  first.send(request("GET"));
  second.send(request("GET"));
  CHECK(first.receives("at 0"));
  CHECK(second.receives("at 1"));
}

TEST_CASE("changed limits apply from the next request on") {
  ensureApplication();
  TestServer fixture({"127.0.0.1:0"}, http::ServerLimits{.bodyLimitBytes = 4});
  fixture.handler = [&](http::Request const& r) { fixture.server.respond(r.id, 200, {}, "served"); };
  std::string const longRequest = request("POST", "Content-Length: 5\r\n") + "12345";
  Client c(fixture.server.address());
  c.send(longRequest);
  CHECK(c.receives(" 413 "));
  fixture.server.setLimits(http::ServerLimits{.bodyLimitBytes = 5, .errorHeaders = {}});
  Client d(fixture.server.address());
  d.send(longRequest);
  CHECK(d.receives("served"));
  d.send(request("POST", "Content-Length: 6\r\n"));
  CHECK(d.receives(" 413 "));
  CHECK(d.received.find("corkward-outcome") == std::string::npos);
}

TEST_CASE("a draining server announces the close, serves requests that still arrive, and closes without a reset") {
  ensureApplication();
  TestServer fixture;
  Client idle(fixture.server.address());
  fixture.handler = [&](http::Request const& r) { fixture.server.respond(r.id, 200, {}, "first"); };
  idle.send(request("GET"));
  REQUIRE(idle.receives("first"));
  Client streaming(fixture.server.address());
  fixture.handler = [&](http::Request const& r) { fixture.server.beginResponse(r.id, 200, {}, -1); };
  streaming.send(request("GET"));
  REQUIRE(streaming.receives("chunked"));
  CHECK(fixture.server.pendingCount() == 1);
  fixture.server.startDraining();
  fixture.server.writeChunk(fixture.requests[1].id, "words");
  fixture.server.finishResponse(fixture.requests[1].id);
  REQUIRE(streaming.receives("\r\n0\r\n\r\n"));
  fixture.handler = [&](http::Request const& r) { fixture.server.respond(r.id, 200, {}, "late"); };
  streaming.received.clear();
  for (Client* const c : {&idle, &streaming}) {
    c->send(request("GET"));
    REQUIRE(c->receives("late"));
    CHECK(c->received.find("Connection: close") != std::string::npos);
    CHECK(c->isDisconnected());
    CHECK(c->socket.error() == QAbstractSocket::RemoteHostClosedError);
  }
  CHECK(fixture.server.pendingCount() == 0);
}

TEST_CASE(
    "a server that has closed its listeners still serves requests that are sent, incomplete or about to be sent") {
  ensureApplication();
  TestServer fixture;
  fixture.handler = [&](http::Request const& r) { fixture.server.respond(r.id, 503, {}, "not here"); };
  Client idle(fixture.server.address());
  idle.send(request("GET"));
  REQUIRE(idle.receives("not here"));
  fixture.requests.clear();
  std::string const text = request("POST", "Content-Length: 4\r\n") + "body";
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t const sentBytes : {text.size(), text.size() - 2, std::size_t{0}}) {
    callers.push_back(std::make_unique<RawCaller>(fixture.server.address()));
    callers.back()->send(text.substr(0, sentBytes));
  }
  fixture.server.closeListeners();
  CHECK_FALSE(RawCaller::canConnect(fixture.server.address()));
  CHECK(fixture.server.expectedRequests() == 3);
  callers[1]->send("dy");
  callers[2]->send(text);
  REQUIRE(waitUntil([&] { return fixture.requests.size() == 3; }));
  CHECK(fixture.server.expectedRequests() == 0);
  for (std::unique_ptr<RawCaller> const& c : callers) CHECK(c->receives("not here"));
  SECTION("a request on an idle connection is expected as soon as it is sent") {
    idle.send(request("GET"));
    REQUIRE(idle.socket.waitForBytesWritten());
    CHECK(fixture.server.expectedRequests() == 1);
    REQUIRE(waitUntil([&] { return fixture.requests.size() == 4; }));
    CHECK(fixture.server.expectedRequests() == 0);
  }
}

TEST_CASE("a disconnected caller is detected before the event is delivered") {
  ensureApplication();
  TestServer fixture;
  bool const disconnects = GENERATE(true, false);
  /// -1 until the request was received.
  int disconnected = -1;
  fixture.handler = [&](http::Request const& r) { disconnected = fixture.server.isDisconnected(r.id) ? 1 : 0; };
  std::unique_ptr<RawCaller> caller = std::make_unique<RawCaller>(fixture.server.address());
  REQUIRE(caller->connected);
  caller->send(request("GET"));
  if (disconnects) caller.reset();
  REQUIRE(waitUntil([&] { return disconnected >= 0; }));
  CHECK(disconnected == (disconnects ? 1 : 0));
  CHECK(fixture.server.isDisconnected(999));
}

TEST_CASE("the read duration of a request counts from its first byte") {
  ensureApplication();
  TestServer fixture;
  RawCaller caller(fixture.server.address());
  caller.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n");
  QElapsedTimer since;
  bool read = false;
  REQUIRE(waitUntil([&] {
    read = read || fixture.server.expectedRequests() > 0;
    if (read && !since.isValid()) since.start();
    return since.isValid() && since.elapsed() >= 60;
  }));
  caller.send("b");
  REQUIRE(waitUntil([&] { return !fixture.requests.empty(); }));
  CHECK(fixture.requests[0].readDuration >= 40);
}

TEST_CASE("a burst of new connections does not delay a connected caller") {
  ensureApplication();
  TestServer fixture;
  fixture.handler = [&](http::Request const& r) { fixture.server.respond(r.id, 200, {}, "served"); };
  Client c(fixture.server.address());
  REQUIRE(waitUntil([&] { return fixture.server.connectionCount() == 1; }));
  std::vector<std::unique_ptr<Client>> burst;
  for (int i = 0; i < 500; ++i) {
    burst.push_back(std::make_unique<Client>(fixture.server.address()));
    REQUIRE(burst.back()->socket.waitForConnected());
  }
  c.send(request("GET"));
  c.socket.flush();
  std::size_t maxAccepted = 0;
  while (fixture.server.connectionCount() < 501) {
    std::size_t const previous = fixture.server.connectionCount();
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    maxAccepted = std::max(maxAccepted, fixture.server.connectionCount() - previous);
  }
  CHECK(maxAccepted <= 64);
  CHECK(fixture.requests.size() == 1);
  for (std::unique_ptr<Client> const& b : burst) b->send(request("GET"));
  REQUIRE(waitUntil([&] { return fixture.requests.size() == 501; }));
}

TEST_CASE("the native mapping reads and writes its header fields") {
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
  dataplane::SendRequest const command;
  dataplane::Resume resume;
  http::ReplicaRequest sent = mapping.replicaRequest({request, *caller.request, caller.request->path, command, resume});
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/answers/diagnosis");
  CHECK(sent.headers ==
        http::HeaderList{{"content-type", "text/plain"}, {"corkward-attempt", "2"}, {"corkward-request-id", "q1"}});
  resume = {true, "r1", 9, ""};
  sent = mapping.replicaRequest({request, *caller.request, caller.request->path, command, resume});
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

TEST_CASE("hop-by-hop header fields are not forwarded") {
  http::HeaderList const fields{
      {"Connection", "x-hop, Keep-Alive"}, {"X-Hop", "1"},     {"X-End", "2"}, {"keep-alive", "timeout=5"},
      {"Transfer-Encoding", "chunked"},    {"TE", "trailers"}, {"X-End", "3"}, {"Content-Length", "4"}};
  CHECK(http::endToEndHeaders(fields) == http::HeaderList{{"X-End", "2"}, {"X-End", "3"}});
  CHECK(http::endToEndHeaders(http::HeaderMap{{"connection", "close"}, {"a", "b"}}) == http::HeaderList{{"a", "b"}});
}
