#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace corkward::core {

/// A pool of workers. Lock order in every process: the workers' queue lock is the last one taken,
/// and nothing is called while it is held.
class WorkerPool {
 public:
  explicit WorkerPool(unsigned count);
  ~WorkerPool();
  WorkerPool(WorkerPool const&) = delete;
  WorkerPool& operator=(WorkerPool const&) = delete;
  WorkerPool(WorkerPool&&) = delete;
  WorkerPool& operator=(WorkerPool&&) = delete;
  /// Queues a job; a job never throws.
  void run(std::function<void()> job);

 private:
  void loop();
  std::mutex lock_;
  std::condition_variable more_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace corkward::core
