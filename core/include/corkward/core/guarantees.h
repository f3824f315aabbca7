#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corkward::core {

/// Guarantees of the fleet to callers and operators that one process can check while it runs. A violated guarantee is
/// counted and logged, and the process goes on. This differs from CORKWARD_INVARIANT, after whose violation the state
/// of the process cannot be relied on.
enum class Guarantee : std::size_t {
  /// A request that may be executed only once is dispatched again only after the response "not run".
  runsOnce,
  /// The response "not run" is never given for a request that may have been executed.
  notExecutedIsTrue,
  /// No request is dispatched to more replicas than its path allows.
  withinAttempts,
  /// A request is dispatched only to a replica in use, of a pool that its path names in the newest configuration.
  allowedReplica,
  /// The deadline that is sent to a replica is not later than the caller's deadline.
  timeLeft,
  /// The revision of a key never decreases in a process.
  revisionsRise,
  /// A revision of a key has only one value.
  oneValuePerRevision,
  /// At most one change that is based on the same revision of a key is confirmed.
  oneChangePerRevision,
  /// What a controller serves as the current value is at least as new as what was committed when the request arrived.
  currentWhenServed,
  /// A complete response has as many bytes as its head announces.
  completeResponses,
  /// No request gets more than one response head.
  singleResponse,
  /// The events of one response have increasing ids.
  eventsInOrder,
};

inline constexpr std::size_t guaranteeCount = 12;

/// Returns the name of a guarantee in logs and metrics.
char const* nameOf(Guarantee guarantee);

/// Counts of violated guarantees on one thread. A process checks guarantees only on the thread that runs its reducer. A
/// simulation runs each simulated cluster on a thread of its own, so the counts of clusters do not mix.
class GuaranteeCounts {
 public:
  /// Returns the counts of the calling thread.
  static GuaranteeCounts& ofThread();

  /// Counts one violation and logs it. Only the first violations of each guarantee are logged.
  void recordViolation(Guarantee guarantee, std::string const& detail);
  std::uint64_t count(Guarantee guarantee) const { return counts_.at(static_cast<std::size_t>(guarantee)); }
  std::uint64_t total() const;
  /// Returns one line for each guarantee that was violated since the last call, with the detail of the first violation.
  std::vector<std::string> takeNewViolations();

 private:
  std::array<std::uint64_t, guaranteeCount> counts_{};
  /// Counts as of the last call of takeNewViolations.
  std::array<std::uint64_t, guaranteeCount> reported_{};
  /// Details of the first violations since that call.
  std::array<std::string, guaranteeCount> details_{};
};

/// Returns the counts of all guarantees, including those that were never violated, as lines of a metrics page.
std::string guaranteeMetrics();

}  // namespace corkward::core

/// Checks a guarantee. The detail is evaluated only if the guarantee is violated.
#define CORKWARD_GUARANTEE(guarantee, condition, detail)                                                \
  do {                                                                                                  \
    if (!(condition)) ::corkward::core::GuaranteeCounts::ofThread().recordViolation(guarantee, detail); \
  } while (false)
