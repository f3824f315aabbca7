#include <catch2/catch.hpp>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <memory>
#include <sys/socket.h>

#include <corkward/core/types.h>
#include <corkward/http/upstream_pool.h>

#include "event_loop.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

constexpr char const* validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A replica that sends prepared responses one after the other, whatever the requests are. After the last one it sends
/// validResponse.
class ScriptedReplica {
 public:
  struct Response {
    std::string bytes;
    /// Closes the connection after the bytes.
    bool close = false;
  };
  explicit ScriptedReplica(std::vector<Response> responses) : responses_(std::move(responses)) {
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const s = server_.nextPendingConnection();
      ++connections;
      lastSocket = s;
      QObject::connect(s, &QTcpSocket::disconnected, &server_, [this] { ++closed; });
      QObject::connect(s, &QTcpSocket::readyRead, s, [this, s] {
        QByteArray const received = s->readAll();
        if (!received.contains("\r\n\r\n")) return;
        ++requests;
        Response const response = next_ < responses_.size() ? responses_[next_++] : Response{validResponse, false};
        s->write(QByteArray::fromStdString(response.bytes));
        if (response.close) s->disconnectFromHost();
      });
    });
  }
  /// Resets the newest connection.
  void resetLast() {
    linger const noLinger{1, 0};
    ::setsockopt(static_cast<int>(lastSocket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    lastSocket->abort();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
  int connections = 0;
  int closed = 0;
  int requests = 0;
  /// The newest connection.
  QTcpSocket* lastSocket = nullptr;

 private:
  QTcpServer server_;
  std::vector<Response> responses_;
  std::size_t next_ = 0;
};

/// A replica that responds to each request as soon as its header section has arrived, and reads the body only after
/// readBodies() was called.
class EarlyResponder {
 public:
  EarlyResponder() {
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* const s = server_.nextPendingConnection();
      std::size_t const index = received.size();
      received.emplace_back();
      sockets_.push_back(s);
      s->setReadBufferSize(readsBodies_ ? 0 : minReadBufferBytes);
      QObject::connect(s, &QTcpSocket::readyRead, s, [this, s, index] { read(*s, index); });
    });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
  /// Reads all bytes from now on, including the bodies of earlier requests.
  void readBodies() {
    readsBodies_ = true;
    for (std::size_t index = 0; index < sockets_.size(); ++index) {
      sockets_[index]->setReadBufferSize(0);
      read(*sockets_[index], index);
    }
  }
  /// All bytes that were read on each connection.
  std::vector<std::string> received;
  int responses = 0;

 private:
  static constexpr qint64 minReadBufferBytes = 1024;

  void read(QTcpSocket& s, std::size_t index) {
    std::string& text = received[index];
    bool const hasHead = text.find("\r\n\r\n") != std::string::npos;
    if (hasHead && !readsBodies_) return;
    std::size_t const from = text.size();
    text += s.readAll().toStdString();
    for (std::size_t end = text.find("\r\n\r\n", from); end != std::string::npos;
         end = text.find("\r\n\r\n", end + 4)) {
      ++responses;
      s.write("HTTP/1.1 503 Full\r\nCorkward-Run: none\r\nContent-Length: 0\r\n\r\n");
    }
  }
  QTcpServer server_;
  std::vector<QTcpSocket*> sockets_;
  bool readsBodies_ = false;
};

/// The events of one request.
struct Outcome {
  int status = 0;
  std::string body;
  /// 1 after a response whose framing marked its end, 2 after one that the closed connection ended, 0 after an
  /// incomplete one, -1 before the end.
  int ended = -1;
  /// Number of `ended` events.
  int endCount = 0;
  bool connected = false;
  bool connectFailed = false;
  /// UpstreamConnection::isStale() at the end of the response.
  bool stale = false;
};

/// One request on a connection of the pool.
struct PoolRequest {
  PoolRequest(http::UpstreamPool& upstreams, std::string const& address, bool avoidStale = false,
              std::string method = "POST") {
    http::UpstreamConnection::Events e;
    e.connected = [this, method] {
      outcome.connected = true;
      upstream->send({method, "/x"}, method == "POST" ? "{}" : "");
    };
    e.connectFailed = [this] { outcome.connectFailed = true; };
    e.head = [this](http::ReplicaHead h) {
      outcome.status = h.status;
      if (closeAtHead) upstream->close();
      if (releaseAtHead) upstream->release();
    };
    e.chunk = [this](std::string bytes) { outcome.body += bytes; };
    e.ended = [this](core::BodyEnd end) {
      outcome.ended = end == core::BodyEnd::framed ? 1 : end == core::BodyEnd::connectionClosed ? 2 : 0;
      outcome.stale = upstream->isStale();
      ++outcome.endCount;
    };
    upstream = upstreams.acquire(address, avoidStale, std::move(e), &owner);
  }
  /// Waits until the request has ended, or until the response head has arrived if close() or release() is called then.
  Outcome wait() {
    REQUIRE(waitUntil([this] {
      return outcome.connectFailed || outcome.ended >= 0 || (outcome.status != 0 && (closeAtHead || releaseAtHead));
    }));
    return outcome;
  }
  QObject owner;
  http::UpstreamConnection* upstream = nullptr;
  Outcome outcome;
  bool closeAtHead = false;
  bool releaseAtHead = false;
};

/// A scripted replica, and a pool whose clock the test sets.
struct PoolFixture {
  explicit PoolFixture(std::vector<ScriptedReplica::Response> responses, http::KeepAlivePolicy policy = {2, 5000, 0})
      : replica(std::move(responses)), upstreams(policy, [this] { return now; }) {}
  Outcome request(bool avoidStale = false) { return PoolRequest(upstreams, replica.address(), avoidStale).wait(); }
  core::Milliseconds now = 1000;
  ScriptedReplica replica;
  http::UpstreamPool upstreams;
};

}  // namespace

TEST_CASE("a connection is returned after a complete response and reused for the next request") {
  ensureApplication();
  PoolFixture fixture({});
  for (int i = 0; i < 20; ++i) {
    Outcome const outcome = fixture.request();
    REQUIRE(outcome.ended == 1);
    REQUIRE(outcome.body == "ok");
    REQUIRE(fixture.upstreams.idleCount() == 1);
  }
  CHECK(fixture.replica.connections == 1);
  CHECK(fixture.upstreams.openedCount() == 1);
  CHECK(fixture.upstreams.reusedCount() == 19);
}

TEST_CASE("no connection is reused if the policy allows no idle connections") {
  ensureApplication();
  PoolFixture fixture({}, http::KeepAlivePolicy{});
  fixture.request();
  fixture.request();
  CHECK(fixture.upstreams.idleCount() == 0);
  CHECK(fixture.replica.connections == 2);
}

TEST_CASE(
    "a connection is not reused after a response that announces its end, is malformed, or is followed by further "
    "bytes") {
  ensureApplication();
  struct PoolCase {
    char const* bytes;
    int ended;
    bool keepsAlive;
  };
  constexpr PoolCase cases[] = {
      {validResponse, 1, true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1, true},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
       "2\r\n\r\nok",
       1, true},
      {"HTTP/1.1 204 No Content\r\n\r\n", 1, true},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 1, true},
      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok", 1, true},
      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 1, false},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 1, false},
      {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false},
      {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", 1, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokX", 1, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\r\n", 1, false},
      {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", 0, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", 0, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", 0, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", 0, false},
      {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 0, false},
      {"nonsense\r\n\r\n", 0, false}};
  for (PoolCase const& r : cases) {
    INFO(r.bytes);
    PoolFixture fixture({{r.bytes, false}});
    Outcome const outcome = fixture.request();
    CHECK(outcome.ended == r.ended);
    CHECK(fixture.upstreams.idleCount() == (r.keepsAlive ? 1 : 0));
    CHECK(fixture.request().body == "ok");
    CHECK(fixture.replica.connections == (r.keepsAlive ? 1 : 2));
  }
}

TEST_CASE("a response whose connection ends at any byte before its end is incomplete") {
  ensureApplication();
  std::string const bytes =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  for (std::size_t receivedBytes = 0; receivedBytes <= bytes.size(); ++receivedBytes) {
    PoolFixture fixture({{bytes.substr(0, receivedBytes), true}});
    Outcome const outcome = fixture.request();
    REQUIRE(outcome.endCount == 1);
    REQUIRE(outcome.ended == (receivedBytes == bytes.size() ? 1 : 0));
    REQUIRE(std::string("hello").rfind(outcome.body, 0) == 0);
  }
}

TEST_CASE("only a reused connection that was idle for long and receives no response head is stale") {
  ensureApplication();
  struct PoolCase {
    std::string bytes;
    core::Milliseconds idle;
    bool stale;
  };
  for (PoolCase const& r : {PoolCase{"", 600, true}, PoolCase{"", 10, false},
                            PoolCase{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", 600, false}}) {
    PoolFixture fixture({{validResponse, false}, {r.bytes, true}, {"", true}});
    fixture.request();
    REQUIRE(fixture.upstreams.idleCount() == 1);
    fixture.now += r.idle;
    Outcome const outcome = fixture.request();
    CHECK(outcome.ended == 0);
    CHECK(outcome.stale == r.stale);
    CHECK(fixture.replica.connections == 1);
    CHECK_FALSE(fixture.request().stale);
  }
}

TEST_CASE("an idle connection that ends or receives bytes is closed") {
  ensureApplication();
  PoolFixture fixture({});
  fixture.request();
  REQUIRE(fixture.upstreams.idleCount() == 1);
  SECTION("closed") {
    fixture.replica.lastSocket->disconnectFromHost();
  }
  SECTION("reset") {
    fixture.replica.lastSocket->abort();
  }
  SECTION("a late response") {
    fixture.replica.lastSocket->write(validResponse);
  }
  REQUIRE(waitUntil([&] { return fixture.upstreams.idleCount() == 0; }));
  CHECK(fixture.request().ended == 1);
  CHECK(fixture.replica.connections == 2);
}

TEST_CASE("a reused connection that ends or receives bytes before its request is sent is replaced by a new one") {
  ensureApplication();
  PoolFixture fixture({});
  fixture.request();
  QTcpSocket* const reusedSocket = fixture.replica.lastSocket;
  PoolRequest again(fixture.upstreams, fixture.replica.address());
  CHECK_FALSE(again.outcome.connected);
  SECTION("closed") {
    reusedSocket->disconnectFromHost();
  }
  SECTION("a late response") {
    reusedSocket->write(validResponse);
    reusedSocket->flush();
  }
  Outcome const outcome = again.wait();
  CHECK(outcome.ended == 1);
  CHECK(outcome.endCount == 1);
  CHECK(fixture.replica.requests == 2);
  CHECK(fixture.replica.connections == 2);
  CHECK(fixture.upstreams.reusedCount() == 0);
}

TEST_CASE("a request on a reused connection that ends after the request was sent fails and is not sent again") {
  ensureApplication();
  PoolFixture fixture({{validResponse, false}, {"", true}});
  fixture.request();
  PoolRequest other(fixture.upstreams, fixture.replica.address());
  Outcome const outcome = other.wait();
  CHECK(outcome.connected);
  CHECK_FALSE(outcome.connectFailed);
  CHECK(outcome.ended == 0);
  CHECK(outcome.endCount == 1);
  CHECK(fixture.replica.requests == 2);
  CHECK(fixture.replica.connections == 1);
}

TEST_CASE("a failed response closes all idle connections to its replica") {
  ensureApplication();
  PoolFixture fixture({{validResponse, false}, {validResponse, false}, {"nonsense\r\n\r\n", false}});
  PoolRequest one(fixture.upstreams, fixture.replica.address());
  PoolRequest two(fixture.upstreams, fixture.replica.address());
  one.wait();
  two.wait();
  REQUIRE(fixture.upstreams.idleCount() == 2);
  CHECK(fixture.request().ended == 0);
  CHECK(fixture.upstreams.idleCount() == 0);
}

TEST_CASE(
    "an idle connection is reused until the policy's idle timeout, half of the replica's Keep-Alive timeout, or the "
    "timeout for requests that avoid stale connections") {
  ensureApplication();
  struct PoolCase {
    char const* bytes;
    core::Milliseconds avoidStaleIdleTimeout;
    bool avoidStale;
    core::Milliseconds idle;
    bool reused;
  };
  constexpr char const* withKeepAlive =
      "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=4\r\nContent-Length: 2\r\n\r\nok";
  constexpr PoolCase cases[] = {{validResponse, 0, false, 4999, true}, {validResponse, 0, false, 5000, false},
                                {withKeepAlive, 0, false, 1999, true}, {withKeepAlive, 0, false, 2000, false},
                                {validResponse, 0, true, 0, false},    {validResponse, 50, true, 49, true},
                                {validResponse, 50, true, 50, false}};
  for (PoolCase const& r : cases) {
    INFO(r.idle << " " << r.avoidStaleIdleTimeout << " " << r.avoidStale);
    PoolFixture fixture({{r.bytes, false}}, http::KeepAlivePolicy{2, 5000, r.avoidStaleIdleTimeout});
    fixture.request();
    fixture.now += r.idle;
    CHECK(fixture.request(r.avoidStale).ended == 1);
    CHECK(fixture.replica.connections == (r.reused ? 1 : 2));
  }
}

TEST_CASE("the pool keeps at most as many idle connections to a replica as the policy allows") {
  ensureApplication();
  PoolFixture fixture({});
  PoolRequest one(fixture.upstreams, fixture.replica.address());
  PoolRequest two(fixture.upstreams, fixture.replica.address());
  PoolRequest three(fixture.upstreams, fixture.replica.address());
  one.wait();
  two.wait();
  three.wait();
  CHECK(fixture.upstreams.idleCount() == 2);
  REQUIRE(waitUntil([&] { return fixture.replica.closed == 1; }));
  fixture.upstreams.setKeepAlive(http::KeepAlivePolicy{});
  CHECK(fixture.upstreams.idleCount() == 0);
}

TEST_CASE("close() closes the connection, and release() keeps it for reuse if the rest of the response is short") {
  ensureApplication();
  bool const closes = GENERATE(true, false);
  std::string const bytes = GENERATE(std::string(validResponse),
                                     "HTTP/1.1 503 Full\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'x'));
  bool const keepsAlive = !closes && bytes == validResponse;
  PoolFixture fixture({{bytes, false}});
  {
    PoolRequest unwanted(fixture.upstreams, fixture.replica.address());
    unwanted.closeAtHead = closes;
    unwanted.releaseAtHead = !closes;
    unwanted.wait();
    REQUIRE(waitUntil([&] { return keepsAlive ? fixture.upstreams.idleCount() == 1 : fixture.replica.closed == 1; }));
    CHECK(unwanted.outcome.body.empty());
    CHECK(unwanted.outcome.endCount == 0);
  }
  CHECK(fixture.request().body == "ok");
  CHECK(fixture.replica.connections == (keepsAlive ? 1 : 2));
}

TEST_CASE("a response to HEAD has no body whatever its Content-Length is") {
  ensureApplication();
  PoolFixture fixture({{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", false}});
  PoolRequest request(fixture.upstreams, fixture.replica.address(), false, "HEAD");
  CHECK(request.wait().ended == 1);
  CHECK(fixture.upstreams.idleCount() == 1);
}

TEST_CASE("no event is delivered from within acquire, and a refused connection is reported as a failure") {
  ensureApplication();
  http::UpstreamPool upstreams({2, 5000, 0}, [] { return 1; });
  PoolRequest request(upstreams, "127.0.0.1:1");
  CHECK_FALSE(request.outcome.connectFailed);
  request.wait();
  CHECK(request.outcome.connectFailed);
  CHECK_FALSE(request.outcome.connected);
}

/// Guards against a router that ends because the platform lists a replica whose address is not ip:port.
TEST_CASE("an address that is not ip:port is reported as a failure to connect") {
  ensureApplication();
  http::UpstreamPool upstreams({2, 5000, 0}, [] { return 1; });
  for (char const* const address : {"replica.example:80", "127.0.0.1", "127.0.0.1:99999", ":", "x"}) {
    INFO(address);
    PoolRequest request(upstreams, address);
    CHECK_FALSE(request.outcome.connectFailed);
    request.wait();
    CHECK(request.outcome.connectFailed);
    CHECK_FALSE(request.outcome.connected);
  }
}

TEST_CASE(
    "a body that ends with the connection is reported as such if the connection is closed without a reset, and as "
    "incomplete after a reset") {
  ensureApplication();
  std::string const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  std::string const body = GENERATE("", "h", "hello");
  bool const closesNormally = GENERATE(true, false);
  PoolFixture fixture({{head + body, false}}, {2, 5000, 0, true});
  PoolRequest request(fixture.upstreams, fixture.replica.address());
  REQUIRE(waitUntil([&] { return request.outcome.status == 200 && request.outcome.body == body; }));
  CHECK(request.outcome.endCount == 0);
  if (closesNormally)
    fixture.replica.lastSocket->disconnectFromHost();
  else
    fixture.replica.resetLast();
  Outcome const outcome = request.wait();
  CHECK(outcome.ended == (closesNormally ? 2 : 0));
  CHECK(outcome.endCount == 1);
  CHECK(outcome.body == body);
  CHECK(fixture.upstreams.idleCount() == 0);
}

TEST_CASE("the end of a body is reported by its framing, or by how the connection ended, at every byte") {
  // Guards against a cut body being reported as one whose end was received.
  ensureApplication();
  struct Framing {
    std::string head;
    std::string body;
    /// The end is reported if the connection is closed after the complete body, and before it.
    int complete;
    int closedEarlier;
  };
  Framing const framing = GENERATE(values<Framing>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "hello", 1, 0},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", 1, 0},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "hello", 2, 2},
      {"HTTP/1.0 200 OK\r\n\r\n", "hello", 2, 2},
  }));
  bool const resets = GENERATE(false, true);
  for (std::size_t cut = 0; cut <= framing.body.size(); ++cut) {
    PoolFixture fixture({{framing.head + framing.body.substr(0, cut), false}}, {2, 5000, 0, true});
    PoolRequest request(fixture.upstreams, fixture.replica.address());
    REQUIRE(waitUntil([&] { return request.outcome.status == 200; }));
    bool const isFramed = framing.complete == 1 && cut == framing.body.size();
    if (resets)
      fixture.replica.resetLast();
    else
      fixture.replica.lastSocket->disconnectFromHost();
    int const expected = isFramed                     ? 1
                         : resets                     ? 0
                         : cut == framing.body.size() ? framing.complete
                                                      : framing.closedEarlier;
    REQUIRE(request.wait().ended == expected);
    REQUIRE(request.outcome.endCount == 1);
  }
}

TEST_CASE("a body that ends with the connection and is read after a pause is incomplete only after a reset") {
  ensureApplication();
  bool const closesNormally = GENERATE(true, false);
  std::string const body(3 << 20, 'b');
  PoolFixture fixture({{"HTTP/1.1 200 OK\r\n\r\n" + body, closesNormally}}, {2, 5000, 0, true});
  PoolRequest request(fixture.upstreams, fixture.replica.address());
  REQUIRE(waitUntil([&] { return request.outcome.status == 200; }));
  request.upstream->setPaused(true);
  if (!closesNormally) fixture.replica.resetLast();
  int const closedBefore = fixture.replica.closed;
  REQUIRE(waitUntil([&] { return closesNormally || fixture.replica.closed >= closedBefore; }));
  request.upstream->setPaused(false);
  Outcome const outcome = request.wait();
  CHECK(outcome.ended == (closesNormally ? 2 : 0));
  CHECK(outcome.endCount == 1);
  CHECK((outcome.body.size() == body.size()) == closesNormally);
}

// Guards against a receive buffer that shrinks when a response is paused: its sender then keeps back what does not fit
// until its timer for closed windows ends, which takes 200 ms or more.
TEST_CASE("a response that goes on after a pause does not wait for a timer of its replica") {
  ensureApplication();
  constexpr std::size_t part = 2U << 20;
  constexpr std::size_t pauses = 4;
  constexpr qint64 senderTimerMs = 200;
  std::string const body((pauses + 2) * part, 'b');
  PoolFixture fixture({{"HTTP/1.1 200 OK\r\n\r\n" + body, true}}, {2, 5000, 0, true});
  PoolRequest request(fixture.upstreams, fixture.replica.address());
  auto const hasRead = [&](std::size_t parts) { return request.outcome.body.size() >= parts * part; };
  REQUIRE(waitUntil([&] { return hasRead(1); }));
  qint64 fastestMs = INT64_MAX;
  for (std::size_t i = 0; i < pauses; ++i) {
    request.upstream->setPaused(true);
    QElapsedTimer elapsed;
    elapsed.start();
    REQUIRE(waitUntil([&] { return elapsed.elapsed() > 50; }));
    request.upstream->setPaused(false);
    elapsed.start();
    REQUIRE(waitUntil([&] { return hasRead(i + 2); }));
    fastestMs = std::min(fastestMs, elapsed.elapsed());
  }
  CHECK(fastestMs < senderTimerMs);
  CHECK(request.wait().body.size() == body.size());
}

TEST_CASE("a closed connection delivers no further event, not even a failure that is already queued") {
  ensureApplication();
  PoolFixture fixture({});
  http::UpstreamConnection::Events e;
  http::UpstreamConnection* upstream = nullptr;
  int failures = 0;
  bool closed = false;
  e.connected = [&] {
    QTcpSocket* const replicaSocket = fixture.replica.lastSocket;
    REQUIRE(replicaSocket != nullptr);
    replicaSocket->write("surplus");
    replicaSocket->flush();
    upstream->send({"POST", "/x"}, "{}");
    upstream->close();
    closed = true;
  };
  e.connectFailed = [&] { ++failures; };
  upstream = fixture.upstreams.acquire(fixture.replica.address(), false, std::move(e), nullptr);
  REQUIRE(waitUntil([&] { return closed; }));
  bool queuedEventsDelivered = false;
  QTimer::singleShot(0, [&] { QTimer::singleShot(0, [&] { queuedEventsDelivered = true; }); });
  REQUIRE(waitUntil([&] { return queuedEventsDelivered; }));
  CHECK(failures == 0);
  CHECK(fixture.replica.requests == 0);
  delete upstream;
}

/// Requests to an EarlyResponder on connections of one pool.
struct EarlyResponseFixture {
  EarlyResponder replica;
  http::UpstreamPool upstreams{{2, 5000, 0}, [] { return core::Milliseconds{1000}; }};
  QObject owner;
  /// Number of complete responses, plus 100 for each incomplete one, so that an incomplete response fails the test.
  int finishedCount = 0;

  /// @param releases whether the connection is released when the response head arrives; the response then counts as
  ///   complete
  void request(std::string const& text, bool releases) {
    std::shared_ptr<http::UpstreamConnection*> const upstream = std::make_shared<http::UpstreamConnection*>(nullptr);
    http::UpstreamConnection::Events e;
    e.connected = [upstream, text] { (*upstream)->send({"POST", "/x"}, text); };
    e.connectFailed = [] { FAIL("connection failed"); };
    e.head = [this, upstream, releases](http::ReplicaHead const&) {
      if (!releases) return;
      ++finishedCount;
      (*upstream)->release();
    };
    e.ended = [this](core::BodyEnd end) { finishedCount += end == core::BodyEnd::framed ? 1 : 100; };
    *upstream = upstreams.acquire(replica.address(), false, std::move(e), &owner);
  }
};

TEST_CASE("a replica that reads a body after its early response finds only the next request behind the body") {
  ensureApplication();
  constexpr std::size_t exceedsAllBuffers = 48U << 20;
  bool const fitsBuffers = GENERATE(true, false);
  bool const released = GENERATE(true, false);
  std::string const body(fitsBuffers ? 2000 : exceedsAllBuffers, 'b');
  EarlyResponseFixture fixture;
  EarlyResponder& replica = fixture.replica;
  fixture.request(body, released);
  REQUIRE(waitUntil([&] { return fixture.finishedCount == 1; }));
  replica.readBodies();
  fixture.request("next", false);
  REQUIRE(waitUntil([&] { return fixture.finishedCount == 2; }));
  std::string const& first = replica.received[0];
  std::size_t const bodyStart = first.find("\r\n\r\n") + 4;
  std::size_t const bodyEnd = first.find_first_not_of('b', bodyStart);
  if (bodyEnd != std::string::npos) {
    CHECK(bodyEnd - bodyStart == body.size());
    CHECK(first.compare(bodyEnd, 5, "POST ") == 0);
  }
  if (!fitsBuffers) CHECK(bodyEnd == std::string::npos);
  if (!fitsBuffers) CHECK(replica.received.size() == 2);
  CHECK(replica.received.back().find("next") != std::string::npos);
}

TEST_CASE("a request that follows a long body with an early response does not wait behind the rest of that body") {
  // Found by the fuzzer (early-answers.json). The complete body was in the operating system's buffers, so the
  // connection was reused, and the next request reached the replica only after the replica had read the rest of the
  // body.
  ensureApplication();
  constexpr std::size_t longButBuffered = 70000;
  EarlyResponseFixture fixture;
  fixture.request(std::string(longButBuffered, 'b'), false);
  REQUIRE(waitUntil([&] { return fixture.finishedCount == 1; }));
  fixture.request("next", false);
  CHECK(waitUntil([&] { return fixture.finishedCount == 2; }));
  CHECK(fixture.replica.received.size() == 2);
}

TEST_CASE("random and damaged responses end, random responses are incomplete, and no connection is reused") {
  ensureApplication();
  core::RandomGenerator rng(3);
  std::string const validChunkedResponse =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
  for (int round = 0; round < 300; ++round) {
    std::string bytes = validChunkedResponse;
    if (round % 2 == 0) {
      bytes.assign(rng.below(2000), '\0');
      for (char& c : bytes) c = static_cast<char>(rng.next());
    } else {
      bytes[rng.below(bytes.size())] = static_cast<char>(rng.next());
    }
    PoolFixture fixture({{bytes, true}});
    Outcome const outcome = fixture.request();
    REQUIRE(outcome.endCount == 1);
    REQUIRE(fixture.upstreams.idleCount() == 0);
    if (round % 2 == 0) REQUIRE(outcome.ended == 0);
  }
}
