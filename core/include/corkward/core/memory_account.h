#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace corkward::core {

/// Size of something that an account is to hold: a request with a body that is read at once, one with a small body, or
/// one that takes much.
enum class HoldingSize { tiny, small, large };

/// The bytes that a process holds for others: what clients, operators and peers have sent and what waits to be sent to
/// them. One account is shared by all connections of a process, so that the sum is bounded, not only each part. Used on
/// one thread.
///
/// What is held together with a new holding stays within a part of the limit that depends on the size of the new one,
/// so that smaller requests always have room. Above `limit()`, holders must give bytes up.
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
  /// The most that may be in use together with a new holding of that size: seven eighths of the limit for a small one,
  /// three quarters for a large one.
  std::uint64_t boundOf(HoldingSize size) const {
    switch (size) {
      case HoldingSize::tiny:
        return limit_;
      case HoldingSize::small:
        return limit_ - limit_ / keptParts;
      case HoldingSize::large:
        return limit_ - limit_ / keptParts * 2;
    }
    return 0;
  }
  /// The most that may be in use together with a new large holding.
  std::uint64_t reservableBytes() const { return boundOf(HoldingSize::large); }
  /// Returns whether the bytes can be charged without exceeding the bound of a holding of that size.
  bool hasRoomFor(std::uint64_t bytes, HoldingSize size = HoldingSize::tiny) const {
    return used_ <= boundOf(size) && bytes <= boundOf(size) - used_;
  }
  /// Returns whether a large holding can be reserved now.
  bool canReserve(std::uint64_t bytes) const { return hasRoomFor(bytes, HoldingSize::large); }
  /// Adds a handler that is called each time that something is charged while the limit is exceeded. It may be called
  /// from anywhere, so that it must not change what is held.
  /// @param owner identifies the handler
  void addExceededHandler(void const* owner, std::function<void()> handler) {
    exceededHandlers_.emplace_back(owner, std::move(handler));
  }
  void removeExceededHandler(void const* owner) {
    std::erase_if(exceededHandlers_, [owner](auto const& entry) { return entry.first == owner; });
  }
  /// Releases bytes of one holder, as many as asked for or as many as it can.
  using Reclaimer = std::function<void(std::uint64_t bytes)>;
  /// Adds a holder that can be asked to release what it holds.
  /// @param owner identifies the holder
  void addReclaimer(void const* owner, Reclaimer reclaimer) { reclaimers_.emplace_back(owner, std::move(reclaimer)); }
  void removeReclaimer(void const* owner) {
    std::erase_if(reclaimers_, [owner](auto const& entry) { return entry.first == owner; });
  }
  /// Asks holders to release bytes, one after the other, until a holding of that size has room. To be called from the
  /// event loop only, while no holder is at work. Returns whether the holding has room.
  bool reclaim(std::uint64_t bytes, HoldingSize size) {
    std::uint64_t const bound = boundOf(size);
    if (bytes > bound) return false;
    for (auto const& [owner, reclaimer] : reclaimers_) {
      if (hasRoomFor(bytes, size)) return true;
      reclaimer(used_ + bytes - bound);
    }
    return hasRoomFor(bytes, size);
  }
  /// Returns how much less is in use than at the most since the last call that returned at least `least`; 0 if it is
  /// less than that.
  std::uint64_t takeFall(std::uint64_t least) {
    std::uint64_t const fall = recentPeak_ - used_;
    if (fall < least) return 0;
    recentPeak_ = used_;
    return fall;
  }
  /// Returns whether less than half of the limit is left, so that buffers should be kept short.
  bool isBusy() const { return used_ > limit_ / 2; }
  bool isExceeded() const { return used_ > limit_; }

 private:
  friend class MemoryCharge;
  static constexpr std::uint64_t keptParts = 8;

  void add(std::uint64_t bytes) {
    used_ += bytes;
    peak_ = used_ > peak_ ? used_ : peak_;
    recentPeak_ = used_ > recentPeak_ ? used_ : recentPeak_;
    if (!isExceeded()) return;
    for (auto const& [owner, handler] : exceededHandlers_) handler();
  }
  void remove(std::uint64_t bytes) { used_ -= bytes; }

  std::uint64_t limit_;
  std::uint64_t used_ = 0;
  std::uint64_t peak_ = 0;
  std::uint64_t recentPeak_ = 0;
  std::vector<std::pair<void const*, std::function<void()>>> exceededHandlers_;
  std::vector<std::pair<void const*, Reclaimer>> reclaimers_;
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
