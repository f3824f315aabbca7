#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <memory>
#include <string>

#include <corkward/core/http_status.h>
#include <corkward/http/server.h>

#include "request_parser.h"
#include "response_writer.h"

namespace corkward::http {

class ServerConnection;

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
  /// The connection is closed.
  /// @param id the request whose response was incomplete, or noRequest if there is none
  virtual void onClosed(ServerConnection& connection, std::uint64_t id) = 0;
};

/// A connection of a caller. Reads a request, waits until its response is written, and continues with the next request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
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

 private:
  /// State of the connection, independent of its current request.
  enum class State {
    open,
    /// The last response is written or buffered. The connection ends when the caller closes it or after
    /// lingerTimeoutMs.
    lingering,
    /// An error response was sent for a malformed request; further received bytes are discarded.
    rejected,
    closed,
  };

  void onTimeout();
  void onBytesWritten();
  void accept(ParsedRequest&& parsed);
  /// Half-closes the connection (shuts down the sending side) when all bytes are written, so that the caller sees the
  /// end of the last response.
  void linger();
  void onResponseWritten();
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
