#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <corkward/consensus/types.h>
#include <corkward/control/pending_calls.h>

namespace corkward::control {

/// Checks the runtime invariants of core::Guarantee that one controller can check on its own. A violation is counted
/// and logged, and changes no decision.
class GuaranteeChecks {
 public:
  /// Checks that the revisions of a key rise.
  /// @param previous revision that was committed at this controller before, if any
  void checkCommitted(consensus::CommittedValue const& committed, std::optional<std::uint64_t> previous) const;
  /// Checks that at most one of the changes of a key that name the same base is confirmed.
  void checkConfirmed(consensus::CallCompleted const& completed, transport::OperatorCall const& call);
  /// Checks that a read shows no revision older than the one committed at this controller when the read arrived.
  void checkServed(PendingCall const& call, int status, QJsonObject const& body) const;

 private:
  struct ConfirmedChange {
    /// Base that the change named in If-Match.
    std::string base;
    /// Revision that the change became.
    std::uint64_t revision = 0;
  };

  /// Newest changes that this controller confirmed, by key, oldest first.
  std::map<std::string, std::deque<ConfirmedChange>> confirmed_;
};

}  // namespace corkward::control
