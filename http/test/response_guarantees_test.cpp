#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include <corkward/core/guarantees.h>
#include <corkward/http/server.h>

#include "turn.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::application;
using corkward::http::test::until;

namespace {

/// A server that answers as the test says, and one caller of it.
struct Exchange {
  explicit Exchange(std::function<void(http::Server&, std::uint64_t)> answer) {
    application();
    http::Server::Events events;
    events.request = [this, answer](http::Request const& r) { answer(*server, r.id); };
    server = std::make_unique<http::Server>("127.0.0.1:0", http::ServerLimits{}, events);
    http::SocketAddress const at = http::parseSocketAddress(server->address());
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  /// What the caller gets until its connection ends.
  QByteArray untilCut() {
    QByteArray got;
    REQUIRE(until([&] {
      got += socket.readAll();
      return socket.state() == QAbstractSocket::UnconnectedState;
    }));
    return got;
  }
  std::unique_ptr<http::Server> server;
  QTcpSocket socket;
};

}  // namespace

TEST_CASE("a response that is finished before its body is complete resets the connection, and violates a guarantee") {
  Exchange exchange([](http::Server& server, std::uint64_t id) {
    server.beginResponse(id, 200, {}, 10);
    server.writeChunk(id, "1234");
    server.finishResponse(id);
  });
  CHECK_FALSE(exchange.untilCut().endsWith("1234567890"));
  std::vector<std::string> const broken = core::GuaranteeCounts::ofThread().takeNewViolations();
  REQUIRE(broken.size() == 1);
  CHECK(broken[0] == "guarantee whole-answers violated 1 times, first: 6 bytes are missing");
}

TEST_CASE("a second head for one request resets the connection, and violates a guarantee") {
  bool const complete = GENERATE(true, false);
  Exchange exchange([complete](http::Server& server, std::uint64_t id) {
    server.beginResponse(id, 200, {}, 10);
    if (complete)
      server.respond(id, 503, {}, "late");
    else
      server.beginResponse(id, 200, {}, 10);
  });
  CHECK(exchange.untilCut().count("HTTP/1.1") <= 1);
  std::vector<std::string> const broken = core::GuaranteeCounts::ofThread().takeNewViolations();
  REQUIRE(broken.size() == 1);
  CHECK(broken[0].rfind("guarantee one-answer violated 1 times", 0) == 0);
}
