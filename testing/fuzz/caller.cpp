#include "caller.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <sys/socket.h>

#include <corkward/http/server.h>

#include "clock.h"
#include "socket_reset.h"
#include "wire.h"

namespace corkward::fuzz {

namespace wire = platform::test::wire;
namespace beastHttp = boost::beast::http;
using platform::test::resetSocket;

namespace {

constexpr int slowSendMs = 3;
constexpr std::size_t slowSendSteps = 40;
constexpr int slowReadMs = 2;
constexpr qint64 slowReadBytes = 6000;
constexpr int smallWindow = 4096;
/// Time that a caller waits beyond its stated timeout before it disconnects, in ms.
constexpr int timeoutGraceMs = 1200;

std::string requestText(CallerObservation const& observation) {
  http::HeaderList fields = wire::callerFields();
  fields.emplace_back("host", wire::host);
  fields.emplace_back(wire::attempt, observation.attempt);
  fields.emplace_back(wire::timeLeft, std::to_string(observation.request.callerTimeoutMs));
  fields.emplace_back(ownField, observation.attempt);
  std::string out = "POST " + observation.target + " HTTP/1.1\r\n";
  for (auto const& [name, value] : fields) out += name + ": " + value + "\r\n";
  if (observation.request.expectsContinue) out += "Expect: 100-continue\r\n";
  if (!observation.request.chunkedBody)
    return out + "Content-Length: " + std::to_string(observation.body.size()) + "\r\n\r\n" + observation.body;
  out += "Transfer-Encoding: chunked\r\n\r\n";
  std::size_t const each = std::max<std::size_t>(1, observation.body.size() / 3);
  for (std::size_t at = 0; at < observation.body.size(); at += each) {
    std::string const part = observation.body.substr(at, each);
    out += QByteArray::number(static_cast<qulonglong>(part.size()), 16).toStdString() + "\r\n" + part + "\r\n";
  }
  return out + "0\r\n\r\n";
}

}  // namespace

Caller::Caller(std::string address, Events events)
    : address_(std::move(address)),
      events_(std::move(events)),
      slowReadTimer_(new QTimer(this)),
      slowSendTimer_(new QTimer(this)),
      disconnectTimer_(new QTimer(this)),
      limit_(new QTimer(this)) {
  disconnectTimer_->setSingleShot(true);
  limit_->setSingleShot(true);
  QObject::connect(slowReadTimer_, &QTimer::timeout, this, [this] { readable(); });
  QObject::connect(slowSendTimer_, &QTimer::timeout, this, [this] { sendSlowly(); });
  QObject::connect(disconnectTimer_, &QTimer::timeout, this, [this] { disconnectFromRouter(); });
  QObject::connect(limit_, &QTimer::timeout, this, [this] { onTimeout(); });
}

Caller::~Caller() {
  dropSocket();
}

void Caller::enqueue(std::size_t index) {
  waiting_.push_back(index);
  sendNext();
}

void Caller::sendNext() {
  if (waiting_.empty()) return;
  bool const pipelined = !open_.empty() &&
                         events_.observation(waiting_.front()).request.behaviour == CallerBehaviour::pipeline &&
                         socket_ != nullptr && socket_->state() == QAbstractSocket::ConnectedState &&
                         !lastOnConnection_ && unsentBytes_.empty();
  if (!open_.empty() && !pipelined) return;
  if (socket_ == nullptr) {
    connectNow();
    return;
  }
  if (socket_->state() != QAbstractSocket::ConnectedState) return;
  std::size_t const index = waiting_.front();
  waiting_.pop_front();
  start(index);
  if (!waiting_.empty()) sendNext();
}

void Caller::connectNow() {
  buffer_.clear();
  parser_.reset();
  lastOnConnection_ = false;
  socket_ = new QTcpSocket(this);
  QObject::connect(socket_, &QTcpSocket::connected, this, [this] { sendNext(); });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, this, [this](qint64) { written(); });
  QObject::connect(socket_, &QTcpSocket::readyRead, this, [this] {
    if (!slowReadTimer_->isActive()) readable();
  });
  QObject::connect(socket_, &QTcpSocket::disconnected, this, [this] { ended(); });
  QObject::connect(
      socket_, &QTcpSocket::errorOccurred, this,
      [this](QAbstractSocket::SocketError) {
        if (socket_ != nullptr && socket_->state() == QAbstractSocket::UnconnectedState) ended();
      },
      Qt::QueuedConnection);
  http::SocketAddress const at = http::parseSocketAddress(address_);
  socket_->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
}

void Caller::start(std::size_t index) {
  CallerObservation& observation = events_.observation(index);
  bool const first = open_.empty();
  open_.push_back(index);
  observation.started = true;
  observation.startedAt = programs::now();
  if (first) observation.connectionFreeAt = programs::now();
  std::string const text = requestText(observation);
  CallerBehaviour const behaviour = observation.request.behaviour;
  if (behaviour == CallerBehaviour::slowRead) {
    socket_->setReadBufferSize(slowReadBytes);
    socket_->setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption, smallWindow);
    slowReadTimer_->start(slowReadMs);
  }
  if (behaviour == CallerBehaviour::slowSend || behaviour == CallerBehaviour::leaveSending) {
    unsentBytes_ = text;
    slowSendTimer_->start(slowSendMs);
  } else {
    socket_->write(text.data(), static_cast<qint64>(text.size()));
  }
  if (behaviour == CallerBehaviour::leave || behaviour == CallerBehaviour::leaveByReset ||
      behaviour == CallerBehaviour::leaveSending || behaviour == CallerBehaviour::halfClose)
    disconnectTimer_->start(observation.request.leaveMs);
  if (first) limit_->start(observation.request.callerTimeoutMs + timeoutGraceMs);
}

void Caller::sendSlowly() {
  std::size_t const each = std::max<std::size_t>(1, events_.observation(open_.back()).body.size() / slowSendSteps + 20);
  socket_->write(unsentBytes_.data(), static_cast<qint64>(std::min(each, unsentBytes_.size())));
  unsentBytes_.erase(0, each);
  if (unsentBytes_.empty()) slowSendTimer_->stop();
}

void Caller::written() {
  if (socket_ == nullptr || socket_->bytesToWrite() > 0 || !unsentBytes_.empty()) return;
  for (std::size_t const index : open_) {
    CallerObservation& observation = events_.observation(index);
    if (observation.sentAt == 0) observation.sentAt = programs::now();
  }
}

void Caller::readable() {
  if (socket_ == nullptr || !socket_->isReadable()) return;
  buffer_ += slowReadTimer_->isActive() ? socket_->read(slowReadBytes) : socket_->readAll();
  parse();
}

void Caller::parse() {
  while (!buffer_.isEmpty()) {
    if (open_.empty()) {
      events_.unsolicited(buffer_.left(200).toStdString());
      buffer_.clear();
      return;
    }
    CallerObservation& observation = events_.observation(open_.front());
    if (!parser_) {
      parser_ = std::make_unique<Parser>();
      parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
      parser_->header_limit(1U << 20);
      parser_->eager(true);
    }
    boost::beast::error_code ec;
    std::size_t const used =
        parser_->put(boost::asio::buffer(buffer_.constData(), static_cast<std::size_t>(buffer_.size())), ec);
    buffer_.remove(0, static_cast<qsizetype>(used));
    if (parser_->is_header_done()) {
      if (parser_->get().result_int() < 200) {
        parser_.reset();
        continue;
      }
      if (observation.headAt == 0) observation.headAt = programs::now();
      observation.status = static_cast<int>(parser_->get().result_int());
      lastOnConnection_ = !parser_->get().keep_alive();
      observation.fields.clear();
      for (auto const& f : parser_->get())
        observation.fields.emplace_back(std::string(f.name_string()), std::string(f.value()));
      observation.received = parser_->get().body();
    }
    if (ec && ec != beastHttp::error::need_more) {
      events_.unsolicited("broken framing at " + observation.attempt + ": " + ec.message());
      buffer_.clear();
      return;
    }
    if (!parser_->is_done()) return;
    responded();
  }
}

void Caller::responded() {
  std::size_t const index = open_.front();
  CallerBehaviour const behaviour = events_.observation(index).request.behaviour;
  parser_.reset();
  open_.pop_front();
  if (open_.empty()) {
    slowReadTimer_->stop();
    slowSendTimer_->stop();
    disconnectTimer_->stop();
    limit_->stop();
  } else {
    CallerObservation& next = events_.observation(open_.front());
    next.connectionFreeAt = programs::now();
    limit_->start(next.request.callerTimeoutMs + timeoutGraceMs);
  }
  bool const unsent = !unsentBytes_.empty();
  unsentBytes_.clear();
  finish(index, true);
  if (lastOnConnection_ || unsent || behaviour == CallerBehaviour::halfClose) {
    buffer_.clear();
    ended();
  } else {
    sendNext();
  }
}

void Caller::finish(std::size_t index, bool complete) {
  CallerObservation& observation = events_.observation(index);
  observation.complete = complete;
  observation.endedAt = programs::now();
  events_.ended(index);
}

void Caller::ended() {
  if (socket_ == nullptr) return;
  bool const connected = socket_->state() != QAbstractSocket::UnconnectedState || !open_.empty();
  if (socket_->bytesAvailable() > 0) {
    buffer_ += socket_->readAll();
    slowReadTimer_->stop();
    QTcpSocket* const same = socket_;
    parse();
    if (socket_ != same) return;
  }
  dropSocket();
  failOpenRequests();
  if (!connected && !waiting_.empty()) {
    std::size_t const index = waiting_.front();
    waiting_.pop_front();
    events_.observation(index).unsent = true;
    finish(index, false);
  }
  sendNext();
}

void Caller::failOpenRequests() {
  std::deque<std::size_t> const lost = std::move(open_);
  open_.clear();
  for (std::size_t const index : lost) finish(index, false);
}

void Caller::disconnectFromRouter() {
  if (socket_ == nullptr || open_.empty()) return;
  std::size_t const index = open_.back();
  CallerObservation& observation = events_.observation(index);
  if (observation.request.behaviour == CallerBehaviour::halfClose) {
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    return;
  }
  bool const reset = observation.request.behaviour == CallerBehaviour::leaveByReset;
  core::Milliseconds const now = programs::now();
  for (std::size_t const p : open_) events_.observation(p).disconnectedAt = now;
  if (events_.ignoresDisconnects) {
    socket_->disconnect(this);
    socket_ = nullptr;
    dropSocket();
    failOpenRequests();
    sendNext();
    return;
  }
  if (reset) {
    socket_->disconnect(this);
    resetSocket(*socket_);
  }
  ended();
}

void Caller::onTimeout() {
  if (open_.empty()) return;
  core::Milliseconds const now = programs::now();
  for (std::size_t const p : open_) events_.observation(p).disconnectedAt = now;
  ended();
}

void Caller::dropSocket() {
  for (QTimer* const t : {slowReadTimer_, slowSendTimer_, disconnectTimer_, limit_}) t->stop();
  unsentBytes_.clear();
  parser_.reset();
  if (socket_ == nullptr) return;
  socket_->disconnect(this);
  socket_->abort();
  socket_->deleteLater();
  socket_ = nullptr;
}

}  // namespace corkward::fuzz
