#include <catch2/catch.hpp>

#include <QAbstractEventDispatcher>
#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <sys/resource.h>
#include <unistd.h>

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
