#pragma once

#include <QObject>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include <corkward/transport/message.h>
#include <corkward/transport/connection_health.h>

namespace corkward::transport {

class SocketCloser;

/// Persistent nng connections between our own processes: one pull socket listens, one push socket per membership member
/// dials. Messages are handed over on the thread of the object that the link was made for. What cannot be queued is
/// dropped: every protocol above repeats itself. A connection, or an attempt at one, that met a cut or a machine that
/// is down may hang for as long again once that is over; ConnectionHealth says when it is closed and dialled anew.
class Link {
 public:
  /// Listens at ip:port; port 0 takes a free one. With `listen` it listens there, and is reached by others at `name`.
  /// Throws transport::Error.
  Link(QObject* owner, std::string const& name, std::function<void(Envelope)> arrived, std::string const& listen = "");
  ~Link();
  Link(Link const&) = delete;
  Link& operator=(Link const&) = delete;
  Link(Link&&) = delete;
  Link& operator=(Link&&) = delete;

  /// Address that others reach this process at.
  std::string const& address() const { return address_; }
  /// Queues a message; never blocks.
  void send(std::string const& to, Message const& message);
  /// Frames that were not an envelope.
  std::uint64_t malformedFrames() const { return malformedFrames_; }
  /// Connections that were closed and dialled anew.
  std::uint64_t redials() const { return redials_; }
  /// Connections to others that are open now.
  std::size_t connectionCount() const { return connections_.size(); }
  /// Closes and frees the connections to addresses that were neither sent to nor heard from for so long.
  void closeIdle(std::chrono::milliseconds idle);
  /// How long a connection that is neither sent on nor heard from is kept. Shuffles go to ever other contacts, so what
  /// a process holds grows with this and, once the fleet is larger than what is met within it, no more with the fleet.
  static constexpr std::chrono::seconds idleTimeout{20};

 private:
  using Clock = std::chrono::steady_clock;
  /// Written by nng's threads until the socket is closed.
  struct ConnectionCounts {
    std::atomic<int> connects{0};
    std::atomic<int> disconnects{0};
  };
  struct Connection {
    std::uint32_t socket = 0;
    Clock::time_point used;
    ConnectionHealth health;
    /// Of the present socket; a socket that is being closed keeps its own.
    std::shared_ptr<ConnectionCounts> counts;
    bool connected() const { return counts->connects > counts->disconnects; }
  };
  using Connections = std::map<std::string, Connection>;
  bool dial(std::string const& to, Connection& connection);
  void close(Connection const& connection);
  /// Closes the connection and dials anew; false when that failed and the connection was dropped.
  bool redial(Connections::iterator connection);
  void onReceived(std::string const& from, std::uint64_t run, std::uint32_t pipe);
  void receive();
  QObject* owner_;
  std::string address_;
  std::function<void(Envelope)> onMessage_;
  std::uint32_t pull_ = 0;
  std::uint64_t run_ = 0;
  Connections connections_;
  Clock::time_point lastIdleSweep_;
  std::uint64_t redials_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> malformedFrames_{0};
  std::thread thread_;
  std::unique_ptr<SocketCloser> closer_;
};

}  // namespace corkward::transport
