#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/http/headers.h>
#include <corkward/http/http_error.h>
#include <corkward/http/socket_address.h>

namespace corkward::http {

/// A complete request, head and body within their limits.
struct Request {
  std::uint64_t id = 0;
  /// Index of the server's address that it came in at.
  std::size_t listener = 0;
  std::string method;
  /// Path and query as they were sent.
  std::string target;
  HeaderMap headers;
  std::string body;
  /// Milliseconds from its first byte that was read until all of it was there.
  core::Milliseconds readDuration = 0;
};

/// Limits of a server, and how it signs its responses.
struct ServerLimits {
  std::uint32_t headLimitBytes = 16U << 10;
  std::uint64_t bodyLimitBytes = 1U << 20;
  /// Further connections are rejected with 503, and twice as many are closed at once.
  int maxConnections = 4096;
  /// Milliseconds for a request to arrive, from its first byte or from the start of the connection.
  int headTimeoutMs = 10000;
  /// Milliseconds that a connection without a request stays open.
  int idleTimeoutMs = 60000;
  bool sendsServerHeader = true;
  /// Headers of the responses to requests that break HTTP or these limits.
  HeaderList errorHeaders = {{"corkward-outcome", "not-run"}};
};

/// HTTP/1.1 server for callers, operators and the platform: Boost.Beast parses, Qt carries the bytes. Each connection
/// has one request at a time; its response is written at once or in parts.
class Server : public QObject {
 public:
  struct Events {
    std::function<void(Request)> request;
    /// The caller's connection ended before its response was complete.
    std::function<void(std::uint64_t id)> disconnected;
    /// Some of the buffered bytes of a response were written to the caller.
    std::function<void(std::uint64_t id)> writable;
  };
  /// Listens at ip:port, at one or at several with the limits shared; port 0 takes a free one. Throws HttpError.
  Server(std::string const& address, ServerLimits limits, Events events, QObject* parent = nullptr);
  Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent = nullptr);
  ~Server() override;
  Server(Server const&) = delete;
  Server& operator=(Server const&) = delete;
  Server(Server&&) = delete;
  Server& operator=(Server&&) = delete;

  /// The address with the port that was taken.
  std::string const& address(std::size_t listener = 0) const;
  /// Limits for what comes from here on.
  void setLimits(ServerLimits limits);

  // Responses; a request that is not known any more is ignored.

  /// Writes a complete response.
  void respond(std::uint64_t id, int status, HeaderList const& headers, std::string const& body);
  /// Starts a response.
  /// @param bodyLength below zero: the body goes in chunks. A response without a body has none, whatever is said here.
  /// @param reason phrase of the status; empty: the usual one
  void beginResponse(std::uint64_t id, int status, HeaderList const& headers, std::int64_t bodyLength,
                     std::string const& reason = {});
  void writeChunk(std::uint64_t id, std::string const& bytes);
  /// Ends a response whose body is complete.
  void finishResponse(std::uint64_t id);
  /// Resets the connection, so that what the caller has cannot look complete.
  void abort(std::uint64_t id);
  /// Bytes that wait to be written for the request.
  std::int64_t bufferedBytes(std::uint64_t id) const;
  /// The caller has closed or lost the connection of the request, as its socket says at this moment; the event may
  /// still be on its way.
  bool isDisconnected(std::uint64_t id) const;

  /// From here on each response announces that its connection is closed; what still comes is served.
  void startDraining();
  /// Accepts every connection that waits at the addresses, and stops listening.
  void closeListeners();
  /// Connections without a request whose caller has sent something, or has just connected and is about to.
  std::size_t expectedRequests() const;
  /// Requests without their complete response, and responses that are not fully written.
  std::size_t pendingCount() const;
  std::size_t connectionCount() const;
  /// Requests that broke HTTP or the limits.
  std::uint64_t malformedRequests() const;
  /// Connections that could not be accepted at once, for want of descriptors or memory.
  std::uint64_t failedAccepts() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace corkward::http
