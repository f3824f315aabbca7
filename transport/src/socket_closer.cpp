#include "socket_closer.h"

#include <chrono>
#include <nng/nng.h>
#include <thread>
#include <utility>

namespace corkward::transport {

namespace {

/// How long the destructor waits for pending closes. A close takes some milliseconds, unless it never returns.
constexpr std::chrono::milliseconds drainTimeout{1000};

}  // namespace

SocketCloser::SocketCloser(CloseSocket closeSocket) : state_(std::make_shared<State>()) {
  std::thread([state = state_, closeSocket = std::move(closeSocket)] { run(state, closeSocket); }).detach();
}

SocketCloser::~SocketCloser() {
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->stopping = true;
  state_->changed.notify_all();
  state_->changed.wait_for(lock, drainTimeout, [this] { return state_->pending.empty(); });
}

void SocketCloser::close(std::uint32_t socket, std::shared_ptr<void> keepAlive) {
  std::lock_guard<std::mutex> const lock(state_->mutex);
  state_->pending.push_back(PendingClose{socket, std::move(keepAlive)});
  state_->changed.notify_all();
}

void SocketCloser::closeNngSocket(std::uint32_t socket) {
  nng_socket handle;
  handle.id = socket;
  nng_close(handle);
}

void SocketCloser::run(std::shared_ptr<State> const& state, CloseSocket const& closeSocket) {
  std::unique_lock<std::mutex> lock(state->mutex);
  while (true) {
    state->changed.wait(lock, [&state] { return state->stopping || !state->pending.empty(); });
    if (state->pending.empty()) return;
    std::uint32_t const socket = state->pending.front().socket;
    lock.unlock();
    closeSocket(socket);
    lock.lock();
    state->pending.pop_front();
    state->changed.notify_all();
  }
}

}  // namespace corkward::transport
