#include "process_memory.h"

#include <algorithm>
#include <malloc.h>

#include <corkward/core/log.h>

#include "clock.h"
#include "events.h"
#include "memory_limit.h"
#include "metrics_text.h"

namespace corkward::programs {

namespace {

/// Memory for which an account is sized where the operating system allows even less.
constexpr std::uint64_t leastProcessBytes = 32ULL << 20;
/// Part of a process's memory that the account may use.
constexpr std::uint64_t accountParts = 2;
/// Memory of a process that is not the account's: what it takes at rest, freed memory that the allocator has not
/// returned yet, and what one turn of the event loop takes before it is charged. A process with less than that beside
/// half of its memory has a smaller account.
constexpr std::uint64_t ownBytes = 48ULL << 20;
/// The account of a process with very little memory, as a part of it.
constexpr std::uint64_t minAccountParts = 8;
/// Buffers from this length on have a mapping of their own, which goes back when they are freed. Without the fixed
/// value the allocator raises its threshold when the first long buffer is freed, and keeps those that follow.
constexpr int mappedBufferBytes = 64 << 10;
/// Freed memory goes back to the operating system when the account has fallen by this much.
constexpr std::uint64_t returnedBytes = 4U << 20;
/// The account counts as calm again below this part of its limit.
constexpr std::uint64_t calmParts = 8;
/// Milliseconds between two lines about a busy account.
constexpr core::Milliseconds logInterval = 10000;

}  // namespace

std::uint64_t accountLimit(std::uint64_t processBytes) {
  std::uint64_t const bytes = processBytes == 0 ? defaultProcessBytes : processBytes;
  std::uint64_t const rest = bytes - std::min(bytes, ownBytes);
  return std::max(std::min(bytes / accountParts, rest), bytes / minAccountParts);
}

std::uint64_t accountLimitInForce(std::uint64_t statedBytes) {
  std::uint64_t const stated = statedBytes == 0 ? defaultProcessBytes : statedBytes;
  std::uint64_t const inForce = memoryWithin(stated, memoryLimits(), memoryUse());
  std::uint64_t const limit = accountLimit(std::max(inForce, leastProcessBytes));
  core::LogEvent const event{
      events::memoryLimit,
      {{"stated", std::to_string(stated)}, {"in-force", std::to_string(inForce)}, {"account", std::to_string(limit)}}};
  if (inForce < stated && statedBytes > 0)
    core::writeWarning(event);
  else
    core::writeLog(event);
  return limit;
}

std::shared_ptr<core::MemoryAccount> makeMemoryAccount(std::uint64_t processBytes) {
  return std::make_shared<core::MemoryAccount>(accountLimitInForce(processBytes));
}

void returnFreedBuffers() {
  // No other thread runs yet.
  ::mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);  // NOLINT(concurrency-mt-unsafe)
  ::mallopt(M_TRIM_THRESHOLD, mappedBufferBytes);  // NOLINT(concurrency-mt-unsafe)
  // Each further arena would reserve 64 MB of address space, and keep freed memory of its own.
  ::mallopt(M_ARENA_MAX, 1);  // NOLINT(concurrency-mt-unsafe)
}

void MemoryMonitor::onTimer() {
  if (account_->takeFall(returnedBytes) > 0) ::malloc_trim(0);
  if (account_->isBusy() && !wasBusy_) {
    wasBusy_ = true;
    ++busyTimes_;
    if (now() < nextLogAt_) return;
    nextLogAt_ = now() + logInterval;
    core::writeWarning(
        core::LogEvent{events::memoryBusy,
                       {{"used", std::to_string(account_->used())}, {"limit", std::to_string(account_->limit())}}});
    return;
  }
  if (!wasBusy_ || account_->used() > account_->limit() / calmParts) return;
  wasBusy_ = false;
}

std::string MemoryMonitor::metrics() const {
  using enum MetricType;
  return metricText("corkward_memory_account_bytes", gauge, account_->used()) +
         metricText("corkward_memory_account_limit_bytes", gauge, account_->limit()) +
         metricText("corkward_memory_account_peak_bytes", gauge, account_->peak()) +
         metricText("corkward_memory_account_busy_total", counter, busyTimes_);
}

}  // namespace corkward::programs
