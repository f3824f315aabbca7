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

/// What a connection needs of its server.
class ConnectionHost {
 public:
  ConnectionHost() = default;
  virtual ~ConnectionHost() = default;
  ConnectionHost(ConnectionHost const&) = delete;
  ConnectionHost& operator=(ConnectionHost const&) = delete;
  ConnectionHost(ConnectionHost&&) = delete;
  ConnectionHost& operator=(ConnectionHost&&) = delete;
  virtual ServerLimits const& limits() const = 0;
  /// Responses announce that their connection is closed.
  virtual bool isDraining() const = 0;
  /// A request is complete. Gives it its id.
  virtual std::uint64_t addRequest(std::shared_ptr<ServerConnection> const& connection) = 0;
  virtual void dispatch(Request request) = 0;
  /// The request's response is complete, or its connection is gone.
  virtual void removeRequest(std::uint64_t id) = 0;
  virtual void onWritable(std::uint64_t id) = 0;
  /// A request broke HTTP or the limits.
  virtual void onMalformed() = 0;
  /// The connection is closed; the id is that of the request whose response was not complete, or noRequest.
  virtual void onClosed(ServerConnection& connection, std::uint64_t id) = 0;
};

/// One connection of a caller: reads a request, waits for its response to be written, and goes on with the next one.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  static constexpr std::uint64_t noRequest = 0;

  /// @param listener index of the address that it came in at
  /// @param context receives the socket's signals, and outlives the socket
  ServerConnection(QTcpSocket* socket, std::size_t listener, ConnectionHost& host, QObject* context);

  /// Starts to watch the socket, with the time-out for the first request.
  void start();
  /// Reads requests until one is complete or nothing is left.
  void readRequests();
  /// Answers bytes that are no acceptable request, and closes the connection.
  void rejectMalformed(core::HttpStatus status, std::string const& reason);

  /// Writes a complete response. A second response to one request resets the connection.
  void respond(int status, HeaderList const& headers, std::string const& body);
  void beginResponse(int status, HeaderList const& headers, std::int64_t bodyLength, std::string const& reason);
  void writeChunk(std::string const& bytes);
  /// Ends the response. One whose announced body is not complete resets the connection.
  void finishResponse();
  /// Closes the connection at once; the server is notified.
  void close();
  /// The same for a request that its owner gives up: that is not notified as a disconnection.
  void abortRequest();
  /// Closes the connection at the end of the server, which is not notified.
  void discard();

  bool hasRequest() const { return requestId_ != noRequest; }
  /// The caller has sent something that is no complete request yet, or has just connected and is about to.
  bool expectsRequest() const;
  bool hasBufferedBytes() const { return socket_->bytesToWrite() > 0; }
  std::int64_t bufferedBytes() const { return socket_->bytesToWrite(); }
  /// The caller has closed or lost the connection, as its socket says at this moment.
  bool isDisconnected() const;

 private:
  /// Where the connection stands besides its requests.
  enum class State {
    open,
    /// The last response is written, or on its way; the connection ends when the caller closes it or after a while.
    lingering,
    /// A malformed request was answered; what still comes is discarded.
    rejected,
    closed,
  };

  void onTimeout();
  void onBytesWritten();
  void accept(ParsedRequest&& parsed);
  /// Closes the sending side when all is written, so that the caller sees the end of the last response.
  void linger();
  void onResponseWritten();
  ResponseHeadFields headOf(int status, HeaderList const& headers, std::int64_t bodyLength, std::string const& reason);

  QTcpSocket* socket_;
  std::size_t listener_;
  ConnectionHost& host_;
  QObject* context_;
  /// The socket's child.
  QTimer* timer_;
  /// Bytes that were read and not parsed yet.
  QByteArray buffer_;
  RequestParser parser_;
  ResponseWriter writer_;
  State state_ = State::open;
  /// Of the request whose response is not complete; noRequest: none.
  std::uint64_t requestId_ = noRequest;
  /// The head of that response was written.
  bool responseBegun_ = false;
  /// Some request was read before.
  bool hadRequest_ = false;
  /// The caller keeps the connection open after the response.
  bool keepAlive_ = true;
  /// The response announced that the connection is closed after it.
  bool closeAnnounced_ = false;
  /// Bytes were written since the timer was started.
  bool wroteBytes_ = false;
};

}  // namespace corkward::http
