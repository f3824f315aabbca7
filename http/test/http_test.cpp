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

#include "event_loop.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

/// A replica that responds with the given bytes, and then closes the connection or leaves it open.
class FixedReplica {
 public:
  FixedReplica(std::string bytes, bool close) {
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

struct Received {
  int status = 0;
  std::string body;
  /// 1 after a complete response, 0 after an incomplete one, -1 before the end.
  int ended = -1;
  bool connectFailed = false;
};

/// Sends a request to the address, and returns what was received up to its end.
Received sendRequest(std::string const& address) {
  Received received;
  QObject owner;
  http::UpstreamConnection* upstream = nullptr;
  http::UpstreamConnection::Events e;
  e.connected = [&] { upstream->send({"POST", "/x"}, "{}"); };
  e.connectFailed = [&] { received.connectFailed = true; };
  e.head = [&](http::ReplicaHead h) { received.status = h.status; };
  e.chunk = [&](std::string bytes) { received.body += bytes; };
  e.ended = [&](core::BodyEnd end) { received.ended = end == core::BodyEnd::framed ? 1 : 0; };
  upstream = new http::UpstreamConnection(address, std::move(e), &owner);
  REQUIRE(waitUntil([&] { return received.connectFailed || received.ended >= 0; }));
  return received;
}

}  // namespace

TEST_CASE("a response is complete only if its end was received as the message framing defines it") {
  ensureApplication();
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
    FixedReplica const replica(r.bytes, true);
    Received const received = sendRequest(replica.address());
    CHECK(received.ended == r.ended);
    if (r.body != nullptr) CHECK(received.body == r.body);
  }
  CHECK(sendRequest("127.0.0.1:1").connectFailed);
}

TEST_CASE("a paused connection stops reading, so that a slow caller applies backpressure to its replica") {
  ensureApplication();
  std::string const body(8 << 20, 'x');
  FixedReplica const replica("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                             true);
  QObject owner;
  http::UpstreamConnection* upstream = nullptr;
  std::size_t receivedBytes = 0;
  int ended = -1;
  bool paused = false;
  http::UpstreamConnection::Events e;
  e.connected = [&] { upstream->send({"POST", "/x"}, "{}"); };
  e.connectFailed = [] {};
  e.head = [](http::ReplicaHead) {};
  e.chunk = [&](std::string bytes) {
    receivedBytes += bytes.size();
    if (receivedBytes > (1 << 20) && !paused) {
      paused = true;
      upstream->setPaused(true);
    }
  };
  e.ended = [&](core::BodyEnd end) { ended = end == core::BodyEnd::framed ? 1 : 0; };
  upstream = new http::UpstreamConnection(replica.address(), std::move(e), &owner);
  REQUIRE(waitUntil([&] { return paused; }));
  std::size_t const bytesWhenPaused = receivedBytes;
  for (int i = 0; i < 200; ++i) QCoreApplication::processEvents();
  CHECK(receivedBytes == bytesWhenPaused);
  CHECK(ended == -1);
  upstream->setPaused(false);
  REQUIRE(waitUntil([&] { return ended >= 0; }));
  CHECK(ended == 1);
  CHECK(receivedBytes == body.size());
}

TEST_CASE("random and damaged requests get a response or their connection ends, and the server keeps serving") {
  ensureApplication();
  std::size_t served = 0;
  http::Server* serverPointer = nullptr;
  http::Server::Events e;
  e.request = [&](http::Request r) {
    ++served;
    serverPointer->respond(r.id, 200, {}, "ok");
  };
  http::Server server(
      "127.0.0.1:0",
      http::ServerLimits{.headLimitBytes = 2048, .bodyLimitBytes = 4096, .headTimeoutMs = 100, .idleTimeoutMs = 100},
      std::move(e));
  serverPointer = &server;
  http::SocketAddress const at = http::parseSocketAddress(server.address());
  std::string const validRequest = "POST /v1/a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
  core::RandomGenerator rng(11);
  for (int round = 0; round < 400; ++round) {
    std::string bytes = validRequest;
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
    REQUIRE(waitUntil(
        [&] { return socket.bytesAvailable() > 0 || (socket.state() == QAbstractSocket::UnconnectedState); }));
  }
  std::size_t const servedBefore = served;
  QTcpSocket socket;
  socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
  socket.write(QByteArray::fromStdString(validRequest + validRequest));
  REQUIRE(waitUntil([&] { return served == servedBefore + 2; }));
  CHECK(server.malformedRequests() > 100);
}

TEST_CASE("a connection beyond the limit is rejected immediately with 503 and Retry-After") {
  ensureApplication();
  http::Server::Events e;
  e.request = [](http::Request) {};
  http::Server server("127.0.0.1:0", http::ServerLimits{.maxConnections = 2}, std::move(e));
  http::SocketAddress const at = http::parseSocketAddress(server.address());
  QTcpSocket first;
  QTcpSocket second;
  QTcpSocket third;
  for (QTcpSocket* const s : {&first, &second, &third}) {
    s->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    REQUIRE(waitUntil([&] { return s->state() == QAbstractSocket::ConnectedState; }));
  }
  REQUIRE(waitUntil([&] { return third.bytesAvailable() > 0; }));
  std::string const response = third.readAll().toStdString();
  CHECK(response.find(" 503 ") != std::string::npos);
  CHECK(response.find("Retry-After: 1") != std::string::npos);
  CHECK(response.find("corkward-outcome: not-run") != std::string::npos);
  CHECK(first.bytesAvailable() == 0);
}

TEST_CASE("the ETag of a successful operator response is its version, or its stamp if it has no version") {
  http::NativeOperatorMapping const mapping;
  CHECK(http::headerValue(mapping.response({}, 200, QJsonObject{{"stamp", 3}}).headers, "etag") == "\"3\"");
  CHECK(http::headerValue(mapping.response({}, 200, QJsonObject{{"stamp", 3}, {"version", 70}}).headers, "etag") ==
        "\"70\"");
  CHECK(
      http::headerValue(mapping.response({}, 412, QJsonObject{{"stamp", 3}, {"version", 70}}).headers, "etag").empty());
}
