#include <catch2/catch.hpp>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>
#include <algorithm>
#include <memory>
#include <vector>

#include <corkward/http/server.h>

#include "event_loop.h"
#include "http/src/memory_cost.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

constexpr std::uint64_t megabyte = 1U << 20;
/// Three bodies of a megabyte fit into the part of this limit that can be reserved.
constexpr std::uint64_t accountLimit = 5 * megabyte;

struct Caller {
  explicit Caller(http::Server const& server) {
    http::SocketAddress const at = http::parseSocketAddress(server.address());
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
  }
  void begin(std::uint64_t length, std::uint64_t sent) {
    std::string const head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    socket.write(QByteArray::fromStdString(head + std::string(sent, 'b')));
  }
  void send(std::string const& bytes) { socket.write(QByteArray::fromStdString(bytes)); }
  bool receives(std::string const& text) {
    std::size_t searched = 0;
    return waitUntil([&] {
      received += socket.readAll().toStdString();
      bool const isFound = received.find(text, searched) != std::string::npos;
      searched = received.size() - std::min(received.size(), text.size());
      return isFound;
    });
  }
  QTcpSocket socket;
  std::string received;
};

/// Returns how many callers have received a response with status 503.
std::size_t countRefused(std::vector<std::unique_ptr<Caller>> const& callers) {
  std::size_t refused = 0;
  for (std::unique_ptr<Caller> const& caller : callers) {
    caller->received += caller->socket.readAll().toStdString();
    refused += caller->received.find(" 503 ") != std::string::npos ? 1 : 0;
  }
  return refused;
}

/// Returns requests that follow each other, with bodies of two bytes.
std::string smallRequests(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) out += "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  return out;
}

/// A server that answers each request with the length of its body.
struct LimitedServer {
  explicit LimitedServer(http::ServerLimits limits = {.bodyLimitBytes = 4 * megabyte},
                         std::shared_ptr<core::MemoryAccount> shared = nullptr)
      : account(shared ? shared : std::make_shared<core::MemoryAccount>(accountLimit)),
        server("127.0.0.1:0", limits, events(), nullptr, account) {}
  http::Server::Events events() {
    http::Server::Events out;
    out.request = [this](http::Request const& request) {
      ++handled;
      if (answers)
        server.respond(request.id, 200, {}, "got " + std::to_string(request.body.size()));
      else
        pending.push_back(request.id);
    };
    return out;
  }
  std::shared_ptr<core::MemoryAccount> account;
  bool answers = true;
  int handled = 0;
  std::vector<std::uint64_t> pending;
  http::Server server;
};

}  // namespace

TEST_CASE("a long body is charged as a whole when it begins, and released with the response") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  caller.begin(megabyte, megabyte - 1);
  REQUIRE(waitUntil([&] { return fixture.account->used() >= megabyte; }));
  caller.send("b");
  CHECK(caller.receives("got 1048576"));
  CHECK(waitUntil([&] { return fixture.account->used() == http::connectionBytes; }));
  caller.socket.disconnectFromHost();
  CHECK(waitUntil([&] { return fixture.account->used() == 0; }));
}

// Guards against a receive buffer that shrinks below half of its former size: senders then keep back what does not fit
// until their timer for closed windows ends, which takes 200 ms or more.
TEST_CASE("bodies that follow each other on a connection do not wait for a timer of their sender") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  constexpr int rounds = 4;
  constexpr qint64 senderTimerMs = 200;
  for (std::uint64_t const length : {300000U, 20000U, 130000U, 15000U, 60000U, 1000000U}) {
    qint64 fastestMs = INT64_MAX;
    for (int i = 0; i < rounds; ++i) {
      caller.received.clear();
      QElapsedTimer elapsed;
      elapsed.start();
      caller.begin(length, length);
      REQUIRE(caller.receives("got " + std::to_string(length)));
      fastestMs = std::min(fastestMs, elapsed.elapsed());
    }
    CAPTURE(length);
    CHECK(fastestMs < senderTimerMs);
  }
}

TEST_CASE("the body of a pending request stays charged until its response") {
  ensureApplication();
  LimitedServer fixture;
  fixture.answers = false;
  Caller caller(fixture.server);
  caller.begin(megabyte, megabyte);
  REQUIRE(waitUntil([&] { return !fixture.pending.empty(); }));
  CHECK(fixture.account->used() >= megabyte);
  fixture.server.respond(fixture.pending.front(), 200, {}, "");
  CHECK(waitUntil([&] { return fixture.account->used() == http::connectionBytes; }));
  caller.socket.disconnectFromHost();
  CHECK(waitUntil([&] { return fixture.account->used() == 0; }));
}

// Guards against connections whose bodies are each within the limit and together exceed the memory of the process.
TEST_CASE("stalled bodies give way to one that waits, and small requests are served meanwhile") {
  ensureApplication();
  LimitedServer fixture;
  std::vector<std::unique_ptr<Caller>> stalled;
  for (int i = 0; i < 20; ++i) {
    stalled.push_back(std::make_unique<Caller>(fixture.server));
    stalled.back()->begin(megabyte, megabyte - 1);
  }
  REQUIRE(waitUntil([&] { return fixture.account->used() >= 3 * megabyte; }));
  Caller small(fixture.server);
  small.begin(10, 10);
  CHECK(small.receives("got 10"));
  Caller whole(fixture.server);
  whole.begin(megabyte, megabyte);
  CHECK(whole.receives("got 1048576"));
  CHECK(fixture.account->peak() <= accountLimit + megabyte);
  CHECK(fixture.server.shedForMemory() > 0);
  stalled.clear();
  small.socket.disconnectFromHost();
  whole.socket.disconnectFromHost();
  CHECK(waitUntil([&] { return fixture.account->used() == 0; }));
}

TEST_CASE("a body that gave way gets 503 while its caller still writes") {
  ensureApplication();
  LimitedServer fixture;
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(std::make_unique<Caller>(fixture.server));
    callers.back()->begin(megabyte, megabyte - 1);
  }
  CHECK(waitUntil([&] { return countRefused(callers) > 0; }));
}

TEST_CASE("responses that callers do not read are charged, and give way when the account is exceeded") {
  ensureApplication();
  LimitedServer fixture;
  fixture.answers = false;
  Caller idle(fixture.server);
  idle.begin(2, 2);
  REQUIRE(waitUntil([&] { return !fixture.pending.empty(); }));
  fixture.server.respond(fixture.pending.front(), 200, {}, std::string(4 * megabyte, 'r'));
  CHECK(fixture.account->used() > 3 * megabyte);
  fixture.account->setLimit(megabyte);
  Caller other(fixture.server);
  other.begin(2, 1);
  CHECK(waitUntil([&] { return fixture.account->used() < megabyte; }));
  CHECK(fixture.server.shedForMemory() == 1);
}

// Guards against callers who get no place because connections without a complete request hold all of them.
TEST_CASE("while many connections are refused, the oldest without a complete request gives way") {
  ensureApplication();
  LimitedServer fixture({.maxConnections = 4});
  std::vector<std::unique_ptr<Caller>> unfinished;
  for (int i = 0; i < 40; ++i) {
    unfinished.push_back(std::make_unique<Caller>(fixture.server));
    unfinished.back()->send("POST /a HTTP/1.1\r\n");
  }
  REQUIRE(waitUntil([&] { return fixture.server.displacedConnections() > 0; }));
  Caller ordinary(fixture.server);
  ordinary.begin(3, 3);
  CHECK(ordinary.receives("got 3"));
  CHECK(fixture.server.connectionCount() <= 8);
}

TEST_CASE("a connection whose request is pending never gives way") {
  ensureApplication();
  LimitedServer fixture({.maxConnections = 1});
  fixture.answers = false;
  Caller pending(fixture.server);
  pending.begin(2, 2);
  REQUIRE(waitUntil([&] { return fixture.pending.size() == 1; }));
  std::vector<std::unique_ptr<Caller>> others;
  for (int i = 0; i < 20; ++i) others.push_back(std::make_unique<Caller>(fixture.server));
  REQUIRE(waitUntil([&] { return fixture.server.malformedRequests() >= 1; }));
  fixture.server.respond(fixture.pending.front(), 200, {}, "late answer");
  CHECK(pending.receives("late answer"));
}

// Guards against small bodies whose sum nobody bounds, since only long ones are reserved.
TEST_CASE("a small body is charged as a whole when it begins") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  caller.begin(http::smallBodyBytes, 1);
  CHECK(waitUntil([&] { return fixture.account->used() >= http::connectionBytes + http::smallBodyBytes; }));
}

TEST_CASE("small bodies that stall give way to others, and the account is not exceeded by much") {
  ensureApplication();
  LimitedServer fixture;
  std::vector<std::unique_ptr<Caller>> stalled;
  for (int i = 0; i < 60; ++i) {
    stalled.push_back(std::make_unique<Caller>(fixture.server));
    stalled.back()->begin(http::smallBodyBytes, http::smallBodyBytes - 1);
  }
  REQUIRE(waitUntil([&] { return fixture.server.shedForMemory() > 0; }));
  Caller whole(fixture.server);
  whole.begin(http::smallBodyBytes, http::smallBodyBytes);
  CHECK(whole.receives("got 131072"));
  CHECK(fixture.account->peak() <= accountLimit + megabyte);
}

// Guards against parsed fields that take many times the bytes of their text.
TEST_CASE("fields are charged as they are parsed, and released with their request") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  std::string fields = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n";
  constexpr int count = 2000;
  for (int i = 0; i < count; ++i) fields += std::to_string(i) + ":\r\n";
  caller.send(fields);
  CHECK(waitUntil([&] { return fixture.account->used() >= http::connectionBytes + std::uint64_t{count} * 80; }));
  caller.send("\r\nab");
  CHECK(caller.receives("got 2"));
  CHECK(waitUntil([&] { return fixture.account->used() == http::connectionBytes; }));
}

// Guards against accepted requests without a bound on their sum.
TEST_CASE("a complete request for which the account has no room gets 503 and never reaches the owner") {
  ensureApplication();
  LimitedServer fixture;
  fixture.answers = false;
  std::vector<std::unique_ptr<Caller>> callers;
  constexpr std::size_t count = 80;
  for (std::size_t i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<Caller>(fixture.server));
    callers.back()->begin(100U << 10, 100U << 10);
  }
  std::size_t refused = 0;
  CHECK(waitUntil([&] {
    refused = countRefused(callers);
    return refused > 0;
  }));
  CHECK(refused + fixture.pending.size() <= count);
  CHECK(fixture.account->peak() <= accountLimit + megabyte);
  // A tiny request still has room.
  Caller tiny(fixture.server);
  std::size_t const before = fixture.pending.size();
  tiny.begin(2, 2);
  CHECK(waitUntil([&] { return fixture.pending.size() > before; }));
}

// Guards against callers who are refused since a crowd at another port of the process holds the memory.
TEST_CASE("a tiny request has room beside incomplete ones at another server with the same account") {
  ensureApplication();
  LimitedServer crowded;
  LimitedServer ordinary({}, crowded.account);
  std::vector<std::unique_ptr<Caller>> stalled;
  constexpr std::uint64_t count = 15;
  for (std::uint64_t i = 0; i < count; ++i) {
    stalled.push_back(std::make_unique<Caller>(crowded.server));
    stalled.back()->begin(http::smallBodyBytes, http::smallBodyBytes - 1);
  }
  std::uint64_t const least = count * (http::smallBodyBytes + http::connectionBytes);
  REQUIRE(waitUntil([&] { return crowded.account->used() >= least; }));
  // Something that cannot be shed leaves room for a connection, but for no request.
  core::MemoryCharge other(*crowded.account);
  REQUIRE(crowded.account->used() + 2 * http::connectionBytes < accountLimit);
  other.set(accountLimit - crowded.account->used() - http::connectionBytes - http::connectionBytes / 2);
  Caller tiny(ordinary.server);
  tiny.begin(2, 2);
  CHECK(tiny.receives("got 2"));
}

// Guards against a read buffer that grows with each request of a connection that does not wait for its responses.
TEST_CASE("requests that arrive at once on a connection are not read ahead") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  constexpr int count = 20000;
  std::string requests = smallRequests(count);
  requests += "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nlast";
  caller.send(requests);
  CHECK(caller.receives("got 4"));
  CHECK(fixture.account->peak() < 256U << 10);
}

// Guards against a turn of the event loop that takes seconds, since each of many connections has all of its requests
// handled that were read at once.
TEST_CASE("requests that arrive at once on a connection are handled in separate turns of the event loop") {
  ensureApplication();
  LimitedServer fixture;
  Caller caller(fixture.server);
  constexpr int count = 1000;
  caller.send(smallRequests(count));
  int mostInTurn = 0;
  QElapsedTimer elapsed;
  elapsed.start();
  while (fixture.handled < count && elapsed.elapsed() < 10000) {
    int const before = fixture.handled;
    QCoreApplication::processEvents();
    mostInTurn = std::max(mostInTurn, fixture.handled - before);
  }
  CHECK(fixture.handled == count);
  // One when bytes arrive, and one when the response before it is written.
  CHECK(mostInTurn <= 3);
}

TEST_CASE("fewer connections have a place while the account has no room for their fixed cost") {
  ensureApplication();
  LimitedServer fixture;
  constexpr std::uint64_t lowered = 1U << 20;
  fixture.account->setLimit(lowered);
  std::vector<std::unique_ptr<Caller>> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(std::make_unique<Caller>(fixture.server));
  REQUIRE(waitUntil([&] { return fixture.server.malformedRequests() > 0; }));
  CHECK(fixture.account->peak() <= lowered);
}
