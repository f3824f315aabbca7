#pragma once

#include <cstddef>

#include <corkward/core/types.h>
#include <corkward/http/server.h>

namespace corkward::programs {

/// The end of a process after SIGTERM: requests in flight are completed, then the HTTP server is closed and the event
/// loop ends; or at the time limit, whatever is still pending.
class GracefulShutdown {
 public:
  /// @param limit milliseconds after which the process ends with requests still pending
  /// @param minimum milliseconds for which new callers are still served, though nothing is pending
  explicit GracefulShutdown(core::Milliseconds limit, core::Milliseconds minimum = 0)
      : limit_(limit), minimum_(minimum) {}
  /// Starts the shutdown. False when it had been started before.
  bool begin();
  /// Ends the event loop when the shutdown is complete or out of time; called on every timer event.
  /// @param pending work in flight besides the server's own requests
  void poll(http::Server& server, std::size_t pending);

 private:
  core::Milliseconds limit_;
  core::Milliseconds minimum_;
  /// Boot clock; 0 until the shutdown begins.
  core::Milliseconds deadline_ = 0;
  core::Milliseconds earliest_ = 0;
};

}  // namespace corkward::programs
