#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpSocket>

#include <corkward/core/guarantees.h>
#include <corkward/http/server.h>

#include "event_loop.h"

namespace core = corkward::core;
namespace http = corkward::http;
using corkward::http::test::ensureApplication;
using corkward::http::test::waitUntil;

namespace {

/// A server whose responses the test writes, and one caller that has sent it a request.
struct Exchange {
  explicit Exchange(std::function<void(http::Server&, std::uint64_t)> respond) {
    ensureApplication();
    http::Server::Events events;
    events.request = [this, respond](http::Request const& r) { respond(*server, r.id); };
    server = std::make_unique<http::Server>("127.0.0.1:0", http::ServerLimits{}, events);
    http::SocketAddress const at = http::parseSocketAddress(server->address());
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket.write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  /// Returns the bytes that the caller receives until its connection ends.
  QByteArray receiveUntilDisconnected() {
    QByteArray received;
    REQUIRE(waitUntil([&] {
      received += socket.readAll();
      return socket.state() == QAbstractSocket::UnconnectedState;
    }));
    return received;
  }
  std::unique_ptr<http::Server> server;
  QTcpSocket socket;
};

}  // namespace

TEST_CASE("finishing a response with an incomplete body closes the connection and violates a guarantee") {
  Exchange exchange([](http::Server& server, std::uint64_t id) {
    server.beginResponse(id, 200, {}, 10);
    server.writeChunk(id, "1234");
    server.finishResponse(id);
  });
  CHECK_FALSE(exchange.receiveUntilDisconnected().endsWith("1234567890"));
  std::vector<std::string> const violations = core::GuaranteeCounts::ofThread().takeNewViolations();
  REQUIRE(violations.size() == 1);
  CHECK(violations[0] == "guarantee whole-answers violated 1 times, first: 6 bytes are missing");
}

TEST_CASE("a response or response head after another response head closes the connection and violates a guarantee") {
  bool const complete = GENERATE(true, false);
  Exchange exchange([complete](http::Server& server, std::uint64_t id) {
    server.beginResponse(id, 200, {}, 10);
    if (complete)
      server.respond(id, 503, {}, "late");
    else
      server.beginResponse(id, 200, {}, 10);
  });
  CHECK(exchange.receiveUntilDisconnected().count("HTTP/1.1") <= 1);
  std::vector<std::string> const violations = core::GuaranteeCounts::ofThread().takeNewViolations();
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rfind("guarantee one-answer violated 1 times", 0) == 0);
}
