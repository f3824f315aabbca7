#include <catch2/catch.hpp>

#include <QAbstractEventDispatcher>
#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <ctime>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

#include <corkward/http/server.h>

#include "event_loop.h"

namespace http = corkward::http;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

/// Prevents the process from opening file descriptors, until this object is destroyed.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    // Sockets of earlier cases that would free their descriptors later.
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &previousLimit_) == 0);
    int const lowestFree = ::dup(STDERR_FILENO);
    REQUIRE(lowestFree > 0);
    rlimit const exhausted{static_cast<rlim_t>(lowestFree), previousLimit_.rlim_max};
    ::close(lowestFree);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
  }
  ~DescriptorExhaustion() { ::setrlimit(RLIMIT_NOFILE, &previousLimit_); }

 private:
  rlimit previousLimit_{};
};

constexpr int exhaustedMs = 500;
/// Share of a core that a process which cannot accept may take at the most.
constexpr double maxIdleShare = 0.5;
/// Attempts to accept in `exhaustedMs` that a pause of some 100 ms between them allows.
constexpr std::uint64_t maxFailedAccepts = 10;

/// Processor time of this thread in seconds.
double threadSeconds() {
  timespec time{};
  REQUIRE(::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) == 0);
  constexpr double nanosecondsPerSecond = 1e9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

/// Runs the event loop for `exhaustedMs`. Returns the share of a core that it took.
double runExhausted() {
  QDeadlineTimer const deadline(exhaustedMs);
  double const before = threadSeconds();
  waitUntil([&] { return deadline.hasExpired(); });
  constexpr double millisPerSecond = 1000;
  return (threadSeconds() - before) * millisPerSecond / exhaustedMs;
}

/// A client whose socket is opened before the descriptors are exhausted, and connected by sendRequest().
struct PreopenedClient {
  PreopenedClient() : socket(new QTcpSocket()) { socket->bind(QHostAddress(QHostAddress::LocalHost), 0); }
  ~PreopenedClient() { socket->deleteLater(); }
  void sendRequest(std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    socket->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  bool receivesResponse() {
    return waitUntil([&] {
      received += socket->readAll();
      return received.contains("200");
    });
  }
  QTcpSocket* socket;
  QByteArray received;
};

}  // namespace

TEST_CASE("a server that ran out of file descriptors accepts connections again when descriptors are available",
          "[descriptors]") {
  ensureApplication();
  http::Server* serverPointer = nullptr;
  http::Server::Events events;
  events.request = [&](http::Request const& r) { serverPointer->respond(r.id, 200, {}, "ok"); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  serverPointer = &server;
  PreopenedClient first;
  PreopenedClient second;
  {
    DescriptorExhaustion const exhaustion;
    first.sendRequest(server.address());
    REQUIRE(waitUntil([&] { return first.socket->state() == QAbstractSocket::ConnectedState; }));
    // Process all pending events: afterwards the server has tried to accept the connection.
    while (QCoreApplication::eventDispatcher()->processEvents(QEventLoop::AllEvents)) continue;
    CHECK(server.connectionCount() == 0);
  }
  CHECK(first.receivesResponse());
  second.sendRequest(server.address());
  CHECK(second.receivesResponse());
}

/// Guards against a server that tries again and again, without a pause, to accept a connection for which it has no
/// descriptor, if it has accepted others before.
TEST_CASE("a server that has accepted connections does not spin while its descriptors are used up", "[descriptors]") {
  ensureApplication();
  http::Server* serverPointer = nullptr;
  http::Server::Events events;
  events.request = [&](http::Request const& r) { serverPointer->respond(r.id, 200, {}, "ok"); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  serverPointer = &server;
  PreopenedClient before;
  before.sendRequest(server.address());
  REQUIRE(before.receivesResponse());
  PreopenedClient waiting;
  {
    DescriptorExhaustion const exhaustion;
    waiting.sendRequest(server.address());
    REQUIRE(waitUntil([&] { return waiting.socket->state() == QAbstractSocket::ConnectedState; }));
    CHECK(runExhausted() < maxIdleShare);
    CHECK(server.failedAccepts() > 0);
    CHECK(server.failedAccepts() <= maxFailedAccepts);
  }
  CHECK(waiting.receivesResponse());
}

/// Guards against a server that pauses after every connection, once an attempt to accept has failed.
TEST_CASE("a server accepts without pauses after its descriptors were used up", "[descriptors]") {
  ensureApplication();
  http::Server* serverPointer = nullptr;
  http::Server::Events events;
  events.request = [&](http::Request const& r) { serverPointer->respond(r.id, 200, {}, "ok"); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  serverPointer = &server;
  PreopenedClient first;
  {
    DescriptorExhaustion const exhaustion;
    first.sendRequest(server.address());
    REQUIRE(waitUntil([&] { return server.failedAccepts() > 0; }));
  }
  REQUIRE(first.receivesResponse());
  std::uint64_t const failedAccepts = server.failedAccepts();
  std::vector<std::unique_ptr<PreopenedClient>> clients;
  constexpr int connections = 5;
  for (int i = 0; i < connections; ++i) {
    clients.push_back(std::make_unique<PreopenedClient>());
    clients.back()->sendRequest(server.address());
    CHECK(clients.back()->receivesResponse());
  }
  CHECK(server.failedAccepts() == failedAccepts);
}
