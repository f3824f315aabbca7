#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corkward::core {

/// What the fleet guarantees to callers and operators, as far as one process can check it while it runs. Unlike
/// CORKWARD_INVARIANT, whose break leaves no state to go on with, a violated guarantee is counted, logged and survived.
enum class Guarantee : std::size_t {
  /// A request that may run once is handed over again only after "not run".
  runsOnce,
  /// "Not run" is said of no request that may have run.
  notExecutedIsTrue,
  /// No request is handed to more replicas than its path allows.
  withinAttempts,
  /// A request goes only to a replica that is in use, of a pool that its path names in the newest configuration.
  allowedReplica,
  /// A replica is told of no more time than the caller has left.
  timeLeft,
  /// No revision that a process holds of a key falls during its life.
  revisionsRise,
  /// No revision of a key has two values.
  oneValuePerRevision,
  /// No two changes are confirmed on one revision of a key.
  oneChangePerRevision,
  /// What a controller serves as current is no older than what it had committed when it was asked.
  currentWhenServed,
  /// An answer that is finished has as many bytes as its head says.
  completeResponses,
  /// No request gets a second head.
  singleResponse,
  /// Events of one answer have rising ids.
  eventsInOrder,
};

inline constexpr std::size_t guaranteeCount = 12;

/// Name of a guarantee in logs and metrics.
char const* nameOf(Guarantee guarantee);

/// Counts of the calling thread, which owns the reducer that it drives. A process has one such thread; simulated runs
/// have one for each world.
class GuaranteeCounts {
 public:
  /// Counts of the calling thread.
  static GuaranteeCounts& ofThread();

  /// Counts one violation and logs it; of each guarantee only the first few are logged.
  void recordViolation(Guarantee guarantee, std::string const& detail);
  std::uint64_t count(Guarantee guarantee) const { return counts_.at(static_cast<std::size_t>(guarantee)); }
  std::uint64_t total() const;
  /// One line for each guarantee that was violated since the last call, with its first detail; forgets them.
  std::vector<std::string> takeNewViolations();

 private:
  std::array<std::uint64_t, guaranteeCount> counts_{};
  std::array<std::uint64_t, guaranteeCount> reported_{};
  std::array<std::string, guaranteeCount> details_{};
};

/// Every guarantee with its count as lines of a metrics page, also those that were never violated.
std::string guaranteeMetrics();

}  // namespace corkward::core

/// Checks a guarantee; the detail is built only when it is violated.
#define CORKWARD_GUARANTEE(guarantee, condition, detail)                                                \
  do {                                                                                                  \
    if (!(condition)) ::corkward::core::GuaranteeCounts::ofThread().recordViolation(guarantee, detail); \
  } while (false)
