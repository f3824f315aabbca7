#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <corkward/core/error.h>

class QTcpServer;

namespace corkward::door {

/// An error of the HTTP edge.
class Error : public core::Error {
 public:
  using core::Error::Error;
};

/// Header fields, names in lower case.
using Fields = std::map<std::string, std::string>;

/// A whole request, head and body within their bounds.
struct Request {
  std::uint64_t id = 0;
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

/// Bounds of a door.
struct Limits {
  std::uint32_t head = 16U << 10;
  std::uint64_t body = 1U << 20;
  int connections = 4096;
  int headMs = 10000;
  int idleMs = 60000;
};

/// HTTP/1.1 edge for callers, operators and the platform: Boost.Beast parses, Qt carries the bytes.
/// One request at a time per connection; an answer goes out whole or piece by piece.
class Server : public QObject {
 public:
  struct Events {
    std::function<void(Request)> request;
    /// The caller's connection is gone before its answer was finished.
    std::function<void(std::uint64_t id)> gone;
    /// Some of what waited to be written to the caller has gone out.
    std::function<void(std::uint64_t id)> room;
  };
  /// Listens at ip:port; port 0 takes a free one. Throws door::Error.
  Server(std::string const& address, Limits limits, Events events, QObject* parent = nullptr);
  ~Server() override;

  std::string const& address() const { return address_; }
  /// A whole answer at once.
  void answer(std::uint64_t id, int status, Fields const& fields, std::string const& body);
  /// Starts an answer; length below zero: in chunks.
  void begin(std::uint64_t id, int status, Fields const& fields, std::int64_t length);
  void piece(std::uint64_t id, std::string const& bytes);
  /// The body's own end was seen.
  void finish(std::uint64_t id);
  /// Cuts the connection: what the caller has cannot look complete.
  void abort(std::uint64_t id);
  /// Bytes that wait to be written for the request.
  std::int64_t waiting(std::uint64_t id) const;
  /// From here on each answer says that its connection is closed after it.
  void leave() { leaving_ = true; }
  std::size_t connections() const { return conns_.size(); }
  std::uint64_t malformed() const { return malformed_; }

 private:
  struct Conn;
  void accept();
  void readable(std::shared_ptr<Conn> const& conn);
  void fault(std::shared_ptr<Conn> const& conn, int status, std::string const& reason);
  void done(std::shared_ptr<Conn> conn);
  void drop(std::shared_ptr<Conn> const& conn);
  Conn* find(std::uint64_t id) const;

  std::string address_;
  Limits limits_;
  Events events_;
  QTcpServer* server_;
  std::uint64_t next_ = 1;
  std::uint64_t malformed_ = 0;
  bool leaving_ = false;
  std::map<Conn const*, std::shared_ptr<Conn>> conns_;
  std::map<std::uint64_t, std::shared_ptr<Conn>> byId_;
};

/// Splits ip:port. Throws door::Error.
std::pair<std::string, std::uint16_t> splitAddress(std::string const& address);

}  // namespace corkward::door
