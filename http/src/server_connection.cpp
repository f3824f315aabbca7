#include "server_connection.h"

#include <sys/socket.h>
#include <utility>

#include <corkward/core/guarantees.h>

#include "message_text.h"
#include "socket_peek.h"

namespace corkward::http {

namespace {

constexpr qint64 readBufferBytes = 64 << 10;
/// Milliseconds that a connection which is to be closed stays open, so that the caller can close it first.
constexpr int lingerTimeoutMs = 1000;
constexpr char const* continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char const* overloadRetrySeconds = "1";

}  // namespace

ServerConnection::ServerConnection(QTcpSocket* socket, std::size_t listener, ConnectionHost& host, QObject* context)
    : socket_(socket),
      listener_(listener),
      host_(host),
      context_(context),
      timer_(new QTimer(socket)),
      writer_(*socket) {
  socket_->setParent(context_);
  socket_->setReadBufferSize(readBufferBytes);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  timer_->setSingleShot(true);
}

void ServerConnection::start() {
  std::weak_ptr<ServerConnection> const weak = weak_from_this();
  QObject::connect(timer_, &QTimer::timeout, context_, [weak] {
    if (auto const connection = weak.lock()) connection->onTimeout();
  });
  QObject::connect(socket_, &QTcpSocket::readyRead, context_, [weak] {
    if (auto const connection = weak.lock()) connection->readRequests();
  });
  QObject::connect(socket_, &QTcpSocket::disconnected, context_, [weak] {
    if (auto const connection = weak.lock()) connection->close();
  });
  QObject::connect(socket_, &QTcpSocket::bytesWritten, context_, [weak](qint64) {
    if (auto const connection = weak.lock()) connection->onBytesWritten();
  });
  timer_->start(host_.limits().headTimeoutMs);
}

void ServerConnection::onTimeout() {
  if (hasRequest()) return;
  bool const callerReads = wroteBytes_ && hasBufferedBytes();
  wroteBytes_ = false;
  if (callerReads)
    timer_->start(host_.limits().idleTimeoutMs);
  else
    close();
}

void ServerConnection::onBytesWritten() {
  wroteBytes_ = true;
  if (state_ == State::lingering) linger();
  if (hasRequest() && responseBegun_) host_.onWritable(requestId_);
}

void ServerConnection::readRequests() {
  if (state_ == State::closed || hasRequest()) return;
  if (state_ != State::open) {
    socket_->readAll();
    return;
  }
  buffer_ += socket_->readAll();
  while (!buffer_.isEmpty() && !hasRequest() && state_ == State::open) {
    if (!parser_.inProgress()) {
      parser_.begin(host_.limits());
      timer_->start(host_.limits().headTimeoutMs);
    }
    ParseResult result = parser_.parse(buffer_);
    if (result.expectsContinue) write(*socket_, continueResponse);
    if (!parser_.inProgress()) timer_->stop();
    if (auto const* const error = std::get_if<RequestError>(&result.outcome)) {
      rejectMalformed(error->status, error->reason);
      return;
    }
    auto* const parsed = std::get_if<ParsedRequest>(&result.outcome);
    if (parsed == nullptr) return;
    accept(std::move(*parsed));
  }
}

void ServerConnection::accept(ParsedRequest&& parsed) {
  keepAlive_ = parsed.keepAlive;
  hadRequest_ = true;
  responseBegun_ = false;
  writer_.reset(parsed.isHead);
  requestId_ = host_.addRequest(shared_from_this());
  Request request = std::move(parsed.request);
  request.id = requestId_;
  request.listener = listener_;
  host_.dispatch(std::move(request));
}

void ServerConnection::rejectMalformed(core::HttpStatus status, std::string const& reason) {
  host_.onMalformed();
  std::string const body = "{\"error\":\"malformed\",\"reason\":\"" + reason + "\"}";
  HeaderList headers = host_.limits().errorHeaders;
  headers.emplace_back("Content-Type", "application/json");
  if (status == core::HttpStatus::serviceUnavailable) headers.emplace_back("Retry-After", overloadRetrySeconds);
  buffer_.clear();
  state_ = State::rejected;
  keepAlive_ = false;
  writer_.reset(false);
  writer_.writeHead(headOf(core::code(status), headers, static_cast<std::int64_t>(body.size()), {}));
  write(*socket_, body);
  timer_->start(lingerTimeoutMs);
}

ResponseHeadFields ServerConnection::headOf(int status, HeaderList const& headers, std::int64_t bodyLength,
                                            std::string const& reason) {
  closeAnnounced_ = !keepAlive_ || host_.isDraining();
  return {status, headers, bodyLength, reason, closeAnnounced_, host_.limits().sendsServerHeader};
}

void ServerConnection::respond(int status, HeaderList const& headers, std::string const& body) {
  CORKWARD_GUARANTEE(core::Guarantee::singleResponse, !responseBegun_,
                     "a complete response after a response head, status " + std::to_string(status));
  if (responseBegun_) {
    abortRequest();
    return;
  }
  bool const hasNoLength = status == core::code(core::HttpStatus::notModified) && body.empty();
  writer_.writeHead(headOf(status, headers, hasNoLength ? -1 : static_cast<std::int64_t>(body.size()), {}));
  writer_.writeBody(body);
  onResponseWritten();
}

void ServerConnection::beginResponse(int status, HeaderList const& headers, std::int64_t bodyLength,
                                     std::string const& reason) {
  CORKWARD_GUARANTEE(core::Guarantee::singleResponse, !responseBegun_,
                     "a second response head, status " + std::to_string(status));
  if (responseBegun_) {
    abortRequest();
    return;
  }
  responseBegun_ = true;
  writer_.writeHead(headOf(status, headers, bodyLength, reason));
}

void ServerConnection::writeChunk(std::string const& bytes) {
  writer_.writeBody(bytes);
}

void ServerConnection::finishResponse() {
  bool const complete = writer_.missingBytes() <= 0;
  CORKWARD_GUARANTEE(core::Guarantee::completeResponses, complete,
                     std::to_string(writer_.missingBytes()) + " bytes are missing");
  if (!complete) {
    abortRequest();
    return;
  }
  writer_.writeEnd();
  onResponseWritten();
}

void ServerConnection::onResponseWritten() {
  host_.removeRequest(requestId_);
  requestId_ = noRequest;
  responseBegun_ = false;
  timer_->start(host_.limits().idleTimeoutMs);
  if (closeAnnounced_) {
    state_ = State::lingering;
    buffer_.clear();
    linger();
    return;
  }
  // Bytes that the caller sent in the meantime are parsed in a separate iteration of the event loop.
  QTimer::singleShot(0, context_, [weak = weak_from_this()] {
    if (auto const connection = weak.lock()) connection->readRequests();
  });
}

void ServerConnection::linger() {
  if (state_ == State::closed || hasBufferedBytes()) return;
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  socket_->readAll();
  timer_->start(lingerTimeoutMs);
}

void ServerConnection::abortRequest() {
  host_.removeRequest(requestId_);
  requestId_ = noRequest;
  close();
}

void ServerConnection::close() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  std::uint64_t const id = std::exchange(requestId_, noRequest);
  if (id != noRequest) host_.removeRequest(id);
  socket_->disconnect(context_);
  socket_->abort();
  socket_->deleteLater();
  host_.onClosed(*this, id);
}

void ServerConnection::discard() {
  socket_->disconnect();
  socket_->abort();
}

bool ServerConnection::expectsRequest() const {
  if (hasRequest() || state_ != State::open) return false;
  bool const hasSent =
      !buffer_.isEmpty() || parser_.inProgress() || socket_->bytesAvailable() > 0 || peek(*socket_) == PeekResult::data;
  return hasSent || !hadRequest_;
}

bool ServerConnection::isDisconnected() const {
  PeekResult const result = peek(*socket_);
  return result == PeekResult::closed || result == PeekResult::failed;
}

}  // namespace corkward::http
