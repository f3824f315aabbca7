#pragma once

#include <cstdint>

namespace corkward::consensus {

/// A safety mechanism of the registers. A test build can turn one off to check that the explorer, which searches the
/// reachable states for violations, detects that the mechanism is missing.
enum class Mechanism : std::uint8_t {
  /// A member rejects ballots lower than the one it promised.
  promiseCheck,
  /// A new owner first proposes the newest value that the promising majority reports as accepted.
  newestAccepted,
  /// A member sends a promise or an acceptance only after its acceptor record is synced to disk.
  syncBeforeReply,
  /// An owner answers a read only after a majority has confirmed its ownership since the read began.
  readConfirmation,
  /// The next membership change waits until a majority has caught up under the current membership.
  catchUpFirst,
  /// A new member votes only after it has copied snapshots from a majority of the other members.
  catchUpBeforeVote,
  /// A membership change is chosen only when a majority of the old membership and a majority of the new membership
  /// accept it.
  jointQuorum,
  /// Members reject prepare and accept requests that were sent under an older membership.
  membershipGuard,
};

/// The mechanisms that are turned off. Only builds with CORKWARD_TESTS can turn one off; in other builds all mechanisms
/// are always on, which is known at compile time.
class MechanismSwitches {
 public:
#ifdef CORKWARD_TESTS
  void turnOff(Mechanism mechanism) {
    off_ |= bit(mechanism);
  }
  bool off(Mechanism mechanism) const {
    return (off_ & bit(mechanism)) != 0;
  }

 private:
  static std::uint32_t bit(Mechanism mechanism) {
    return 1U << static_cast<unsigned>(mechanism);
  }
  std::uint32_t off_ = 0;
#else
  static constexpr bool off(Mechanism) {
    return false;
  }
#endif
};

}  // namespace corkward::consensus
