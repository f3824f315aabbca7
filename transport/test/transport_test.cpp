#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <corkward/core/json.h>
#include <corkward/transport/link.h>

namespace core = corkward::core;
namespace transport = corkward::transport;

TEST_CASE("an envelope is decoded to what was encoded, and a truncated one is rejected") {
  transport::Accept accept;
  accept.key = "family:fault";
  accept.ballot = transport::Ballot{7, "m1"};
  accept.revision = 12;
  accept.value = core::parseJson(R"({"a":[1,2,{"b":"ü"}],"n":null})").toObject();
  std::string const bytes = transport::pack(transport::Envelope{"127.0.0.1:1", accept});
  transport::Envelope const back = transport::unpack(bytes);
  transport::Accept const& got = std::get<transport::Accept>(back.message);
  CHECK(got.ballot == accept.ballot);
  CHECK(got.revision == 12);
  CHECK(got.value == accept.value);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    CHECK_THROWS_AS(transport::unpack(bytes.substr(0, cut)), transport::TransportError);
}

TEST_CASE("a digest depends on the set alone, not on the order of changes, and survives the wire format") {
  transport::Revisions const revisions{{"family:desk", 5}, {"family:fault", 6}};
  transport::Digest built;
  built.replace("family:fault", 0, 2);
  built.replace("family:desk", 0, 5);
  CHECK_FALSE(built == transport::digestOf(revisions));
  built.replace("family:fault", 2, 6);
  CHECK(built == transport::digestOf(revisions));
  CHECK_FALSE(built == transport::digestOf({{"family:desk", 6}, {"family:fault", 5}}));
  built.replace("family:desk", 5, 0);
  CHECK(built == transport::digestOf({{"family:fault", 6}}));
  transport::ServingLeaseGrant c;
  c.digest = transport::digestOf(revisions);
  CHECK(std::get<transport::ServingLeaseGrant>(transport::unpack(transport::pack(transport::Envelope{"s", c})).message)
            .digest == c.digest);
}

TEST_CASE("random bytes do not crash the decoder, and most are rejected") {
  core::RandomGenerator rng(42);
  std::string const good = transport::pack(transport::Envelope{"a", transport::RequestIdQuery{1, "id", 2, 0, ""}});
  int rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good;
    if (round % 2 == 0) {
      bytes.assign(rng.below(64), '\0');
      for (char& c : bytes) c = static_cast<char>(rng.next());
    } else {
      for (int i = 0; i < 3; ++i) bytes[rng.below(bytes.size())] = static_cast<char>(rng.next());
    }
    try {
      transport::unpack(bytes);
    } catch (transport::TransportError const&) {
      ++rejected;
    }
  }
  CHECK(rejected > 10000);
}

TEST_CASE("two links on ephemeral ports exchange messages in both directions") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  std::vector<std::uint64_t> got;
  std::unique_ptr<transport::Link> b;
  transport::Link a("127.0.0.1:0", [&](transport::Envelope e) {
    if (!std::holds_alternative<transport::RequestIdReply>(e.message)) return;
    got.push_back(std::get<transport::RequestIdReply>(e.message).token);
    if (got.size() == 10) QCoreApplication::quit();
  });
  b = std::make_unique<transport::Link>("127.0.0.1:0", [&](transport::Envelope e) {
    b->send(e.from, transport::RequestIdReply{
                        std::get<transport::RequestIdQuery>(e.message).token, b->address(), true, false, false, 0, {}});
  });
  for (std::uint64_t i = 1; i <= 10; ++i) a.send(b->address(), transport::RequestIdQuery{i, "x", 2, 0, ""});
  QTimer::singleShot(30000, [] { QCoreApplication::exit(1); });
  CHECK(QCoreApplication::exec() == 0);
  CHECK(got == std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
}

namespace {

/// A listening port of this machine that drops connection attempts, like a machine that is powered off: its accept
/// queue is full and no connection is accepted from it.
struct UnreachablePort {
  int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  std::vector<int> waiting;
  sockaddr_in at{};

  UnreachablePort() {
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    for (int i = 0; i < 4; ++i) {
      waiting.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      ::connect(waiting.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
    }
  }
  ~UnreachablePort() { close(); }
  void close() {
    for (int const fd : waiting) ::close(fd);
    waiting.clear();
    if (listener >= 0) ::close(listener);
    listener = -1;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(at.sin_port)); }
};

void waitFor(std::function<bool()> const& holds, std::function<void()> const& every) {
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, [&] {
    every();
    if (holds()) QCoreApplication::exit(0);
  });
  timer.start(10);
  QTimer::singleShot(30000, &timer, [] { QCoreApplication::exit(1); });
  REQUIRE(QCoreApplication::exec() == 0);
}

}  // namespace

TEST_CASE("a dial that hangs is repeated when a message of the peer arrives, and an unused connection is closed") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  UnreachablePort port;
  std::uint64_t got = 0;
  transport::RequestIdQuery const request{1, "x", 2, 0, ""};
  transport::Link a("127.0.0.1:0", [](transport::Envelope) {});
  a.send(port.address(), request);
  CHECK(a.connectionCount() == 1);
  transport::Link peer(
      port.address(), [](transport::Envelope) {}, "127.0.0.1:0");
  waitFor([&] { return a.redials() > 0; }, [&] { peer.send(a.address(), request); });
  port.close();
  std::unique_ptr<transport::Link> b;
  waitFor([&] { return got > 0; },
          [&] {
            try {
              if (!b) b = std::make_unique<transport::Link>(port.address(), [&](transport::Envelope) { ++got; });
            } catch (transport::TransportError const&) {
              return;
            }
            b->send(a.address(), request);
            a.send(b->address(), request);
          });
  a.closeIdle(std::chrono::hours(1));
  CHECK(a.connectionCount() == 1);
  a.closeIdle(std::chrono::milliseconds(0));
  CHECK(a.connectionCount() == 0);
}

TEST_CASE("a connection to an earlier run of a process is dialled again exactly once") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  std::uint64_t got = 0;
  transport::RequestIdQuery const request{1, "x", 2, 0, ""};
  transport::Link a("127.0.0.1:0", [](transport::Envelope) {});
  transport::Link earlierRun("127.0.0.1:0", [&](transport::Envelope) { ++got; });
  waitFor([&] { return got > 20; },
          [&] {
            a.send(earlierRun.address(), request);
            earlierRun.send(a.address(), request);
          });
  CHECK(a.redials() == 0);
  transport::Link laterRun(
      earlierRun.address(), [](transport::Envelope) {}, "127.0.0.1:0");
  waitFor([&] { return a.redials() > 0; }, [&] { laterRun.send(a.address(), request); });
  std::uint64_t const before = got;
  waitFor([&] { return got > before + 50; },
          [&] {
            a.send(earlierRun.address(), request);
            laterRun.send(a.address(), request);
          });
  CHECK(a.redials() == 1);
}

namespace {

/// A proxy on the path to a peer. After interrupt(), connections that were made before it stay open but carry no data,
/// like connections that wait for TCP's retransmission timers after lost packets. Connections made later carry data
/// again.
class InterruptiblePath {
 public:
  explicit InterruptiblePath(std::string const& to) : peer_(QString::fromStdString(to)) {
    REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
  void interrupt() { ++interruptions_; }

 private:
  void accept() {
    QTcpSocket* const near = server_.nextPendingConnection();
    QTcpSocket* const far = new QTcpSocket(near);
    QStringList const parts = peer_.split(':');
    far->connectToHost(parts[0], parts[1].toUShort());
    int const madeAfter = interruptions_;
    QObject::connect(near, &QTcpSocket::readyRead, far, [this, near, far, madeAfter] {
      if (madeAfter == interruptions_) far->write(near->readAll());
    });
    QObject::connect(far, &QTcpSocket::readyRead, near, [this, near, far, madeAfter] {
      if (madeAfter == interruptions_) near->write(far->readAll());
    });
  }

  QString peer_;
  QTcpServer server_;
  int interruptions_ = 0;
};

}  // namespace

TEST_CASE("a dial that hangs is repeated although no message of the peer arrives") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  UnreachablePort const port;
  transport::ServingLeaseRequest const request{};
  transport::Link a("127.0.0.1:0", [](transport::Envelope) {});
  waitFor([&] { return a.redials() >= 2; }, [&] { a.send(port.address(), request); });
}

TEST_CASE("a connection that carries nothing after an interruption is replaced, and the new one carries messages") {
  int argc = 0;
  QCoreApplication app(argc, nullptr);
  int got = 0;
  transport::ServingLeaseRequest const request{};
  transport::Link a("127.0.0.1:0", [](transport::Envelope) {});
  transport::Link b("127.0.0.1:0", [&](transport::Envelope) { ++got; });
  InterruptiblePath path(b.address());
  waitFor([&] { return got > 0; }, [&] { a.send(path.address(), request); });
  path.interrupt();
  int const before = got;
  waitFor([&] { return got > before; }, [&] { a.send(path.address(), request); });
  CHECK(a.redials() == 1);
}
