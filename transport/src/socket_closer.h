#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace corkward::transport {

/// Closes nng sockets on a thread of its own. nng_close waits until the library has freed the socket's connections,
/// and that may take for ever: the library's reaping thread (nng 1.5.2) can wait for a callback that never comes, which
/// was seen when peers close at the same moment. Neither the event loop nor the end of the process may wait for that.
class SocketCloser {
 public:
  /// Closes one socket; may block. Replaced in tests.
  using CloseSocket = std::function<void(std::uint32_t)>;

  explicit SocketCloser(CloseSocket closeSocket = closeNngSocket);
  /// Waits for the closes that are pending, for `drainTimeout` at the most. What is not closed by then is left to the
  /// end of the process.
  ~SocketCloser();
  SocketCloser(SocketCloser const&) = delete;
  SocketCloser& operator=(SocketCloser const&) = delete;
  SocketCloser(SocketCloser&&) = delete;
  SocketCloser& operator=(SocketCloser&&) = delete;

  /// Closes the socket soon. Never blocks.
  /// @param keepAlive what nng's callbacks write to until the socket is closed
  void close(std::uint32_t socket, std::shared_ptr<void> keepAlive = nullptr);

  static void closeNngSocket(std::uint32_t socket);

 private:
  struct PendingClose {
    std::uint32_t socket = 0;
    std::shared_ptr<void> keepAlive;
  };
  /// Shared with the thread, which may outlive the closer when a close never returns.
  struct State {
    std::mutex mutex;
    std::condition_variable changed;
    /// In the order of the calls; the front one may be under way.
    std::deque<PendingClose> pending;
    bool stopping = false;
  };
  static void run(std::shared_ptr<State> const& state, CloseSocket const& closeSocket);

  std::shared_ptr<State> state_;
};

}  // namespace corkward::transport
