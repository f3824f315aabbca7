#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <corkward/core/memory_account.h>
#include <corkward/core/types.h>

namespace corkward::programs {

/// Memory of a process whose settings state no limit, in bytes.
inline constexpr std::uint64_t defaultProcessBytes = 1024ULL << 20;

/// Returns the part of a process's memory that it may hold for clients, operators and peers. The rest is for the
/// process itself, its connections and the operating system's buffers.
/// @param processBytes memory of the process; 0 for defaultProcessBytes
std::uint64_t accountLimit(std::uint64_t processBytes);

/// Returns accountLimit() of the memory that the process may take: what is stated, or less where the operating system
/// allows less. Logs both.
/// @param statedBytes memory that the settings state; 0 for defaultProcessBytes
std::uint64_t accountLimitInForce(std::uint64_t statedBytes);

/// Returns a new account for a process with that memory, as far as the operating system allows it.
std::shared_ptr<core::MemoryAccount> makeMemoryAccount(std::uint64_t processBytes);

/// Makes the allocator return long buffers to the operating system as soon as they are freed. Called once at the start.
void returnFreedBuffers();

/// Returns freed memory to the operating system after the account was busy, and logs each such time.
class MemoryMonitor {
 public:
  explicit MemoryMonitor(std::shared_ptr<core::MemoryAccount> account) : account_(std::move(account)) {}
  /// Called on every timer event.
  void onTimer();
  /// Returns the account's figures in the Prometheus text format.
  std::string metrics() const;

 private:
  std::shared_ptr<core::MemoryAccount> account_;
  bool wasBusy_ = false;
  std::uint64_t busyTimes_ = 0;
  /// No line is logged before this time.
  core::Milliseconds nextLogAt_ = 0;
};

}  // namespace corkward::programs
