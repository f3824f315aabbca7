#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include <corkward/core/memory_account.h>
#include <corkward/core/types.h>

namespace corkward::programs {

/// Bounds the memory that the requests of a process hold together for what they cannot forward yet: heads of event
/// streams without an event, and events which their replicas have not completed. When that exceeds a part of the
/// account, the response that has held much for longest is to be given up: a replica that completes its events begins
/// new ones all the time.
class HeldResponses {
 public:
  /// Responses that hold no more than this are never given up.
  static constexpr std::uint64_t shortBytes = 16U << 10;

  /// The account must outlive this object.
  explicit HeldResponses(core::MemoryAccount const& account) : account_(account) {}

  /// States how much memory a request holds.
  void update(std::uint64_t request, std::uint64_t bytes, core::Milliseconds now);
  void remove(std::uint64_t request);
  /// Returns the request whose response is to be given up; std::nullopt while all together stay within their bound.
  std::optional<std::uint64_t> excess() const;
  /// Bytes that may be held together.
  std::uint64_t limit() const;

 private:
  struct Held {
    std::uint64_t bytes = 0;
    /// Time at which the request began to hold more than shortBytes.
    core::Milliseconds since = 0;
  };

  core::MemoryAccount const& account_;
  /// Requests that hold more than shortBytes, by their ids.
  std::unordered_map<std::uint64_t, Held> held_;
  std::uint64_t heldBytes_ = 0;
};

}  // namespace corkward::programs
