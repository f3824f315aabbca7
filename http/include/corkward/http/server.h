#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>
#include <corkward/http/headers.h>

class QTcpServer;
class QTcpSocket;

namespace corkward::http {

/// An error of the HTTP edge.
class HttpError : public core::Error {
 public:
  using core::Error::Error;
};

/// A whole request, head and body within their bounds.
struct Request {
  std::uint64_t id = 0;
  /// Which of the server's addresses it came in at.
  std::size_t at = 0;
  std::string method;
  std::string target;
  HeaderMap fields;
  std::string body;
  /// Milliseconds from the first byte of it that was read until all of it was there.
  core::Tick readFor = 0;
};

/// Bounds of a HTTP edge, and how it signs.
struct ServerLimits {
  std::uint32_t head = 16U << 10;
  std::uint64_t body = 1U << 20;
  int connections = 4096;
  int headMs = 10000;
  int idleMs = 60000;
  /// Answers name the server.
  bool named = true;
  /// Fields of the answers to requests that break HTTP or these bounds.
  HeaderList faultFields = {{"corkward-outcome", "not-run"}};
};

/// HTTP/1.1 edge for callers, operators and the platform: Boost.Beast parses, Qt carries the bytes.
/// One request at a time per connection; an answer goes out whole or piece by piece.
class Server : public QObject {
 public:
  struct Events {
    std::function<void(Request)> request;
    /// The caller's connection is gone before its answer was finished.
    std::function<void(std::uint64_t id)> disconnected;
    /// Some of what waited to be written to the caller has gone out.
    std::function<void(std::uint64_t id)> writable;
  };
  /// Listens at ip:port, at one or at several with the bounds shared; port 0 takes a free one. Throws http::Error.
  Server(std::string const& address, ServerLimits limits, Events events, QObject* parent = nullptr);
  Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent = nullptr);
  ~Server() override;

  std::string const& address(std::size_t at = 0) const { return addresses_.at(at); }
  /// Bounds for what comes from here on.
  void setLimits(ServerLimits limits) { limits_ = std::move(limits); }
  /// A whole answer at once.
  void answer(std::uint64_t id, int status, HeaderList const& fields, std::string const& body);
  /// Starts an answer; length below zero: in chunks. An answer that has no body has none, whatever is told.
  /// @param reason words of the status; empty: the usual ones
  void begin(std::uint64_t id, int status, HeaderList const& fields, std::int64_t length,
             std::string const& reason = {});
  void writeChunk(std::uint64_t id, std::string const& bytes);
  /// The body's own end was seen.
  void finish(std::uint64_t id);
  /// Cuts the connection: what the caller has cannot look complete.
  void abort(std::uint64_t id);
  /// Bytes that wait to be written for the request.
  std::int64_t bufferedBytes(std::uint64_t id) const;
  /// The caller has closed or lost the connection of the request, as its socket says at this moment; the event gone may
  /// still be on its way.
  bool isDisconnected(std::uint64_t id) const;
  /// From here on each answer says that its connection is closed after it; what still comes is served.
  void startDraining() { leaving_ = true; }
  /// Takes every connection that waits at the addresses, and listens there no more.
  void close();
  /// Connections without a request in hand whose caller has sent something, or has just come and is about to.
  std::size_t expecting() const;
  /// Requests without their whole answer, and answers that are not all written.
  std::size_t pendingCount() const;
  std::size_t connections() const { return conns_.size(); }
  std::uint64_t malformed() const { return malformed_; }
  /// Connections that could not be accepted at once, for want of descriptors or memory.
  std::uint64_t acceptsFailed() const { return acceptsFailed_; }

 private:
  struct Conn;
  void accept(std::size_t at);
  /// A listening socket whose accept failed stands still until it is told to go on.
  void acceptAgain(QTcpServer* server);
  void welcome(QTcpSocket* socket, std::size_t at);
  void readable(std::shared_ptr<Conn> const& conn);
  void fault(std::shared_ptr<Conn> const& conn, int status, std::string const& reason);
  void done(std::shared_ptr<Conn> conn);
  void linger(std::shared_ptr<Conn> const& conn);
  std::string headOf(Conn& conn, int status, HeaderList const& fields, std::int64_t length, std::string const& reason);
  void drop(std::shared_ptr<Conn> const& conn);
  Conn* find(std::uint64_t id) const;

  std::vector<std::string> addresses_;
  std::vector<QTcpServer*> servers_;
  ServerLimits limits_;
  Events events_;
  std::uint64_t next_ = 1;
  std::uint64_t malformed_ = 0;
  std::uint64_t acceptsFailed_ = 0;
  bool leaving_ = false;
  std::unordered_map<Conn const*, std::shared_ptr<Conn>> conns_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Conn>> byId_;
};

/// Splits ip:port. Throws http::Error.
std::pair<std::string, std::uint16_t> splitAddress(std::string const& address);

}  // namespace corkward::http
