#pragma once

#include <cstdint>

namespace corkward::consensus {

/// A safety mechanism of the registers that a test build may turn off, to check that the explorer finds its absence.
enum class Mechanism : std::uint8_t {
  /// A member rejects ballots lower than the one it promised.
  promiseCheck,
  /// A new owner first proposes the newest value that a majority has accepted.
  newestAccepted,
  /// A member replies only after its record is synced.
  syncBeforeAnswer,
  /// A read is answered only after a majority has confirmed the owner since the read began.
  readConfirmation,
  /// The next membership change waits until a majority has caught up under the present one.
  catchUpFirst,
  /// A new member votes only after it has copied the state of a majority.
  catchUpBeforeVote,
  /// A membership change needs majorities of the old and of the new membership.
  jointQuorum,
  /// Ballots from an older membership are rejected.
  membershipGuard,
};

/// Mechanisms that are off. Only builds with tests can turn one off: elsewhere all are on at compile time.
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
