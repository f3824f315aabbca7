// What a link does with peers that misbehave, and its limits. The peers are raw sockets.
#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <ctime>
#include <functional>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/transport/link.h>

#include "../src/frame.h"
#include "../src/message_listener.h"
#include "../src/outgoing_connection.h"

namespace core = corkward::core;
namespace transport = corkward::transport;

namespace {

constexpr int waitLimitMs = 20000;

struct Application {
  int argc = 0;
  QCoreApplication application{argc, nullptr};
};

/// Processes events until the condition holds. Returns false if it does not hold within the time limit.
bool waitUntil(std::function<bool()> const& holds, int limitMs = waitLimitMs) {
  QElapsedTimer elapsed;
  elapsed.start();
  while (!holds() && elapsed.elapsed() < limitMs) QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
  return holds();
}

std::string text(transport::ProtocolHeader const& header) {
  return {header.begin(), header.end()};
}

/// Listens as the pull side of a link does, and keeps what arrives on each connection.
class RawListener {
 public:
  RawListener() {
    REQUIRE(server_.listen(QHostAddress::LocalHost));
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
  std::size_t connectionCount() const { return sockets_.size(); }
  QTcpSocket& socket(std::size_t connection) { return *sockets_.at(connection); }
  /// Bytes that the newest connection has sent.
  QByteArray bytes() { return sockets_.empty() ? QByteArray() : sockets_.back()->peek(1U << 20); }
  /// Header that is sent on each new connection.
  std::string header = text(transport::pullHeader);
  qint64 readBufferBytes = 0;

 private:
  void accept() {
    while (QTcpSocket* const socket = server_.nextPendingConnection()) {
      socket->setReadBufferSize(readBufferBytes);
      socket->write(header.data(), static_cast<qint64>(header.size()));
      sockets_.push_back(socket);
    }
  }
  QTcpServer server_;
  std::vector<QTcpSocket*> sockets_;
};

/// Dials a link as the push side of another link does.
class RawSender {
 public:
  explicit RawSender(std::string const& address) {
    transport::SocketAddress const at = *transport::socketAddressOf(address);
    socket_.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    REQUIRE(waitUntil([this] { return socket_.state() == QAbstractSocket::ConnectedState; }));
  }
  void write(std::string const& bytes) { socket_.write(bytes.data(), static_cast<qint64>(bytes.size())); }
  bool isOpen() const { return socket_.state() == QAbstractSocket::ConnectedState; }
  QByteArray bytes() { return socket_.peek(1U << 20); }
  void abort() { socket_.abort(); }

 private:
  QTcpSocket socket_;
};

std::string envelopeBytes() {
  return transport::pack(transport::Envelope{"127.0.0.1:1", transport::RequestIdQuery{7, "x", 2, 0, ""}});
}

transport::RequestIdQuery const query{7, "x", 2, 0, ""};

}  // namespace

/// Guards against a release that cannot talk to others: a raw peer reads exactly the bytes of earlier releases.
TEST_CASE("a link dials with the push header and sends each envelope behind its length") {
  Application const application;
  transport::Link link("127.0.0.1:0", [](transport::Envelope const&) {});
  RawListener peer;
  link.send(peer.address(), query);
  link.send(peer.address(), query);
  std::size_t const begin = transport::protocolHeaderBytes + transport::lengthBytes;
  REQUIRE(waitUntil([&] { return static_cast<std::size_t>(peer.bytes().size()) > begin; }));
  std::string const bytes = peer.bytes().toStdString();
  CHECK(bytes.substr(0, transport::protocolHeaderBytes) == text(transport::pushHeader));
  std::size_t const length = (bytes.size() - transport::protocolHeaderBytes) / 2 - transport::lengthBytes;
  transport::Envelope const envelope = transport::unpack(bytes.substr(begin, length));
  CHECK(envelope.from == link.address());
  CHECK(std::get<transport::RequestIdQuery>(envelope.message).token == 7);
  std::string const frame = transport::frameOf(bytes.substr(begin, length));
  CHECK(bytes.substr(transport::protocolHeaderBytes) == frame + frame);
}

TEST_CASE("a link answers a dial with the pull header and takes frames in any pieces") {
  Application const application;
  int received = 0;
  transport::Link link("127.0.0.1:0", [&](transport::Envelope const& envelope) {
    CHECK(envelope.from == "127.0.0.1:1");
    ++received;
  });
  RawSender sender(link.address());
  REQUIRE(waitUntil([&] { return sender.bytes().size() == transport::protocolHeaderBytes; }));
  CHECK(sender.bytes().toStdString() == text(transport::pullHeader));
  std::string const bytes = text(transport::pushHeader) + transport::frameOf(envelopeBytes());
  for (char const byte : bytes) {
    sender.write({byte});
    QCoreApplication::processEvents();
  }
  CHECK(waitUntil([&] { return received == 1; }));
  sender.write(transport::frameOf("no envelope") + transport::frameOf(envelopeBytes()));
  CHECK(waitUntil([&] { return received == 2; }));
  CHECK(link.malformedFrames() == 1);
  CHECK(sender.isOpen());
}

TEST_CASE("bytes of another protocol and frames beyond the limit end their connection alone") {
  Application const application;
  int received = 0;
  transport::Link link("127.0.0.1:0", [&](transport::Envelope const&) { ++received; });
  RawSender http(link.address());
  RawSender tooLong(link.address());
  RawSender reset(link.address());
  RawSender good(link.address());
  http.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
  tooLong.write(text(transport::pushHeader) + std::string(8, '\x7f'));
  reset.write(text(transport::pushHeader) + transport::frameOf(envelopeBytes()).substr(0, 11));
  good.write(text(transport::pushHeader) + transport::frameOf(envelopeBytes()));
  CHECK(waitUntil([&] { return !http.isOpen() && !tooLong.isOpen() && received == 1; }));
  CHECK(link.malformedFrames() == 2);
  reset.abort();
  CHECK(waitUntil([&] { return link.incomingCount() == 1; }));
  good.write(transport::frameOf(envelopeBytes()));
  CHECK(waitUntil([&] { return received == 2; }));
}

TEST_CASE("long messages arrive whole and in order, one after the other and among short ones") {
  Application const application;
  std::vector<std::size_t> lengths;
  transport::Link receiver("127.0.0.1:0", [&](transport::Envelope const& envelope) {
    lengths.push_back(std::get<transport::RequestIdQuery>(envelope.message).id.size());
  });
  transport::Link sender("127.0.0.1:0", [](transport::Envelope const&) {});
  std::vector<std::size_t> const expected{1, 3U << 20, 70000, 1, 9U << 20, 65536, 2};
  for (std::size_t const length : expected)
    sender.send(receiver.address(), transport::RequestIdQuery{7, std::string(length, 'x'), 2, 0, ""});
  CHECK(waitUntil([&] { return lengths.size() == expected.size(); }));
  CHECK(lengths == expected);
}

// Guards against a receive buffer that shrinks below half of its former size: senders then keep back what does not fit
// until their timer for closed windows ends, which takes 200 ms or more.
TEST_CASE("long messages that follow each other on a connection do not wait for a timer of their sender") {
  Application const application;
  int received = 0;
  transport::Link receiver("127.0.0.1:0", [&](transport::Envelope const&) { ++received; });
  transport::Link sender("127.0.0.1:0", [](transport::Envelope const&) {});
  constexpr int rounds = 4;
  constexpr qint64 senderTimerMs = 200;
  int sent = 0;
  for (std::size_t const length : {300000U, 20000U, 70000U, 30000U, 1000000U}) {
    qint64 fastestMs = INT64_MAX;
    for (int i = 0; i < rounds; ++i) {
      QElapsedTimer elapsed;
      elapsed.start();
      sender.send(receiver.address(), transport::RequestIdQuery{7, std::string(length, 'x'), 2, 0, ""});
      ++sent;
      REQUIRE(waitUntil([&] { return received == sent; }));
      fastestMs = std::min(fastestMs, elapsed.elapsed());
    }
    CAPTURE(length);
    CHECK(fastestMs < senderTimerMs);
  }
}

TEST_CASE("an address in use is reported as busy") {
  Application const application;
  transport::Link const link("127.0.0.1:0", [](transport::Envelope const&) {});
  CHECK_THROWS_AS(transport::Link(link.address(), [](transport::Envelope const&) {}), core::ResourceBusyError);
  CHECK_THROWS_AS(transport::Link("203.0.113.1:1", [](transport::Envelope const&) {}), transport::TransportError);
  CHECK_THROWS_AS(transport::Link("no address", [](transport::Envelope const&) {}), transport::TransportError);
}

TEST_CASE("a message to a text that is no address is dropped") {
  Application const application;
  transport::Link link("127.0.0.1:0", [](transport::Envelope const&) {});
  for (char const* const text : {"", "x", "night.example:80", "127.0.0.1:99999"}) link.send(text, query);
  CHECK(link.connectionCount() == 0);
}

TEST_CASE("a peer that does not read bounds its queue and blocks no other peer") {
  Application const application;
  RawListener stuck;
  stuck.readBufferBytes = 1;
  transport::OutgoingConnection connection(*transport::socketAddressOf(stuck.address()));
  REQUIRE(waitUntil([&] { return connection.connected(); }));
  std::string const frame = transport::frameOf(std::string(1U << 20, 'x'));
  std::size_t accepted = 0;
  for (int i = 0; i < 200; ++i) accepted += connection.send(frame) ? 1 : 0;
  // What the operating system buffers, one frame that is being written, and the queue.
  CHECK(accepted < 60);
  CHECK(accepted >= transport::OutgoingConnection::maxQueuedBytes / frame.size());
  CHECK(connection.connected());

  int received = 0;
  transport::Link other("127.0.0.1:0", [&](transport::Envelope const&) { ++received; });
  transport::Link link("127.0.0.1:0", [](transport::Envelope const&) {});
  for (int i = 0; i < 1000; ++i) link.send(stuck.address(), query);
  link.send(other.address(), query);
  CHECK(waitUntil([&] { return received == 1; }));
}

TEST_CASE("at most the limit of messages is queued while a dial hangs or fails, and they arrive in order later") {
  Application const application;
  QTcpServer reserved;
  REQUIRE(reserved.listen(QHostAddress::LocalHost));
  std::string const address = "127.0.0.1:" + std::to_string(reserved.serverPort());
  reserved.close();
  transport::OutgoingConnection connection(*transport::socketAddressOf(address));
  std::size_t accepted = 0;
  for (std::size_t i = 0; i < 300; ++i) accepted += connection.send(transport::frameOf(std::to_string(i))) ? 1 : 0;
  CHECK(accepted == transport::OutgoingConnection::maxQueuedMessages);
  std::vector<std::string> messages;
  transport::MessageListener::Events events;
  events.message = [&](std::uint32_t, std::string_view message) { messages.emplace_back(message); };
  events.invalidBytes = [] {};
  transport::MessageListener const listener(*transport::socketAddressOf(address), 16, events);
  REQUIRE(waitUntil([&] { return messages.size() == accepted; }));
  for (std::size_t i = 0; i < messages.size(); ++i) CHECK(messages[i] == std::to_string(i));
}

TEST_CASE("a peer that refuses or closes at once is dialled after growing pauses") {
  Application const application;
  RawListener closing;
  transport::OutgoingConnection connection(*transport::socketAddressOf(closing.address()));
  QElapsedTimer elapsed;
  elapsed.start();
  std::size_t closed = 0;
  while (elapsed.elapsed() < 3000) {
    connection.send(transport::frameOf("x"));
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 1);
    for (; closed < closing.connectionCount(); ++closed) closing.socket(closed).abort();
  }
  // Pauses of 25 to 50, 50 to 100, 100 to 200, 200 to 400 and then 250 to 500 ms.
  CHECK(closing.connectionCount() >= 5);
  CHECK(closing.connectionCount() <= 17);
}

TEST_CASE("what listens but speaks another protocol is never counted as connected") {
  Application const application;
  RawListener other;
  other.header = "HTTP/1.1 400 Bad Request\r\n\r\n";
  RawListener silent;
  silent.header = "";
  transport::OutgoingConnection toOther(*transport::socketAddressOf(other.address()));
  transport::OutgoingConnection toSilent(*transport::socketAddressOf(silent.address()));
  toOther.send(transport::frameOf("x"));
  toSilent.send(transport::frameOf("x"));
  CHECK(waitUntil([&] { return other.connectionCount() >= 3 && silent.connectionCount() == 1; }));
  CHECK(toOther.connects() == 0);
  CHECK_FALSE(toSilent.connected());
}

TEST_CASE("beyond the limit of connections the one that was silent for longest is closed") {
  Application const application;
  int received = 0;
  transport::MessageListener::Events events;
  events.message = [&](std::uint32_t, std::string_view) { ++received; };
  events.invalidBytes = [] {};
  transport::MessageListener listener({"127.0.0.1", 0}, 3, events);
  std::string const address = "127.0.0.1:" + std::to_string(listener.serverPort());
  std::vector<std::unique_ptr<RawSender>> senders;
  auto const add = [&](std::size_t expected) {
    senders.push_back(std::make_unique<RawSender>(address));
    senders.back()->write(text(transport::pushHeader) + transport::frameOf("x"));
    return waitUntil([&] { return received == static_cast<int>(expected); });
  };
  for (std::size_t i = 1; i <= 3; ++i) REQUIRE(add(i));
  senders[0]->write(transport::frameOf("x"));
  REQUIRE(waitUntil([&] { return received == 4; }));
  REQUIRE(add(5));
  CHECK(waitUntil([&] { return !senders[1]->isOpen(); }));
  CHECK(senders[0]->isOpen());
  CHECK(senders[2]->isOpen());
  CHECK(listener.connectionCount() == 3);
}

// Guards against a turn of the event loop that takes as long as peers go on dialling.
TEST_CASE("connections that arrive at once are accepted in several turns of the event loop") {
  Application const application;
  transport::MessageListener::Events events;
  events.message = [](std::uint32_t, std::string_view) {};
  events.invalidBytes = [] {};
  transport::MessageListener listener({"127.0.0.1", 0}, 256, events);
  constexpr std::size_t count = 100;
  constexpr std::size_t mostInTurn = 20;
  std::vector<std::unique_ptr<QTcpSocket>> peers;
  for (std::size_t i = 0; i < count; ++i) {
    peers.push_back(std::make_unique<QTcpSocket>());
    peers.back()->connectToHost(QHostAddress(QHostAddress::LocalHost), listener.serverPort());
    REQUIRE(peers.back()->waitForConnected());
  }
  std::size_t turns = 0;
  std::size_t most = 0;
  QElapsedTimer elapsed;
  elapsed.start();
  while (listener.connectionCount() < count && elapsed.elapsed() < waitLimitMs) {
    std::size_t const before = listener.connectionCount();
    QCoreApplication::processEvents();
    most = std::max(most, listener.connectionCount() - before);
    ++turns;
  }
  CHECK(listener.connectionCount() == count);
  CHECK(most <= mostInTurn);
  CHECK(turns >= count / mostInTurn);
}

TEST_CASE("incomplete messages give way when memory is asked for, the longest first") {
  Application const application;
  auto const account = std::make_shared<core::MemoryAccount>(64U << 20);
  transport::MessageListener::Events events;
  events.message = [](std::uint32_t, std::string_view) {};
  events.invalidBytes = [] {};
  transport::MessageListener listener({"127.0.0.1", 0}, 16, events, nullptr, account);
  std::string const address = "127.0.0.1:" + std::to_string(listener.serverPort());
  RawSender idle(address);
  RawSender shorter(address);
  RawSender longer(address);
  constexpr std::size_t shortBytes = 1U << 20;
  constexpr std::size_t longBytes = 4U << 20;
  idle.write(text(transport::pushHeader) + transport::frameOf("x"));
  shorter.write(text(transport::pushHeader) +
                transport::frameOf(std::string(shortBytes + 1, 'x')).substr(0, shortBytes));
  longer.write(text(transport::pushHeader) + transport::frameOf(std::string(longBytes + 1, 'x')).substr(0, longBytes));
  REQUIRE(waitUntil([&] { return account->used() >= shortBytes + longBytes; }));
  account->setLimit(account->used());
  CHECK(account->reclaim(longBytes, core::HoldingSize::tiny));
  CHECK(waitUntil([&] { return !longer.isOpen(); }));
  CHECK(shorter.isOpen());
  CHECK(account->reclaim(longBytes + shortBytes, core::HoldingSize::tiny));
  CHECK(waitUntil([&] { return !shorter.isOpen(); }));
  CHECK(idle.isOpen());
}

TEST_CASE("connections without a header, in the middle of a message or silent for long are closed") {
  Application const application;
  int received = 0;
  transport::MessageListener::Events events;
  events.message = [&](std::uint32_t, std::string_view) { ++received; };
  events.invalidBytes = [] {};
  transport::MessageListener listener({"127.0.0.1", 0}, 16, events);
  std::string const address = "127.0.0.1:" + std::to_string(listener.serverPort());
  RawSender silent(address);
  RawSender cut(address);
  RawSender idle(address);
  cut.write(text(transport::pushHeader) + transport::frameOf("hello").substr(0, 10));
  idle.write(text(transport::pushHeader) + transport::frameOf("x"));
  REQUIRE(waitUntil([&] { return received == 1 && listener.connectionCount() == 3; }));
  auto const now = std::chrono::steady_clock::now();
  using std::chrono::milliseconds;
  listener.closeSilent(now + transport::MessageListener::incompleteTimeout - milliseconds(5000));
  CHECK(listener.connectionCount() == 3);
  listener.closeSilent(now + transport::MessageListener::incompleteTimeout + milliseconds(1000));
  CHECK(listener.connectionCount() == 1);
  CHECK(waitUntil([&] { return !silent.isOpen() && !cut.isOpen() && idle.isOpen(); }));
  listener.closeSilent(now + transport::MessageListener::silenceTimeout + milliseconds(1000));
  CHECK(listener.connectionCount() == 0);
}

/// Guards against a link that stops to accept or to dial for good after the process had no file descriptor left.
TEST_CASE("a link goes on after the file descriptors were used up") {
  Application const application;
  int received = 0;
  transport::Link link("127.0.0.1:0", [&](transport::Envelope const&) { ++received; });
  transport::Link peer("127.0.0.1:0", [&](transport::Envelope const&) { ++received; });
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  rlimit const low{128, limit.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::vector<int> held;
  for (int descriptor = ::dup(0); descriptor >= 0; descriptor = ::dup(0)) held.push_back(descriptor);
  for (int i = 0; i < 50; ++i) {
    link.send(peer.address(), query);
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
  }
  CHECK(received == 0);
  // One descriptor for the dialled end alone: the listening end cannot be accepted.
  ::close(held.back());
  held.pop_back();
  waitUntil([&] { return false; }, 500);
  for (int const descriptor : held) ::close(descriptor);
  CHECK(waitUntil([&] {
    link.send(peer.address(), query);
    return received > 0;
  }));
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
}

/// Guards against a listener that tries again and again, without a pause, to accept a connection for which it has no
/// descriptor, if it has accepted others before.
TEST_CASE("a listener that has accepted connections does not spin while its descriptors are used up") {
  Application const application;
  int received = 0;
  transport::MessageListener::Events events;
  events.message = [&](transport::MessageListener::ConnectionId, std::string_view) { ++received; };
  events.invalidBytes = [] {};
  transport::MessageListener listener(*transport::socketAddressOf("127.0.0.1:0"), 16, events);
  QTcpSocket before;
  before.connectToHost(QHostAddress(QHostAddress::LocalHost), listener.serverPort());
  before.write(text(transport::pushHeader).c_str(), static_cast<qint64>(transport::pushHeader.size()));
  REQUIRE(waitUntil([&] { return listener.connectionCount() == 1 && before.bytesAvailable() > 0; }));
  QTcpSocket waiting;
  waiting.bind(QHostAddress(QHostAddress::LocalHost), 0);
  rlimit limit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  int const lowestFree = ::dup(STDERR_FILENO);
  ::close(lowestFree);
  rlimit const exhausted{static_cast<rlim_t>(lowestFree), limit.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &exhausted) == 0);
  waiting.connectToHost(QHostAddress(QHostAddress::LocalHost), listener.serverPort());
  waitUntil([&] { return waiting.state() == QAbstractSocket::ConnectedState; });
  constexpr int exhaustedMs = 500;
  // Processor time in microseconds of a process that takes half a core for that long.
  constexpr std::clock_t maxProcessorTime = exhaustedMs * 500;
  std::clock_t const began = std::clock();
  bool isOver = false;
  QTimer::singleShot(exhaustedMs, [&isOver] { isOver = true; });
  // Sleeps between events, which waitUntil() does not.
  while (!isOver) QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  std::clock_t const taken = std::clock() - began;
  std::uint64_t const failed = listener.failedAccepts();
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(waiting.state() == QAbstractSocket::ConnectedState);
  CHECK(taken < maxProcessorTime);
  CHECK(failed > 0);
  CHECK(failed <= 10);
  CHECK(waitUntil([&] { return listener.connectionCount() == 2; }));
}
