#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <corkward/core/types.h>
#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/upstream_connection.h>
#include <corkward/http/server.h>

#include "turn.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::application;
using corkward::http::test::until;

namespace {

/// A replica that says exactly the given bytes and then closes, or stays.
class Raw {
 public:
  Raw(std::string bytes, bool close) {
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this, bytes, close] {
      QTcpSocket* const s = server_.nextPendingConnection();
      QObject::connect(s, &QTcpSocket::readyRead, s, [s, bytes, close] {
        s->readAll();
        s->write(QByteArray::fromStdString(bytes));
        if (close) s->disconnectFromHost();
      });
    });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }

 private:
  QTcpServer server_;
};

struct Got {
  int status = 0;
  std::string body;
  int ended = -1;
  bool rejected = false;
};

Got forwarded(std::string const& address) {
  Got got;
  QObject owner;
  http::UpstreamConnection* upstream = nullptr;
  http::UpstreamConnection::Events e;
  e.connected = [&] { upstream->send({"POST", "/x"}, "{}"); };
  e.connectFailed = [&] { got.rejected = true; };
  e.head = [&](http::ReplicaHead h) { got.status = h.status; };
  e.chunk = [&](std::string bytes) { got.body += bytes; };
  e.ended = [&](bool whole) { got.ended = whole ? 1 : 0; };
  upstream = new http::UpstreamConnection(address, std::move(e), &owner);
  REQUIRE(until([&] { return got.rejected || got.ended >= 0; }));
  return got;
}

}  // namespace

TEST_CASE("a body is complete only when the response's own end was seen") {
  application();
  struct Row {
    char const* bytes;
    int ended;
    char const* body;
  };
  constexpr Row rows[] = {{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 1, "hello"},
                          {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello", 0, "hello"},
                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 1, "hello"},
                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", 0, "hello"},
                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", 0, nullptr},
                          {"HTTP/1.1 200 OK\r\n\r\nhello", 0, "hello"},
                          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1, ""},
                          {"nonsense\r\n\r\n", 0, ""},
                          {"", 0, ""}};
  for (Row const& r : rows) {
    INFO(r.bytes);
    Raw const raw(r.bytes, true);
    Got const got = forwarded(raw.address());
    CHECK(got.ended == r.ended);
    if (r.body != nullptr) CHECK(got.body == r.body);
  }
  CHECK(forwarded("127.0.0.1:1").rejected);
}

TEST_CASE("a paused connection stops reading, so that a slow caller slows its replica down") {
  application();
  std::string const body(8 << 20, 'x');
  Raw const raw("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, true);
  QObject owner;
  http::UpstreamConnection* upstream = nullptr;
  std::size_t got = 0;
  int ended = -1;
  bool paused = false;
  http::UpstreamConnection::Events e;
  e.connected = [&] { upstream->send({"POST", "/x"}, "{}"); };
  e.connectFailed = [] {};
  e.head = [](http::ReplicaHead) {};
  e.chunk = [&](std::string bytes) {
    got += bytes.size();
    if (got > (1 << 20) && !paused) {
      paused = true;
      upstream->setPaused(true);
    }
  };
  e.ended = [&](bool whole) { ended = whole ? 1 : 0; };
  upstream = new http::UpstreamConnection(raw.address(), std::move(e), &owner);
  REQUIRE(until([&] { return paused; }));
  std::size_t const at = got;
  for (int i = 0; i < 200; ++i) QCoreApplication::processEvents();
  CHECK(got == at);
  CHECK(ended == -1);
  upstream->setPaused(false);
  REQUIRE(until([&] { return ended >= 0; }));
  CHECK(ended == 1);
  CHECK(got == body.size());
}

TEST_CASE("random and damaged requests get a response or an end, and the server goes on") {
  application();
  std::size_t served = 0;
  http::Server* http = nullptr;
  http::Server::Events e;
  e.request = [&](http::Request r) {
    ++served;
    http->respond(r.id, 200, {}, "ok");
  };
  http::Server server(
      "127.0.0.1:0",
      http::ServerLimits{.headLimitBytes = 2048, .bodyLimitBytes = 4096, .headTimeoutMs = 100, .idleTimeoutMs = 100},
      std::move(e));
  http = &server;
  http::SocketAddress const at = http::parseSocketAddress(server.address());
  std::string const good = "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
  core::RandomGenerator rng(11);
  for (int round = 0; round < 400; ++round) {
    std::string bytes = good;
    if (round % 3 == 0) {
      bytes.assign(rng.below(3000), '\0');
      for (char& c : bytes) c = static_cast<char>(rng.next());
    } else if (round % 3 == 1) {
      for (int i = 0; i < 2; ++i) bytes[rng.below(bytes.size())] = static_cast<char>(rng.next());
    } else {
      bytes.resize(rng.below(bytes.size()));
    }
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket.write(QByteArray::fromStdString(bytes));
    REQUIRE(
        until([&] { return socket.bytesAvailable() > 0 || (socket.state() == QAbstractSocket::UnconnectedState); }));
  }
  std::size_t const before = served;
  QTcpSocket socket;
  socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
  socket.write(QByteArray::fromStdString(good + good));
  REQUIRE(until([&] { return served == before + 2; }));
  CHECK(server.malformedRequests() > 100);
}

TEST_CASE("a caller beyond the limit of connections is rejected at once with a time to retry") {
  application();
  http::Server::Events e;
  e.request = [](http::Request) {};
  http::Server server("127.0.0.1:0", http::ServerLimits{.maxConnections = 2}, std::move(e));
  http::SocketAddress const at = http::parseSocketAddress(server.address());
  QTcpSocket first;
  QTcpSocket second;
  QTcpSocket third;
  for (QTcpSocket* const s : {&first, &second, &third}) {
    s->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    REQUIRE(until([&] { return s->state() == QAbstractSocket::ConnectedState; }));
  }
  REQUIRE(until([&] { return third.bytesAvailable() > 0; }));
  std::string const got = third.readAll().toStdString();
  CHECK(got.find(" 503 ") != std::string::npos);
  CHECK(got.find("Retry-After: 1") != std::string::npos);
  CHECK(got.find("corkward-outcome: not-run") != std::string::npos);
  CHECK(first.bytesAvailable() == 0);
}

TEST_CASE("the ETag of a response is what a change based on it has in If-Match") {
  http::NativeOperatorMapping const operators;
  CHECK(http::headerValue(operators.response({}, 200, QJsonObject{{"stamp", 3}}).headers, "etag") == "\"3\"");
  CHECK(http::headerValue(operators.response({}, 200, QJsonObject{{"stamp", 3}, {"version", 70}}).headers, "etag") ==
        "\"70\"");
  CHECK(http::headerValue(operators.response({}, 412, QJsonObject{{"stamp", 3}, {"version", 70}}).headers, "etag")
            .empty());
}
