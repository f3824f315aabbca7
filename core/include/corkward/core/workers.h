#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace corkward::core {

/// A pool of worker threads. Lock order in every process: the lock of the job queue is acquired after all other locks.
/// No job runs and no other lock is acquired while it is held.
class WorkerPool {
 public:
  /// Throws ResourceBusyError if the system creates no further thread at this moment.
  /// @param count number of threads
  explicit WorkerPool(unsigned count);
  /// Runs the queued jobs and waits for them.
  ~WorkerPool();
  WorkerPool(WorkerPool const&) = delete;
  WorkerPool& operator=(WorkerPool const&) = delete;
  WorkerPool(WorkerPool&&) = delete;
  WorkerPool& operator=(WorkerPool&&) = delete;
  /// Queues a job, which must not throw.
  void run(std::function<void()> job);

 private:
  void runJobs();
  /// Lets the threads run the queued jobs, and waits for them.
  void stop();
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace corkward::core
