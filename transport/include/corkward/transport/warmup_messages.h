#pragma once

/// Who of the routers warms a cold replica.

#include <cstdint>
#include <string>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Asks for, or gives back, the warming duty of a cold replica.
struct WarmupLeaseRequest {
  core::Milliseconds sentAt = 0;
  std::string replica;
  std::string link;
  std::uint64_t incarnation = 0;
  bool release = false;
  std::string successor;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("r", replica);
    f("l", link);
    f("i", incarnation);
    f("e", release);
    f("s", successor);
  }
};

/// One member's reply to a WarmupLeaseRequest.
struct WarmupLeaseGrant {
  core::Milliseconds requestSentAt = 0;
  std::string replica;
  std::string member;
  bool granted = false;
  std::uint64_t term = 0;
  std::string holder;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("r", replica);
    f("m", member);
    f("o", granted);
    f("e", term);
    f("h", holder);
  }
};

}  // namespace corkward::transport
