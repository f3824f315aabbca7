#pragma once

#include <cstddef>

#include <corkward/core/types.h>
#include <corkward/http/server.h>

namespace corkward::programs {

/// Ends a process after SIGTERM. Requests in flight are completed, then the HTTP server is closed and the event loop
/// ends. At the time limit the event loop ends even if requests are still pending.
class GracefulShutdown {
 public:
  /// @param limit milliseconds after which the process ends with requests still pending
  /// @param minimum milliseconds for which new requests are still accepted, even if no request is pending
  explicit GracefulShutdown(core::Milliseconds limit, core::Milliseconds minimum = 0)
      : limit_(limit), minimum_(minimum) {}
  /// Starts the shutdown. Returns false if it was started before.
  bool begin();
  /// Ends the event loop if the shutdown is complete or its time limit is reached. Called on every timer event.
  /// @param pending work in flight besides the server's own requests
  void poll(http::Server& server, std::size_t pending);

 private:
  core::Milliseconds limit_;
  core::Milliseconds minimum_;
  /// Time limit of the shutdown by the boot clock; 0 until the shutdown begins.
  core::Milliseconds deadline_ = 0;
  /// Earliest end of the process by the boot clock; 0 until the shutdown begins.
  core::Milliseconds earliestEnd_ = 0;
};

}  // namespace corkward::programs
