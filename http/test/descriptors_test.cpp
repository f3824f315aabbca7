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

#include <corkward/core/descriptor_limit.h>
#include <corkward/core/file_descriptor.h>
#include <corkward/http/descriptor_places.h>
#include <corkward/http/server.h>

#include "event_loop.h"

namespace http = corkward::http;
using corkward::core::FileDescriptor;
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

/// A server that answers every request.
struct AnsweringServer {
  http::Server::Events events() {
    ensureApplication();
    http::Server::Events events;
    events.request = [this](http::Request const& request) { server.respond(request.id, 200, {}, "ok"); };
    return events;
  }
  http::Server server{"127.0.0.1:0", http::ServerLimits{}, events()};
};

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
  AnsweringServer answering;
  http::Server& server = answering.server;
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
  AnsweringServer answering;
  http::Server& server = answering.server;
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
  AnsweringServer answering;
  http::Server& server = answering.server;
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

/// Guards against clients that leave no descriptor to the process's disk, settings and connections to replicas.
TEST_CASE("a server leaves the last descriptors to the rest of its process", "[descriptors]") {
  ensureApplication();
  http::Server::Events events;
  events.request = [](http::Request const&) {};
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  std::vector<std::unique_ptr<PreopenedClient>> clients;
  constexpr int connections = 40;
  for (int i = 0; i < connections; ++i) clients.push_back(std::make_unique<PreopenedClient>());
  rlimit previous{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &previous) == 0);
  constexpr rlim_t limit = 600;
  rlimit const low{limit, previous.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::uint64_t const reserve = corkward::core::descriptorReserve(limit);
  // The rest of the process holds all descriptors but the reserve and ten.
  std::vector<FileDescriptor> held;
  while (held.empty() || held.back().get() < static_cast<int>(limit - reserve) - 10)
    held.emplace_back(::dup(STDERR_FILENO));
  for (std::unique_ptr<PreopenedClient> const& client : clients) client->sendRequest(server.address());
  QDeadlineTimer const deadline(exhaustedMs);
  waitUntil([&] { return deadline.hasExpired(); });
  std::vector<FileDescriptor> free;
  for (FileDescriptor next(::dup(STDERR_FILENO)); next.isOpen(); next = FileDescriptor(::dup(STDERR_FILENO)))
    free.push_back(std::move(next));
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &previous) == 0);
  CHECK(free.size() >= reserve);
  CHECK(server.connectionCount() > 0);
  CHECK(server.failedAccepts() == 0);
}

/// Guards against places that are derived from a limit that is not in force.
TEST_CASE("a server has as many places as the limit of descriptors in force allows", "[descriptors]") {
  CHECK(http::clientPlaces(4100, 4096) == 1300);
  CHECK(http::clientPlaces(1024, 1300) == 274);
  CHECK(http::clientPlaces(256, 1300) == 18);
  CHECK(http::clientPlaces(64, 1300) == 16);
  CHECK(http::clientPlaces(1000000, 4096) == 4096);
}
