#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/memory_account.h>
#include <corkward/core/types.h>
#include <corkward/http/headers.h>
#include <corkward/http/http_error.h>
#include <corkward/http/socket_address.h>

namespace corkward::http {

/// A complete request whose header section and body are within the server's limits.
struct Request {
  /// Identifies the request among all requests of the server.
  std::uint64_t id = 0;
  /// Index of the server's address at which the request arrived.
  std::size_t listener = 0;
  std::string method;
  /// Request target (path and query) as the caller sent it.
  std::string target;
  HeaderMap headers;
  std::string body;
  /// Milliseconds between reading the first byte and the last byte of the request.
  core::Milliseconds readDuration = 0;
};

/// Limits of a server, and options of its responses.
struct ServerLimits {
  /// Longest request line and header section.
  std::uint32_t headLimitBytes = 16U << 10;
  std::uint64_t bodyLimitBytes = 1U << 20;
  /// Connections beyond this number, or beyond what half of the account has room for, receive a 503 response. Those
  /// beyond twice this number, or beyond five eighths of the account, are closed without a response.
  int maxConnections = 4096;
  /// Milliseconds within which a request must arrive completely, counted from its first byte. On a new connection the
  /// first byte must arrive within the same time.
  int headTimeoutMs = 10000;
  /// Idle timeout: milliseconds after which a connection without a request is closed, unless its caller is still
  /// reading the previous response.
  int idleTimeoutMs = 60000;
  bool sendsServerHeader = true;
  /// Memory that the owner needs for a request that is pending, as a multiple of the length of its body.
  std::uint64_t bodyCostFactor = 1;
  /// Header fields of the error responses to requests that violate HTTP or these limits.
  HeaderList errorHeaders = {{"corkward-outcome", "not-run"}};
};

/// HTTP/1.1 server for callers, operators and the platform. Boost.Beast parses the messages, and Qt reads and writes
/// the sockets. Each connection processes one request at a time. A response is written either complete with respond(),
/// or incrementally with beginResponse(), writeChunk() and finishResponse().
///
/// What connections take is charged to a memory account: a fixed cost for each, header fields as they are parsed,
/// bodies, pending requests with what their owner keeps of them, and what callers have not read yet. A body that is
/// longer than what is read at once is read on only when its whole length can be reserved; until then its connection is
/// not read. A complete request for which there is no room gets 503 and never reaches the owner. When memory is short,
/// requests and responses that hold much and move little give way: an incomplete request gets 503, a response that is
/// not read is reset. The number of connections is bounded by the limit and by the account. While many connections are
/// refused for want of a place, the one that has been without a complete request for longest gives way to a new one.
class Server : public QObject {
 public:
  struct Events {
    std::function<void(Request)> request;
    /// The caller's connection ended before the response to the request was complete.
    std::function<void(std::uint64_t id)> disconnected;
    /// Some of the buffered bytes of the response were written to the caller's socket.
    std::function<void(std::uint64_t id)> writable;
  };
  /// Listens at one or several ip:port addresses, which share the limits. With port 0 the operating system chooses a
  /// free port. Throws core::ResourceBusyError if an address is in use, and HttpError if listening fails for another
  /// reason.
  /// @param memory the process's account; null for an account of the server's own without a limit
  Server(std::string const& address, ServerLimits limits, Events events, QObject* parent = nullptr,
         std::shared_ptr<core::MemoryAccount> memory = nullptr);
  Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent = nullptr,
         std::shared_ptr<core::MemoryAccount> memory = nullptr);
  ~Server() override;
  Server(Server const&) = delete;
  Server& operator=(Server const&) = delete;
  Server(Server&&) = delete;
  Server& operator=(Server&&) = delete;

  /// Returns the address of a listener with the port that it actually uses.
  std::string const& address(std::size_t listener = 0) const;
  /// Sets the limits for the requests and connections that begin after this call.
  void setLimits(ServerLimits limits);

  // Responses to pending requests. A call with the id of a request that is not pending has no effect.

  /// Writes a complete response.
  void respond(std::uint64_t id, int status, HeaderList const& headers, std::string const& body);
  /// Writes the status line and header section of a response.
  /// @param bodyLength length of the body; negative for the chunked transfer coding. Responses that never have a body,
  ///   such as those to HEAD, have none whatever the value is.
  /// @param reason reason phrase; if empty, the standard phrase of the status is used
  void beginResponse(std::uint64_t id, int status, HeaderList const& headers, std::int64_t bodyLength,
                     std::string const& reason = {});
  /// Writes bytes of the body.
  void writeChunk(std::uint64_t id, std::string const& bytes);
  /// Ends a response whose body has been written completely.
  void finishResponse(std::uint64_t id);
  /// Closes the connection immediately, so that the caller cannot mistake the partial response for a complete one.
  void abort(std::uint64_t id);
  /// Returns the number of response bytes that are not written to the request's socket yet; 0 if the request is
  /// unknown.
  std::int64_t bufferedBytes(std::uint64_t id) const;
  /// Whether the request's connection is closed or lost according to the operating system. The event `disconnected` may
  /// not have been delivered yet. Returns true if the request is unknown.
  bool isDisconnected(std::uint64_t id) const;

  /// Makes each further response announce that its connection will be closed. Requests that still arrive are served.
  void startDraining();
  /// Accepts all connections that are pending in the listen queues, then stops listening.
  void closeListeners();
  /// Returns the number of connections from which a request is expected: no request is being processed, and the caller
  /// has sent the beginning of a request or has not sent any request yet.
  std::size_t expectedRequests() const;
  /// Returns the number of connections with a request whose response is incomplete or not fully written to the socket.
  std::size_t pendingCount() const;
  std::size_t connectionCount() const;
  /// Returns the number of requests that violated HTTP or the limits, including connections rejected with 503.
  std::uint64_t malformedRequests() const;
  /// Returns the number of failed attempts to accept a connection, caused by a lack of file descriptors or memory.
  std::uint64_t failedAccepts() const;
  /// Returns the number of requests and responses that were given up because memory was short.
  std::uint64_t shedForMemory() const;
  /// Returns the number of connections without a complete request that gave way to new connections.
  std::uint64_t displacedConnections() const;
  /// Returns the account to which the server charges what it holds.
  core::MemoryAccount& memory() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace corkward::http
