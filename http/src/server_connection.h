#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include <corkward/core/http_status.h>
#include <corkward/http/server.h>

#include "request_parser.h"
#include "response_writer.h"

namespace corkward::http {

class ServerConnection;

/// Memory that a connection asks for, so that the body of its request may be read on.
struct MemoryRequest {
  /// Length of the body up to which it may be read.
  std::uint64_t bodyBytes = 0;
  /// What is charged for that.
  std::uint64_t bytes = 0;
  core::HoldingSize size = core::HoldingSize::large;
};

/// Interface of the server for its connections.
class ConnectionHost {
 public:
  ConnectionHost() = default;
  virtual ~ConnectionHost() = default;
  ConnectionHost(ConnectionHost const&) = delete;
  ConnectionHost& operator=(ConnectionHost const&) = delete;
  ConnectionHost(ConnectionHost&&) = delete;
  ConnectionHost& operator=(ConnectionHost&&) = delete;
  virtual ServerLimits const& limits() const = 0;
  /// Whether responses must announce that their connection is closed.
  virtual bool isDraining() const = 0;
  /// Registers a complete request and returns its id.
  virtual std::uint64_t addRequest(std::shared_ptr<ServerConnection> const& connection) = 0;
  /// Dispatches a registered request to the server's owner.
  virtual void dispatch(Request request) = 0;
  /// Removes a request whose response is complete or whose connection is closed.
  virtual void removeRequest(std::uint64_t id) = 0;
  /// Some of the buffered bytes of the request's response were written to the socket.
  virtual void onWritable(std::uint64_t id) = 0;
  /// A request violated HTTP or the limits, or the connection exceeds the limit of connections.
  virtual void onMalformed() = 0;
  /// Account to which the connection charges what it holds.
  virtual std::shared_ptr<core::MemoryAccount> const& memory() const = 0;
  /// Asks for memory for a body. Returns whether it is available now. If it is not, the connection either waits until
  /// ServerConnection::grantMemory() is called, or is rejected when even waiting would take too much memory.
  virtual bool reserveMemory(ServerConnection& connection, MemoryRequest const& wanted) = 0;
  /// Returns whether the account has room for a complete request. Incomplete ones may be shed for it.
  virtual bool admitRequest(std::uint64_t bytes, core::HoldingSize size) = 0;
  /// The account is exceeded: incomplete requests are shed at once. To be called from the event loop only.
  virtual void relieveMemory() = 0;
  /// The connection is closed.
  /// @param id the request whose response was incomplete, or noRequest if there is none
  virtual void onClosed(ServerConnection& connection, std::uint64_t id) = 0;
};

/// A connection of a caller. Reads a request, waits until its response is written, and continues with the next request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  static constexpr std::uint64_t noRequest = 0;

  /// @param listener index of the server's address at which the connection was accepted
  /// @param context parent of the socket and receiver of its signals; must outlive the socket
  ServerConnection(QTcpSocket* socket, std::size_t listener, ConnectionHost& host, QObject* context);

  /// Connects to the socket's signals, and starts the timeout for the first request.
  void start();
  /// Reads and parses bytes until a request is complete or all received bytes are consumed.
  void readRequests();
  /// Sends an error response for bytes that are no acceptable request or for a connection beyond the limit, and closes
  /// the connection. Counts as a malformed request.
  void rejectMalformed(core::HttpStatus status, std::string const& reason);

  /// Sends an error response in place of the rest of a request and closes the connection.
  void reject(core::HttpStatus status, std::string const& reason);
  /// Gives up what the connection holds, since memory is short: an incomplete request is rejected, and a response that
  /// is not read ends with the connection.
  void shed();

  /// Ends a connection without a complete request, so that a new one gets its place.
  void giveWay();

  /// Writes a complete response. Closes the connection immediately if a response to the request has already begun.
  void respond(int status, HeaderList const& headers, std::string const& body);
  /// Writes the status line and header section. Closes the connection immediately if a response has already begun.
  void beginResponse(int status, HeaderList const& headers, std::int64_t bodyLength, std::string const& reason);
  void writeChunk(std::string const& bytes);
  /// Ends the response. Closes the connection immediately if fewer bytes were written than the response announced.
  void finishResponse();
  /// Closes the connection immediately and notifies the server.
  void close();
  /// Closes the connection immediately because the owner gives up the request; the owner gets no `disconnected` event.
  void abortRequest();
  /// Closes the connection while the server is destroyed, without notifying the server.
  void discard();

  bool hasRequest() const { return requestId_ != noRequest; }
  /// Whether a request is expected: no request is being processed, and the caller has sent the beginning of a request
  /// or has not sent any request on this connection yet.
  bool expectsRequest() const;
  bool hasBufferedBytes() const { return socket_->bytesToWrite() > 0; }
  std::int64_t bufferedBytes() const { return socket_->bytesToWrite(); }
  /// Whether the connection is closed or lost according to the operating system.
  bool isDisconnected() const;

  /// Called when the memory for which the connection waits was reserved for it.
  void grantMemory(MemoryRequest const& granted);
  /// Reads on in the next iteration of the event loop.
  void resumeReading();
  bool waitsForMemory() const { return waitsForMemory_; }
  /// Returns the memory that the connection holds beyond its fixed cost.
  std::uint64_t requestBytes() const;
  /// Whether memory is released when the connection is shed: it holds an incomplete request or a response that its
  /// caller has not read.
  bool mayShed() const;
  /// Returns how many bytes were read and written since the last call.
  std::uint64_t takeMovedBytes() { return std::exchange(movedBytes_, 0); }
  std::uint64_t movedBytes() const { return movedBytes_; }
  /// Whether the connection takes a place: it is neither closing nor closed.
  bool isOpen() const { return state_ == State::open; }
  /// Whether the connection has an incomplete request or none at all, so that it may give way to a new one.
  bool mayGiveWay() const { return isOpen() && !hasRequest() && !hasBufferedBytes(); }
  /// Whether a complete request was read on the connection, and no other has begun since.
  bool isIdle() const { return hadRequest_ && buffer_.isEmpty() && !parser_.inProgress(); }
  /// Time since which the connection is without a complete request: that of its begin, of the last response, or of the
  /// first byte of the incomplete request.
  Clock::time_point unfinishedSince() const { return unfinishedSince_; }

 private:
  /// State of the connection, independent of its current request.
  enum class State {
    open,
    /// The last response is written or buffered. The connection ends when the caller closes it or after
    /// lingerTimeoutMs.
    lingering,
    /// An error response was sent for a malformed request; further received bytes are discarded.
    rejected,
    /// The connection gave its place to a new one before it had sent anything. A request that arrives is rejected.
    displaced,
    closed,
  };

  void onTimeout();
  void onBytesWritten(qint64 bytes);
  void accept(ParsedRequest&& parsed);
  /// Charges a complete request if the account has room for it. Returns whether it has.
  bool admit(Request const& request);
  /// Sets how many bytes are read at once.
  void setReadBuffer(std::uint64_t bytes);
  /// Sets the buffers for what has been reserved.
  void sizeBuffers();
  /// Parses what has arrived until a request is complete, or the connection has to wait.
  void readAvailable();
  /// Half-closes the connection (shuts down the sending side) when all bytes are written, so that the caller sees the
  /// end of the last response.
  void linger();
  void onResponseWritten();
  /// Parses what was read, up to the end of one request, so that other connections have a turn before the next one.
  void parseBuffer();
  /// Parses the request in progress or the next one.
  void parseRequest();
  /// Asks for memory for the body in progress if it needs more than is reserved. The connection may have to wait then.
  void ensureBodyMemory();
  /// Returns the length of the body for which memory must be reserved before more of it is read; 0 if there is none.
  std::uint64_t bodyBytesToReserve() const;
  /// Returns the memory that a body of this length takes until the response to its request is complete.
  std::uint64_t bodyCost(std::uint64_t bodyBytes) const;
  /// Charges what the connection holds now.
  void charge();
  /// Releases the memory of the request in progress.
  void dropRequestBytes();
  void releaseReservation();
  /// Returns the head fields of a response, and sets closeAnnounced_.
  ResponseHeadFields headOf(int status, HeaderList const& headers, std::int64_t bodyLength, std::string const& reason);

  QTcpSocket* socket_;
  std::size_t listener_;
  ConnectionHost& host_;
  QObject* context_;
  /// Runs the timeout for the request, the idle connection or the close. Child of the socket.
  QTimer* timer_;
  /// Bytes that were read from the socket and not parsed yet.
  QByteArray buffer_;
  RequestParser parser_;
  ResponseWriter writer_;
  /// Keeps the account of the charge.
  std::shared_ptr<core::MemoryAccount> memory_;
  core::MemoryCharge charge_;
  /// Memory that is reserved for the body in progress, and the length of the body for which it is; 0 if there is none.
  std::uint64_t reservedBytes_ = 0;
  std::uint64_t reservedBodyBytes_ = 0;
  /// Memory that the pending request takes.
  std::uint64_t pendingBytes_ = 0;
  std::uint64_t movedBytes_ = 0;
  Clock::time_point unfinishedSince_;
  bool waitsForMemory_ = false;
  /// resumeReading() was called, and its iteration of the event loop has not come yet.
  bool isToResume_ = false;
  State state_ = State::open;
  /// Id of the request whose response is incomplete, or noRequest if there is none.
  std::uint64_t requestId_ = noRequest;
  /// The head of the response to the current request was written.
  bool responseBegun_ = false;
  /// At least one complete request was read on this connection.
  bool hadRequest_ = false;
  /// The caller keeps the connection open after the current response.
  bool keepAlive_ = true;
  /// The latest response announced that the connection is closed after it.
  bool closeAnnounced_ = false;
  /// Bytes were written to the socket since the last timeout.
  bool wroteBytes_ = false;
};

}  // namespace corkward::http
