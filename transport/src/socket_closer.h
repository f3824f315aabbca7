#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace corkward::transport {

/// Closes nng sockets on a separate thread. nng_close waits until the library has freed the socket's connections, which
/// may never happen: the reaping thread of nng 1.5.2 can wait for a callback that never comes. This was seen when two
/// peers close at the same moment. Neither the event loop nor the exit of the process may block on it.
class SocketCloser {
 public:
  /// Closes one socket and may block. Tests replace it.
  using CloseSocket = std::function<void(std::uint32_t)>;

  explicit SocketCloser(CloseSocket closeSocket = closeNngSocket);
  /// Waits for pending closes, for at most `drainTimeout`. Sockets that are not closed by then are closed by the exit
  /// of the process.
  ~SocketCloser();
  SocketCloser(SocketCloser const&) = delete;
  SocketCloser& operator=(SocketCloser const&) = delete;
  SocketCloser(SocketCloser&&) = delete;
  SocketCloser& operator=(SocketCloser&&) = delete;

  /// Queues the socket to be closed. Never blocks.
  /// @param keepAlive memory that nng's callbacks write to, freed after the socket is closed
  void close(std::uint32_t socket, std::shared_ptr<void> keepAlive = nullptr);

  static void closeNngSocket(std::uint32_t socket);

 private:
  struct PendingClose {
    std::uint32_t socket = 0;
    std::shared_ptr<void> keepAlive;
  };
  /// State shared with the thread, which may outlive the SocketCloser if a close never returns.
  struct State {
    std::mutex mutex;
    std::condition_variable changed;
    /// Sockets in the order of the calls. The first one may be closing at present.
    std::deque<PendingClose> pending;
    bool stopping = false;
  };
  static void run(std::shared_ptr<State> const& state, CloseSocket const& closeSocket);

  std::shared_ptr<State> state_;
};

}  // namespace corkward::transport
