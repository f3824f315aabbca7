#pragma once

/// Who of the routers warms a cold replica.

#include <cstdint>
#include <string>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Asks for, or gives back, the warming duty of a cold replica.
struct WarmAsk {
  core::Tick tick = 0;
  std::string replica;
  std::string link;
  std::uint64_t inc = 0;
  bool release = false;
  std::string successor;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("r", replica);
    f("l", link);
    f("i", inc);
    f("e", release);
    f("s", successor);
  }
};

/// One member's answer to a WarmAsk.
struct WarmGrant {
  core::Tick tick = 0;
  std::string replica;
  std::string member;
  bool ok = false;
  std::uint64_t term = 0;
  std::string holder;
  template <class F>
  void each(F& f) {
    f("t", tick);
    f("r", replica);
    f("m", member);
    f("o", ok);
    f("e", term);
    f("h", holder);
  }
};

}  // namespace corkward::transport
