#include "server_connection.h"

#include <algorithm>
#include <new>
#include <sys/socket.h>
#include <utility>

#include <corkward/core/guarantees.h>

#include "message_text.h"
#include "socket_peek.h"

namespace corkward::http {

namespace {

/// Bytes that are read from a connection before the others have a turn, and those of a connection with a long body for
/// which memory is reserved.
constexpr qint64 readBufferBytes = 16 << 10;
constexpr qint64 longBodyReadBufferBytes = 64 << 10;
/// Bodies up to this length need no reservation.
constexpr std::uint64_t smallBodyBytes = 128U << 10;
/// Bytes that may wait in the operating system for a connection that is not read, or is not read by its caller.
constexpr std::uint64_t kernelBufferBytes = 64U << 10;
/// Memory of an incomplete header section, in multiples of its bytes: the text and the parsed fields.
constexpr std::uint64_t headCostFactor = 2;
/// Milliseconds that a connection which is to be closed stays open, so that the caller can close it first.
constexpr int lingerTimeoutMs = 1000;
constexpr char const* continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char const* overloadRetrySeconds = "1";
constexpr char const* displacedReason = "gave way to another connection";

}  // namespace

ServerConnection::ServerConnection(QTcpSocket* socket, std::size_t listener, ConnectionHost& host, QObject* context)
    : socket_(socket),
      listener_(listener),
      host_(host),
      context_(context),
      timer_(new QTimer(socket)),
      writer_(*socket),
      memory_(host.memory()),
      charge_(*memory_),
      unfinishedSince_(Clock::now()) {
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
  QObject::connect(socket_, &QTcpSocket::bytesWritten, context_, [weak](qint64 bytes) {
    if (auto const connection = weak.lock()) connection->onBytesWritten(bytes);
  });
  timer_->start(host_.limits().headTimeoutMs);
}

void ServerConnection::onTimeout() {
  if (hasRequest()) return;
  if (waitsForMemory_) {
    shed();
    return;
  }
  bool const callerReads = wroteBytes_ && hasBufferedBytes();
  wroteBytes_ = false;
  if (callerReads)
    timer_->start(host_.limits().idleTimeoutMs);
  else
    close();
}

void ServerConnection::onBytesWritten(qint64 bytes) {
  wroteBytes_ = true;
  movedBytes_ += static_cast<std::uint64_t>(bytes);
  updateCharge();
  if (state_ == State::lingering) linger();
  if (hasRequest() && responseBegun_) host_.onWritable(requestId_);
}

void ServerConnection::updateCharge() {
  auto const unread = static_cast<std::uint64_t>(socket_->bytesAvailable());
  auto const unwritten = static_cast<std::uint64_t>(socket_->bytesToWrite());
  std::uint64_t const input = static_cast<std::uint64_t>(buffer_.size()) + unread;
  bool const isReadSlowly = unread >= static_cast<std::uint64_t>(readBufferBytes);
  std::uint64_t bytes = pendingBytes_ + headCostFactor * input + unwritten;
  bytes += std::max(reservedBytes_, parser_.bodyCapacity());
  if (isReadSlowly || waitsForMemory_) bytes += kernelBufferBytes;
  if (unwritten > 0) bytes += kernelBufferBytes;
  bool const grows = bytes > charge_.bytes();
  charge_.set(bytes);
  if (grows && memory_->isExceeded()) host_.onMemoryExceeded();
}

std::uint64_t ServerConnection::pendingCost(std::uint64_t bodyBytes) const {
  // A single request of a legal size is always served, also where it costs more than may be reserved.
  return std::min(bodyBytes * host_.limits().bodyCostFactor, memory_->reservableBytes());
}

bool ServerConnection::ensureBodyMemory() {
  std::uint64_t const expected = parser_.expectedBodyBytes();
  if (expected <= smallBodyBytes || reservedBytes_ > 0) return true;
  // The length of a body in chunks is not known; one that stays small needs no reservation.
  bool const isSmall = parser_.isChunked() && parser_.bodySize() + longBodyReadBufferBytes <= smallBodyBytes;
  if (isSmall) return true;
  std::uint64_t const wanted = pendingCost(expected);
  waitsForMemory_ = true;
  updateCharge();
  if (host_.reserveMemory(*this, wanted)) {
    grantMemory(wanted);
    return true;
  }
  return false;
}

void ServerConnection::grantMemory(std::uint64_t bytes) {
  bool const resumes = waitsForMemory_;
  waitsForMemory_ = false;
  reservedBytes_ = bytes;
  try {
    parser_.reserveBody(parser_.expectedBodyBytes());
  } catch (std::bad_alloc const&) {
    shed();
    return;
  }
  socket_->setReadBufferSize(longBodyReadBufferBytes);
  updateCharge();
  if (!resumes) return;
  QTimer::singleShot(0, context_, [weak = weak_from_this()] {
    if (auto const connection = weak.lock()) connection->readRequests();
  });
}

void ServerConnection::dropRequestBytes() {
  buffer_.clear();
  parser_.reset();
  reservedBytes_ = 0;
  waitsForMemory_ = false;
}

void ServerConnection::readRequests() {
  if (state_ == State::closed) return;
  if (state_ == State::displaced && socket_->bytesAvailable() > 0)
    reject(core::HttpStatus::requestTimeout, displacedReason);
  if (state_ != State::open) {
    socket_->readAll();
    return;
  }
  if (!hasRequest() && !waitsForMemory_) {
    QByteArray const received = socket_->readAll();
    movedBytes_ += static_cast<std::uint64_t>(received.size());
    buffer_ += received;
    parseBuffer();
  }
  if (state_ != State::closed) updateCharge();
}

void ServerConnection::parseBuffer() {
  while (!buffer_.isEmpty() && !hasRequest() && state_ == State::open) {
    if (!parser_.inProgress()) {
      parser_.begin(host_.limits());
      unfinishedSince_ = Clock::now();
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
    if (parsed == nullptr) {
      ensureBodyMemory();
      return;
    }
    accept(std::move(*parsed));
  }
}

void ServerConnection::accept(ParsedRequest&& parsed) {
  keepAlive_ = parsed.keepAlive;
  hadRequest_ = true;
  reservedBytes_ = 0;
  pendingBytes_ = pendingCost(parsed.request.body.capacity());
  socket_->setReadBufferSize(readBufferBytes);
  updateCharge();
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
  reject(status, reason);
}

void ServerConnection::reject(core::HttpStatus status, std::string const& reason) {
  std::string const body = "{\"error\":\"malformed\",\"reason\":\"" + reason + "\"}";
  HeaderList headers = host_.limits().errorHeaders;
  headers.emplace_back("Content-Type", "application/json");
  if (status == core::HttpStatus::serviceUnavailable) headers.emplace_back("Retry-After", overloadRetrySeconds);
  dropRequestBytes();
  state_ = State::rejected;
  keepAlive_ = false;
  writer_.reset(false);
  writer_.writeHead(headOf(core::code(status), headers, static_cast<std::int64_t>(body.size()), {}));
  write(*socket_, body);
  timer_->start(lingerTimeoutMs);
  updateCharge();
  // What the caller goes on sending is read and dropped, so that the response is not lost by a reset.
  socket_->readAll();
}

bool ServerConnection::mayShed() const {
  bool const holdsRequest = isOpen() && !hasRequest() && (parser_.inProgress() || !buffer_.isEmpty());
  return holdsRequest || (state_ != State::closed && hasBufferedBytes());
}

void ServerConnection::shed() {
  if (hasBufferedBytes())
    close();
  else if (isOpen() && !hasRequest())
    reject(core::HttpStatus::serviceUnavailable, "out of memory");
}

void ServerConnection::giveWay() {
  bool const hasSent = !buffer_.isEmpty() || parser_.inProgress();
  if (hasSent) {
    reject(core::HttpStatus::requestTimeout, displacedReason);
    return;
  }
  // It stays open for a moment, so that a crowd of silent clients cannot come back at once.
  state_ = State::displaced;
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
  updateCharge();
}

void ServerConnection::writeChunk(std::string const& bytes) {
  writer_.writeBody(bytes);
  updateCharge();
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
  pendingBytes_ = 0;
  unfinishedSince_ = Clock::now();
  timer_->start(host_.limits().idleTimeoutMs);
  updateCharge();
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
  dropRequestBytes();
  pendingBytes_ = 0;
  charge_.set(0);
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
