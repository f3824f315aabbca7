#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "../src/socket_closer.h"

using corkward::transport::SocketCloser;

namespace {

/// Records which sockets were closed. Each close blocks until `gate` is set.
struct RecordedCloses {
  std::mutex mutex;
  std::vector<std::uint32_t> sockets;
  std::promise<void> gate;
  std::shared_future<void> opened = gate.get_future().share();

  std::vector<std::uint32_t> closed() {
    std::lock_guard<std::mutex> const lock(mutex);
    return sockets;
  }
};

SocketCloser::CloseSocket recordingClose(std::shared_ptr<RecordedCloses> const& closes) {
  return [closes](std::uint32_t socket) {
    closes->opened.wait();
    std::lock_guard<std::mutex> const lock(closes->mutex);
    closes->sockets.push_back(socket);
  };
}

}  // namespace

TEST_CASE("the destructor returns after all sockets were closed in order") {
  auto const closes = std::make_shared<RecordedCloses>();
  closes->gate.set_value();
  {
    SocketCloser closer(recordingClose(closes));
    for (std::uint32_t socket = 1; socket <= 3; ++socket) closer.close(socket);
  }
  CHECK(closes->closed() == std::vector<std::uint32_t>{1, 2, 3});
}

TEST_CASE("a close that never returns blocks neither close() nor the destructor") {
  auto const closes = std::make_shared<RecordedCloses>();
  auto const began = std::chrono::steady_clock::now();
  {
    SocketCloser closer(recordingClose(closes));
    closer.close(1);
    closer.close(2);
  }
  auto const took = std::chrono::steady_clock::now() - began;
  CHECK(closes->closed().empty());
  CHECK(took >= std::chrono::milliseconds(900));
  CHECK(took < std::chrono::seconds(10));
  closes->gate.set_value();
  // The thread goes on after the SocketCloser is destroyed.
  while (closes->closed().size() < 2) std::this_thread::yield();
  CHECK(closes->closed() == std::vector<std::uint32_t>{1, 2});
}

TEST_CASE("the memory that callbacks write to is freed after its socket is closed") {
  auto const closes = std::make_shared<RecordedCloses>();
  auto counts = std::make_shared<int>(0);
  std::weak_ptr<int> const observed = counts;
  {
    SocketCloser closer(recordingClose(closes));
    closer.close(1, std::move(counts));
    CHECK_FALSE(observed.expired());
    closes->gate.set_value();
  }
  CHECK(observed.expired());
}
