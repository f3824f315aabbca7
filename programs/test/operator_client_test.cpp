#include <catch2/catch.hpp>

#include <QByteArray>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <string>

#include "operator_client.h"

namespace core = corkward::core;
namespace programs = corkward::programs;

namespace {

constexpr int callTimeoutSeconds = 1;
/// Time limit of the test for one call, above the call's own limit.
constexpr qint64 longestCallMs = 3000;
/// What the server sends at most, after which it closes the connection.
constexpr qint64 maxSentBytes = qint64{256} << 20;
constexpr int maxSendingMs = 6000;

struct Sending {
  QByteArray head;
  QByteArray piece;
  /// Milliseconds between two pieces. 0 sends as fast as the client reads.
  int intervalMs = 0;
};

/// Qt's event loop needs an application object.
void createApplication() {
  static int count = 1;
  static char name[] = "cli_test";
  static char* arguments[] = {name, nullptr};
  static QCoreApplication const application(count, arguments);
}

/// A controller that answers every request with a head and pieces, and does not end the response by itself.
class EndlessController {
 public:
  explicit EndlessController(Sending sending) : sending_(std::move(sending)) {
    REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(*server_.nextPendingConnection()); });
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }

 private:
  void accept(QTcpSocket& socket) {
    QObject::connect(&socket, &QTcpSocket::readyRead, [this, &socket] { beginResponse(socket); });
    QTimer::singleShot(maxSendingMs, &socket, &QTcpSocket::abort);
  }

  void beginResponse(QTcpSocket& socket) {
    socket.readAll();
    socket.write(sending_.head);
    if (sending_.intervalMs == 0) {
      QObject::connect(&socket, &QTcpSocket::bytesWritten, [this, &socket] { sendPiece(socket); });
      return;
    }
    auto* const timer = new QTimer(&socket);
    QObject::connect(timer, &QTimer::timeout, [this, &socket] { sendPiece(socket); });
    timer->start(sending_.intervalMs);
  }

  void sendPiece(QTcpSocket& socket) {
    if (socket.bytesToWrite() > 0 || socket.state() != QAbstractSocket::ConnectedState) return;
    if (sentBytes_ >= maxSentBytes) return socket.abort();
    sentBytes_ += socket.write(sending_.piece);
  }

  Sending sending_;
  QTcpServer server_;
  qint64 sentBytes_ = 0;
};

}  // namespace

// Guards against an operator's command that never ends, or takes all memory, since a reply has no end.
TEST_CASE("a call gives up a reply that has no end") {
  createApplication();
  QByteArray const head = "HTTP/1.1 200 OK\r\n";
  QByteArray const piece(64 << 10, 'x');
  Sending const sending =
      GENERATE_COPY(Sending{head + "\r\n", piece}, Sending{head + "content-length: 900000000\r\n\r\n", piece},
                    Sending{head + "x-long: ", piece}, Sending{head + "\r\n", "{", 50},
                    Sending{head + "transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n", 50});
  INFO(sending.head.toStdString());
  EndlessController const controller(sending);
  QElapsedTimer elapsed;
  elapsed.start();
  programs::OperatorReply const reply =
      programs::callOperator({controller.address()}, {core::HttpMethod::get, "/v1/fleet"}, callTimeoutSeconds);
  CHECK(elapsed.elapsed() < longestCallMs);
  CHECK(!reply.answered());
  CHECK(!reply.error.empty());
  CHECK(reply.text.isEmpty());
}

TEST_CASE("a call goes on to the next controller after a reply that has no end") {
  createApplication();
  EndlessController const endless({"HTTP/1.1 200 OK\r\n\r\n", "{", 50});
  QTcpServer ordinary;
  REQUIRE(ordinary.listen(QHostAddress::LocalHost));
  QObject::connect(&ordinary, &QTcpServer::newConnection, [&ordinary] {
    QTcpSocket* const socket = ordinary.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead,
                     [socket] { socket->write("HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{\"a\":1}"); });
  });
  std::string const address = "127.0.0.1:" + std::to_string(ordinary.serverPort());
  programs::OperatorReply const reply =
      programs::callOperator({endless.address(), address}, {core::HttpMethod::get, "/v1/fleet"}, callTimeoutSeconds);
  CHECK(reply.status == 200);
  CHECK(reply.controller == address);
  CHECK(reply.body.value("a").toInt() == 1);
}
