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

/// Guards against a connection that keeps what a replica sends without end as framing, of which no byte belongs to a
/// body, and that waits for its end.
TEST_CASE("a response whose framing goes on without end is given up while the replica goes on sending") {
  ensureApplication();
  constexpr std::size_t length = 256U << 10;
  auto const repeated = [](std::string const& piece) {
    std::string out;
    while (out.size() < length) out += piece;
    return out;
  };
  std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string manyFields;
  for (int i = 0; i < 300; ++i) manyFields += "x: y\r\n";
  manyFields += "\r\n";
  struct Row {
    char const* name;
    std::string bytes;
  };
  std::vector<Row> const rows = {{"a header line", "HTTP/1.1 200 OK\r\nx: " + repeated("h")},
                                 {"header lines", "HTTP/1.1 200 OK\r\n" + repeated("x: y\r\n")},
                                 {"junk as the size of a chunk", chunked + repeated("z")},
                                 {"digits of the size of a chunk", chunked + repeated("0")},
                                 {"the extension of a chunk", chunked + "5;" + repeated("e")},
                                 {"the extension of a second chunk", chunked + "5\r\nhello\r\n5;" + repeated("e")},
                                 {"a trailer line", chunked + "0\r\nx: " + repeated("t")},
                                 {"trailer lines", chunked + "0\r\n" + repeated("x: y\r\n")},
                                 {"many fields", "HTTP/1.1 200 OK\r\n" + manyFields},
                                 {"many fields of a trailer", chunked + "0\r\n" + manyFields},
                                 {"100 Continue", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
                                 {"103 Early Hints", repeated("HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n")}};
  for (Row const& row : rows) {
    INFO(row.name);
    FixedReplica const replica(row.bytes, false);
    CHECK(sendRequest(replica.address()).ended == 0);
  }
}

TEST_CASE("a response with long framing of a legal size is complete") {
  ensureApplication();
  std::string const text(8000, 'x');
  std::string fields;
  for (int i = 0; i < 100; ++i) fields += "x: y\r\n";
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 102 Processing\r\n\r\n";
  std::string chunks;
  for (int i = 0; i < 100; ++i) chunks += "1;" + std::string(1000, 'e') + "\r\nc\r\n";
  FixedReplica const replica(interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields +
                                 "x-long: " + text + "\r\n\r\n5;" + text + "\r\nhello\r\n" + chunks +
                                 "0\r\nx-trailer: " + text + "\r\n\r\n",
                             false);
  Received const received = sendRequest(replica.address());
  CHECK(received.ended == 1);
  CHECK(received.body == "hello" + std::string(100, 'c'));
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
