#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <corkward/consensus/types.h>
#include <corkward/control/pending_calls.h>

namespace corkward::control {

/// The runtime invariants of core::Guarantee that a controller can check on its own. A violation is counted and logged;
/// it changes no decision.
class GuaranteeChecks {
 public:
  /// Revisions of a key rise.
  /// @param previous revision that was committed here before; nothing: none
  void checkCommitted(consensus::CommittedValue const& committed, std::optional<std::uint64_t> previous) const;
  /// No two changes are confirmed on one base.
  void checkConfirmed(consensus::CallCompleted const& completed, transport::OperatorCall const& call);
  /// A read shows nothing older than what was committed here when it arrived.
  void checkServed(PendingCall const& call, int status, QJsonObject const& body) const;

 private:
  struct ConfirmedChange {
    /// Base that the change named.
    std::string base;
    /// Revision that it became.
    std::uint64_t revision = 0;
  };

  /// Newest changes that were confirmed here, by key, oldest first.
  std::map<std::string, std::deque<ConfirmedChange>> confirmed_;
};

}  // namespace corkward::control
