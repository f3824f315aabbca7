#pragma once

#include <cstdint>

namespace corkward::consensus {

/// A mechanism of the registers that a test build may turn off, to see that its absence shows.
enum class Mechanism : std::uint8_t {
  /// A member refuses ballots under the one it promised.
  promiseCheck,
  /// A new owner first proposes the newest value that a majority has accepted.
  newestAccepted,
  /// A member answers after its record is synced.
  syncBeforeAnswer,
  /// A read is answered once a majority has confirmed the owner after the question began.
  readConfirmation,
  /// The next change of the membership waits until a majority has caught up with the present one.
  catchUpFirst,
  /// A newcomer votes after it has copied from a majority.
  catchUpBeforeVote,
  /// A change of the membership needs majorities of the old and of the new one.
  jointQuorum,
  /// Ballots of an older membership are refused.
  membershipGuard,
};

/// Mechanisms that are off. Only builds with tests can turn one off: elsewhere all are on at compile time.
class Switches {
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
