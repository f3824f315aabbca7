#pragma once

#include <cstdint>
#include <utility>

namespace corkward::core {

/// The bytes that a process holds for others: what clients, operators and peers have sent and what waits to be sent to
/// them. One account is shared by all connections of a process, so that the sum is bounded, not only each part. Used on
/// one thread.
///
/// Two thresholds bound what is held. Holdings that are announced before they arrive (reservations) are accepted only
/// up to `reservableBytes()`, so that small requests always have room. Above `limit()`, holders must give bytes up.
class MemoryAccount {
 public:
  static constexpr std::uint64_t unlimited = UINT64_MAX;

  /// @param limit most bytes to hold
  explicit MemoryAccount(std::uint64_t limit = unlimited) : limit_(limit) {}

  /// Replaces the limit. What is held already stays charged, also if it is more than the new limit.
  void setLimit(std::uint64_t limit) { limit_ = limit; }
  std::uint64_t limit() const { return limit_; }
  std::uint64_t used() const { return used_; }
  /// The most that was held at a time.
  std::uint64_t peak() const { return peak_; }
  /// The most that may be in use together with a new reservation.
  std::uint64_t reservableBytes() const { return limit_ / reservableParts * (reservableParts - 1); }
  /// Returns whether the bytes can be reserved now.
  bool canReserve(std::uint64_t bytes) const {
    return used_ <= reservableBytes() && bytes <= reservableBytes() - used_;
  }
  /// Returns whether the bytes can be charged without exceeding the limit.
  bool hasRoomFor(std::uint64_t bytes) const { return used_ <= limit_ && bytes <= limit_ - used_; }
  /// Returns whether less than half of the limit is left, so that buffers should be kept short.
  bool isBusy() const { return used_ > limit_ / 2; }
  bool isExceeded() const { return used_ > limit_; }

 private:
  friend class MemoryCharge;
  /// A quarter of the limit is kept for small requests.
  static constexpr std::uint64_t reservableParts = 4;

  void add(std::uint64_t bytes) {
    used_ += bytes;
    peak_ = used_ > peak_ ? used_ : peak_;
  }
  void remove(std::uint64_t bytes) { used_ -= bytes; }

  std::uint64_t limit_;
  std::uint64_t used_ = 0;
  std::uint64_t peak_ = 0;
};

/// The bytes that one holder has charged to an account. They are released when the charge is destroyed, so that the
/// account's sum returns to zero with its holders. The account must outlive the charge.
class MemoryCharge {
 public:
  explicit MemoryCharge(MemoryAccount& account) : account_(&account) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge const&) = delete;
  MemoryCharge& operator=(MemoryCharge const&) = delete;
  MemoryCharge(MemoryCharge&& other) noexcept : account_(other.account_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this == &other) return *this;
    set(0);
    account_ = other.account_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  /// Replaces the number of bytes that are charged.
  void set(std::uint64_t bytes) {
    if (bytes > bytes_)
      account_->add(bytes - bytes_);
    else
      account_->remove(bytes_ - bytes);
    bytes_ = bytes;
  }
  std::uint64_t bytes() const { return bytes_; }
  MemoryAccount& account() const { return *account_; }

 private:
  MemoryAccount* account_;
  std::uint64_t bytes_ = 0;
};

}  // namespace corkward::core
