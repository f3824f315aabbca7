#include <corkward/core/workers.h>

#include <string>
#include <system_error>
#include <utility>

#include <corkward/core/error.h>

namespace corkward::core {

WorkerPool::WorkerPool(unsigned count) {
  try {
    for (unsigned i = 0; i < count; ++i) threads_.emplace_back([this] { runJobs(); });
  } catch (std::system_error const& error) {
    stop();
    throw ResourceBusyError(std::string("cannot create a thread: ") + error.what());
  }
}

WorkerPool::~WorkerPool() {
  stop();
}

void WorkerPool::stop() {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

void WorkerPool::run(std::function<void()> job) {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  changed_.notify_one();
}

void WorkerPool::runJobs() {
  for (;;) {
    std::function<void()> job;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace corkward::core
