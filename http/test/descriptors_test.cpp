#include <catch2/catch.hpp>

#include <QAbstractEventDispatcher>
#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <sys/resource.h>
#include <unistd.h>

#include <corkward/http/server.h>

#include "turn.h"

namespace http = corkward::http;
using corkward::http::test::application;
using corkward::http::test::until;

namespace {

/// Lets the process open no descriptor any more, until it goes.
class NoDescriptors {
 public:
  NoDescriptors() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
    int const next = ::dup(STDERR_FILENO);
    REQUIRE(next > 0);
    rlimit const now{static_cast<rlim_t>(next), before_.rlim_max};
    ::close(next);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &now) == 0);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

/// A socket that is open before the descriptors are gone, and connects when it is told to.
struct LateClient {
  LateClient() : socket(new QTcpSocket()) { socket->bind(QHostAddress(QHostAddress::LocalHost), 0); }
  ~LateClient() { socket->deleteLater(); }
  void ask(std::string const& address) {
    http::SocketAddress const at = http::parseSocketAddress(address);
    socket->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket->write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  bool answered() {
    return until([&] {
      got += socket->readAll();
      return got.contains("200");
    });
  }
  QTcpSocket* socket;
  QByteArray got;
};

}  // namespace

TEST_CASE("a server that was out of descriptors accepts connections as soon as there are some again", "[descriptors]") {
  application();
  http::Server* at = nullptr;
  http::Server::Events events;
  events.request = [&](http::Request const& r) { at->respond(r.id, 200, {}, "ok"); };
  http::Server server("127.0.0.1:0", http::ServerLimits{}, events);
  at = &server;
  LateClient first;
  LateClient second;
  {
    NoDescriptors const none;
    first.ask(server.address());
    REQUIRE(until([&] { return first.socket->state() == QAbstractSocket::ConnectedState; }));
    // The server's turn to accept has come when the event loop has nothing left to do at once.
    while (QCoreApplication::eventDispatcher()->processEvents(QEventLoop::AllEvents)) continue;
    CHECK(server.connectionCount() == 0);
  }
  CHECK(first.answered());
  second.ask(server.address());
  CHECK(second.answered());
}
