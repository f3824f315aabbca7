#include <corkward/http/upstream_connection.h>

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <utility>

#include <corkward/core/http_method.h>
#include <corkward/core/http_status.h>
#include <corkward/http/socket_address.h>
#include <corkward/http/upstream_pool.h>

#include "close_observer.h"
#include "message_text.h"
#include "request_head.h"
#include "response_parser.h"
#include "socket_peek.h"

namespace corkward::http {

namespace {

/// Bytes of a response that are read before other connections have a turn.
constexpr qint64 readBufferBytes = 16 << 10;
/// Size of the operating system's receive buffer of a connection that is not read, which would grow otherwise.
constexpr int pausedKernelBufferBytes = 64 << 10;
/// Bytes of a request's body that wait in the socket's write buffer at most.
constexpr std::size_t bodySliceBytes = 64U << 10;
/// After release(), the connection is closed if the rest of the response, with its framing, is longer than this.
constexpr std::size_t maxDiscardedBytes = 16U << 10;
/// After release(), the connection is closed if the rest of the response takes longer than this, in milliseconds.
constexpr int discardTimeoutMs = 500;
/// Path and header field with which a replica reports its incarnation. Both keep the names of earlier releases.
constexpr char const* incarnationPath = "/corkward/life";
constexpr char const* incarnationHeader = "corkward-life";
/// Longest request body after which a connection is reused. A replica may respond before it has read a long body. The
/// rest of that body may then still be in the operating system's buffers, which this process cannot inspect, and the
/// next request on the connection would wait unread behind it.
constexpr std::size_t maxReusableBodyBytes = 64U << 10;

/// Whether the parser cannot go on after this outcome.
bool isFailure(ResponseParser::Outcome outcome) {
  return outcome == ResponseParser::Outcome::failed || outcome == ResponseParser::Outcome::framingTooLong;
}

/// Returns how the body ended after the parser's last outcome, which is a complete response or a failure.
core::BodyEnd bodyEndAfter(ResponseParser::Outcome outcome) {
  return isFailure(outcome) ? core::BodyEnd::incomplete : core::BodyEnd::framed;
}

/// Whether the connection is established, has no bytes to read and was not closed by the peer.
bool isOpenAndIdle(QTcpSocket const& socket) {
  return socket.state() == QAbstractSocket::ConnectedState && socket.bytesAvailable() == 0 &&
         peek(socket) == PeekResult::noData;
}

}  // namespace

struct UpstreamConnection::State {
  enum class Phase {
    connecting,
    /// The request for the replica's incarnation was sent.
    verifying,
    /// The connection is established, and the request was not sent yet.
    connected,
    /// The request was sent.
    sent,
    /// The connection has ended. Only an event that is already queued may still be delivered.
    finished,
  };

  Phase phase = Phase::connecting;
  /// Null for a connection that was opened without a pool, or if the pool was destroyed.
  QPointer<UpstreamPool> pool;
  /// Bytes that were read from the socket and not parsed yet.
  QByteArray buffer;
  ResponseParser parser;
  CloseObserver closeObserver;
  /// Milliseconds after which the replica closes the connection if it is idle, as announced by its Keep-Alive header.
  core::Milliseconds keepAliveTimeout = ResponseParser::noTimeout;
  /// Incarnation that the replica must report. Empty if any incarnation is accepted.
  std::string incarnation;
  /// The socket was taken from the pool's idle connections.
  bool reused = false;
  /// See ReusedSocket::mayBeStale.
  bool mayBeStale = false;
  bool outOfDescriptors = false;
  /// The request's body was longer than maxReusableBodyBytes.
  bool hadLongBody = false;
  bool paused = false;
  /// release() was called: the rest of the response is discarded, and no event is delivered.
  bool released = false;
  /// close() was called: no event is delivered.
  bool closed = false;
  /// Bytes that were read after release().
  std::size_t discardedBytes = 0;
  /// Body of the request, and the number of its bytes that were written. Null once it is written completely, or is no
  /// longer to be written.
  std::shared_ptr<std::string const> body;
  std::size_t bodyWritten = 0;

  bool isFinished() const { return phase == Phase::finished; }
  /// Counts a response that was given up at a limit.
  void countLimit(ResponseParser::Outcome outcome) {
    if (outcome == ResponseParser::Outcome::framingTooLong && pool) pool->countFramingTooLong();
  }
  bool poolKeepsConnections() const { return pool && pool->policy().maxIdlePerReplica > 0; }
};

UpstreamConnection::UpstreamConnection(std::string const& address, Events events, QObject* parent)
    : UpstreamConnection(address, std::move(events), parent, nullptr, {}) {}

UpstreamConnection::UpstreamConnection(std::string const& address, std::string incarnation, Events events,
                                       QObject* parent)
    : UpstreamConnection(address, std::move(events), parent) {
  state_->incarnation = std::move(incarnation);
}

UpstreamConnection::UpstreamConnection(std::string const& address, Events events, QObject* parent, UpstreamPool* pool,
                                       ReusedSocket reused)
    : QObject(parent),
      events_(std::move(events)),
      address_(address),
      socket_(reused.socket),
      state_(std::make_unique<State>()) {
  state_->pool = pool;
  state_->reused = socket_ != nullptr;
  state_->mayBeStale = reused.mayBeStale;
  if (!state_->reused) {
    open();
    return;
  }
  socket_->setParent(this);
  watchSocket();
  QMetaObject::invokeMethod(
      this, [this] { onSocketReady(); }, Qt::QueuedConnection);
}

UpstreamConnection::~UpstreamConnection() {
  if (socket_ == nullptr) return;
  socket_->disconnect(this);
  socket_->abort();
}

void UpstreamConnection::open() {
  state_->reused = false;
  if (!socketAddressOf(address_)) {
    failConnect();
    return;
  }
  if (state_->pool) state_->pool->countOpened();
  socket_ = new QTcpSocket(this);
  socket_->setReadBufferSize(readBufferBytes);
  watchSocket();
  QObject::connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QMetaObject::invokeMethod(
        this, [this] { onSocketReady(); }, Qt::QueuedConnection);
  });
  connectSocket(*socket_, address_);
}

void UpstreamConnection::watchSocket() {
  QObject::connect(socket_, &QTcpSocket::readyRead, this, [this] { onReadyRead(); });
  QObject::connect(socket_, &QTcpSocket::disconnected, this, [this] { onDisconnected(); });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, this, [this] { writeBodySlice(); });
  QObject::connect(socket_, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError error) {
    state_->outOfDescriptors = error == QAbstractSocket::SocketResourceError;
    if (!state_->reused && state_->phase == State::Phase::connecting) failConnect();
  });
}

void UpstreamConnection::onReadyRead() {
  if (state_->phase == State::Phase::verifying)
    readIncarnation();
  else
    readResponse();
}

void UpstreamConnection::onDisconnected() {
  switch (state_->phase) {
    case State::Phase::verifying:
    case State::Phase::connected:
      failConnect();
      break;
    case State::Phase::sent:
      if (!state_->paused) readToEnd();
      break;
    case State::Phase::connecting:
    case State::Phase::finished:
      break;
  }
}

void UpstreamConnection::onSocketReady() {
  if (state_->phase != State::Phase::connecting) return;
  if (!isOpenAndIdle(*socket_)) {
    if (!state_->reused) {
      failConnect();
      return;
    }
    // The reused connection has ended or received bytes meanwhile. The other idle connections to this replica may have
    // ended as well, so all of them are closed and a new connection is opened.
    socket_->disconnect(this);
    socket_->abort();
    socket_->deleteLater();
    if (state_->pool) state_->pool->closeIdle(address_);
    open();
    return;
  }
  if (!state_->incarnation.empty()) {
    requestIncarnation();
    return;
  }
  if (state_->reused && state_->pool) state_->pool->countReused();
  establish();
}

void UpstreamConnection::establish() {
  state_->phase = State::Phase::connected;
  events_.connected();
}

void UpstreamConnection::requestIncarnation() {
  state_->phase = State::Phase::verifying;
  state_->parser.begin(false);
  ReplicaRequest const request{std::string(core::name(core::HttpMethod::get)), incarnationPath};
  write(*socket_, requestHead(request, RequestFraming{address_, 0, true}));
}

void UpstreamConnection::readIncarnation() {
  using Outcome = ResponseParser::Outcome;
  state_->buffer += socket_->readAll();
  ResponseParser& parser = state_->parser;
  std::string body;
  Outcome const outcome = parser.parse(state_->buffer, body);
  if (outcome == Outcome::progress || outcome == Outcome::needsMoreBytes) return;
  bool const confirmed = outcome == Outcome::headComplete && parser.head().status == core::code(core::HttpStatus::ok) &&
                         parser.keepsConnection() && parser.contentLength() == 0U && state_->buffer.isEmpty() &&
                         parser.header(incarnationHeader) == state_->incarnation;
  if (confirmed)
    establish();
  else
    failConnect();
}

void UpstreamConnection::failConnect() {
  if (state_->isFinished()) return;
  state_->phase = State::Phase::finished;
  if (state_->pool) state_->pool->closeIdle(address_);
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (!state_->closed) events_.connectFailed();
      },
      Qt::QueuedConnection);
}

void UpstreamConnection::send(ReplicaRequest const& request, std::string const& body) {
  send(request, std::make_shared<std::string const>(body));
}

void UpstreamConnection::send(ReplicaRequest const& request, std::shared_ptr<std::string const> body) {
  if (state_->phase != State::Phase::connected) return;
  if (!isOpenAndIdle(*socket_)) {
    failConnect();
    return;
  }
  RequestFraming const framing{address_, body->size(), state_->poolKeepsConnections()};
  state_->parser.begin(request.method == core::name(core::HttpMethod::head));
  state_->phase = State::Phase::sent;
  state_->hadLongBody = body->size() > maxReusableBodyBytes;
  write(*socket_, requestHead(request, framing));
  if (body->empty()) return;
  state_->body = std::move(body);
  writeBodySlice();
}

void UpstreamConnection::writeBodySlice() {
  if (!state_->body || socket_ == nullptr) return;
  std::string const& body = *state_->body;
  while (state_->bodyWritten < body.size() && socket_->bytesToWrite() < static_cast<qint64>(bodySliceBytes)) {
    std::size_t const length = std::min(bodySliceBytes, body.size() - state_->bodyWritten);
    socket_->write(body.data() + state_->bodyWritten, static_cast<qint64>(length));
    state_->bodyWritten += length;
  }
  if (state_->bodyWritten == body.size()) state_->body.reset();
}

void UpstreamConnection::setPaused(bool paused) {
  if (state_->paused == paused) return;
  state_->paused = paused;
  if (paused && socket_ != nullptr)
    socket_->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, pausedKernelBufferBytes);
  if (paused || state_->isFinished()) return;
  QMetaObject::invokeMethod(
      this,
      [this] {
        QPointer<UpstreamConnection> const alive(this);
        if (state_->paused || state_->isFinished() || socket_ == nullptr) return;
        onReadyRead();
        if (!alive || state_->paused || socket_ == nullptr) return;
        if (socket_->state() == QAbstractSocket::UnconnectedState) readToEnd();
      },
      Qt::QueuedConnection);
}

bool UpstreamConnection::outOfDescriptors() const {
  return state_->outOfDescriptors;
}

bool UpstreamConnection::isStale() const {
  return state_->reused && state_->mayBeStale && !state_->parser.hasHead();
}

void UpstreamConnection::close() {
  state_->body.reset();
  state_->phase = State::Phase::finished;
  state_->closed = true;
  state_->closeObserver.stop();
  if (socket_ == nullptr) return;
  socket_->disconnect(this);
  socket_->abort();
}

void UpstreamConnection::release() {
  bool const reusable = !state_->body && !state_->isFinished() && socket_ != nullptr &&
                        state_->poolKeepsConnections() && state_->parser.hasHead();
  if (!reusable) {
    close();
    deleteLater();
    return;
  }
  state_->released = true;
  state_->paused = false;
  setParent(state_->pool);
  QTimer::singleShot(discardTimeoutMs, this, [this] {
    close();
    deleteLater();
  });
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (!state_->isFinished()) readResponse();
      },
      Qt::QueuedConnection);
}

void UpstreamConnection::readToEnd() {
  QPointer<UpstreamConnection> const alive(this);
  readResponse();
  if (!alive || state_->isFinished() || state_->paused) return;
  bool const closed = state_->buffer.isEmpty() && state_->closeObserver.closedWithoutReset();
  finish(closed ? core::BodyEnd::connectionClosed : core::BodyEnd::incomplete);
}

void UpstreamConnection::finish(core::BodyEnd end) {
  if (state_->isFinished()) return;
  state_->phase = State::Phase::finished;
  state_->body.reset();
  if (end == core::BodyEnd::framed)
    returnToPool();
  else if (end == core::BodyEnd::incomplete && state_->pool)
    state_->pool->closeIdle(address_);
  if (state_->released)
    deleteLater();
  else
    events_.ended(end);
}

void UpstreamConnection::returnToPool() {
  bool const reusable = state_->poolKeepsConnections() && !state_->hadLongBody && state_->parser.keepsConnection() &&
                        state_->buffer.isEmpty() && socket_->bytesToWrite() == 0 && isOpenAndIdle(*socket_);
  if (!reusable) return;
  QTcpSocket* const socket = std::exchange(socket_, nullptr);
  socket->disconnect(this);
  state_->pool->put(address_, socket, state_->keepAliveTimeout);
}

void UpstreamConnection::deliver(std::string& bytes) {
  if (bytes.empty()) return;
  std::string chunk = std::exchange(bytes, {});
  if (!state_->released) events_.chunk(std::move(chunk));
}

bool UpstreamConnection::readMore() {
  QByteArray const more = socket_->read(readBufferBytes);
  if (state_->buffer.isEmpty())
    state_->buffer = more;
  else
    state_->buffer += more;
  if (state_->released) state_->discardedBytes += static_cast<std::size_t>(more.size());
  return !more.isEmpty();
}

bool UpstreamConnection::onHead() {
  if (state_->parser.isUnusable()) {
    finish(core::BodyEnd::incomplete);
    return false;
  }
  state_->keepAliveTimeout = state_->parser.keepAliveTimeout();
  bool const closeMayEndBody = state_->pool && state_->pool->policy().closeMayEndBody;
  if (closeMayEndBody && state_->parser.bodyEndsWithConnection()) state_->closeObserver.observe(*socket_);
  QPointer<UpstreamConnection> const alive(this);
  ReplicaHead head = state_->parser.head();
  state_->parser.dropFields();
  events_.head(std::move(head));
  return alive && !state_->isFinished();
}

void UpstreamConnection::readResponse() {
  using Outcome = ResponseParser::Outcome;
  if (state_->phase != State::Phase::sent) return;
  QPointer<UpstreamConnection> const alive(this);
  // Bytes of the body that were parsed and not delivered yet.
  std::string body;
  while (alive && !state_->isFinished() && !state_->paused) {
    if (state_->buffer.isEmpty() && !readMore()) {
      deliver(body);
      return;
    }
    if (state_->discardedBytes > maxDiscardedBytes) {
      finish(core::BodyEnd::incomplete);
      return;
    }
    Outcome const outcome = state_->parser.parse(state_->buffer, body);
    bool const ends = isFailure(outcome) || state_->parser.isComplete();
    if (outcome == Outcome::interimResponse) continue;
    if (outcome == Outcome::headComplete && !onHead()) return;
    if (ends) {
      deliver(body);
      if (!alive) return;
      state_->countLimit(outcome);
      finish(bodyEndAfter(outcome));
      return;
    }
    if (outcome == Outcome::needsMoreBytes && !readMore()) {
      deliver(body);
      return;
    }
    if (body.size() >= static_cast<std::size_t>(readBufferBytes)) deliver(body);
  }
}

}  // namespace corkward::http
