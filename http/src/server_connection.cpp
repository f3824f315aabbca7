#include "server_connection.h"

#include <algorithm>
#include <new>
#include <sys/socket.h>
#include <utility>

#include <corkward/core/guarantees.h>
#include <corkward/transport/kernel_buffers.h>

#include "memory_cost.h"
#include "message_text.h"
#include "socket_peek.h"

namespace corkward::http {

namespace {

/// Bytes that are read at once from a connection with a long body for which memory is reserved.
constexpr std::uint64_t longBodyReadBufferBytes = 64U << 10;
/// A single request of a legal size is always served, also where it costs more than this part of the account.
constexpr std::uint64_t maxRequestParts = 2;
/// Milliseconds that a connection which is to be closed stays open, so that the caller can close it first.
constexpr int lingerTimeoutMs = 1000;
constexpr char const* continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char const* overloadRetrySeconds = "1";
constexpr char const* displacedReason = "gave way to another connection";
constexpr char const* outOfMemoryReason = "out of memory";

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
  setReadBuffer(readBufferBytes);
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
  charge();
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
  charge();
  if (state_ == State::lingering) linger();
  if (hasRequest() && responseBegun_) host_.onWritable(requestId_);
}

void ServerConnection::setReadBuffer(std::uint64_t bytes) {
  socket_->setReadBufferSize(static_cast<qint64>(bytes));
}

void ServerConnection::sizeBuffers() {
  bool const isReserved = reservedBytes_ > 0;
  bool const isLong = sizeOfBody(reservedBodyBytes_) == core::HoldingSize::large;
  setReadBuffer(isLong ? longBodyReadBufferBytes : readBufferBytes);
  transport::setReceiveBuffer(socket_->socketDescriptor(),
                              isReserved ? bodyReceiveBufferBytes : idleReceiveBufferBytes);
}

std::uint64_t ServerConnection::requestBytes() const {
  auto const unwritten = static_cast<std::uint64_t>(socket_->bytesToWrite());
  std::uint64_t bytes = static_cast<std::uint64_t>(buffer_.capacity()) + parser_.fieldBytes() + pendingBytes_;
  bytes += std::max(reservedBytes_, parser_.bodyCapacity());
  if (reservedBytes_ > 0) bytes += kernelBufferBytes;
  if (sizeOfBody(reservedBodyBytes_) == core::HoldingSize::large) bytes += longBodyReadBufferBytes;
  bytes += unwritten;
  if (unwritten > readBufferBytes) bytes += readBufferBytes + kernelBufferBytes;
  return bytes;
}

void ServerConnection::charge() {
  charge_.set(connectionBytes + requestBytes());
}

std::uint64_t ServerConnection::bodyCost(std::uint64_t bodyBytes) const {
  return std::min(bodyBytes * host_.limits().bodyCostFactor, memory_->limit() / maxRequestParts);
}

std::uint64_t ServerConnection::bodyBytesToReserve() const {
  std::uint64_t const expected = parser_.expectedBodyBytes();
  if (!parser_.isChunked()) return expected <= unreservedBodyBytes ? 0 : expected;
  // The length of a body in chunks is not known, so that more is reserved as it grows.
  std::uint64_t const size = parser_.bodySize();
  if (size <= unreservedBodyBytes) return 0;
  return size + readBufferBytes <= smallBodyBytes ? std::min(expected, smallBodyBytes) : expected;
}

void ServerConnection::ensureBodyMemory() {
  std::uint64_t const wantedBody = bodyBytesToReserve();
  if (waitsForMemory_ || wantedBody <= reservedBodyBytes_) return;
  MemoryRequest const wanted{wantedBody, bodyCost(wantedBody), sizeOfBody(wantedBody)};
  waitsForMemory_ = true;
  charge();
  if (host_.reserveMemory(*this, wanted)) grantMemory(wanted);
}

void ServerConnection::grantMemory(MemoryRequest const& granted) {
  waitsForMemory_ = false;
  reservedBytes_ = granted.bytes;
  reservedBodyBytes_ = granted.bodyBytes;
  try {
    parser_.reserveBody(granted.bodyBytes);
  } catch (std::bad_alloc const&) {
    shed();
    return;
  }
  sizeBuffers();
  charge();
}

void ServerConnection::resumeReading() {
  if (isToResume_) return;
  isToResume_ = true;
  QTimer::singleShot(0, context_, [weak = weak_from_this()] {
    auto const connection = weak.lock();
    if (!connection) return;
    connection->isToResume_ = false;
    connection->readRequests();
  });
}

void ServerConnection::dropRequestBytes() {
  buffer_ = QByteArray();
  parser_.reset();
  releaseReservation();
}

void ServerConnection::releaseReservation() {
  reservedBytes_ = 0;
  reservedBodyBytes_ = 0;
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
  if (!hasRequest() && !waitsForMemory_) readAvailable();
  if (state_ == State::closed) return;
  charge();
  if (memory_->isExceeded()) host_.relieveMemory();
}

void ServerConnection::readAvailable() {
  // Further requests that arrived with the last one come first, so that the buffer does not grow by each.
  if (!parser_.inProgress() && !buffer_.isEmpty()) {
    parseBuffer();
    if (!parser_.inProgress()) return;
  }
  if (waitsForMemory_) return;
  QByteArray const received = socket_->readAll();
  movedBytes_ += static_cast<std::uint64_t>(received.size());
  if (buffer_.isEmpty())
    buffer_ = received;
  else
    buffer_ += received;
  parseBuffer();
}

void ServerConnection::parseBuffer() {
  if (!buffer_.isEmpty() && !hasRequest() && !waitsForMemory_ && state_ == State::open) parseRequest();
  // Its capacity would stay with an idle connection.
  if (buffer_.isEmpty()) buffer_ = QByteArray();
}

void ServerConnection::parseRequest() {
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
  if (auto* const parsed = std::get_if<ParsedRequest>(&result.outcome))
    accept(std::move(*parsed));
  else
    ensureBodyMemory();
}

bool ServerConnection::admit(Request const& request) {
  bool const wasReserved = reservedBytes_ > 0;
  std::uint64_t const bytes = pendingBytesWithoutBody(request) + bodyCost(request.body.capacity());
  releaseReservation();
  if (wasReserved) sizeBuffers();
  charge();
  // What was reserved has been admitted before.
  core::HoldingSize const size = wasReserved ? core::HoldingSize::tiny : sizeOfRequest(bytes);
  bool const admitted = host_.admitRequest(bytes, size) && state_ == State::open;
  if (admitted) pendingBytes_ = bytes;
  return admitted;
}

void ServerConnection::accept(ParsedRequest&& parsed) {
  keepAlive_ = parsed.keepAlive;
  hadRequest_ = true;
  if (!admit(parsed.request)) {
    if (state_ == State::open) reject(core::HttpStatus::serviceUnavailable, outOfMemoryReason);
    return;
  }
  charge();
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
  charge();
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
    reject(core::HttpStatus::serviceUnavailable, outOfMemoryReason);
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
  charge();
}

void ServerConnection::writeChunk(std::string const& bytes) {
  writer_.writeBody(bytes);
  charge();
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
  charge();
  if (closeAnnounced_) {
    state_ = State::lingering;
    buffer_ = QByteArray();
    linger();
    return;
  }
  // Bytes that the caller sent in the meantime are parsed in a separate iteration of the event loop.
  resumeReading();
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
