#include <corkward/control/guarantee_checks.h>

#include <corkward/config/config.h>
#include <corkward/core/guarantees.h>
#include <corkward/core/http_status.h>

#include "call_method.h"
#include "json_fields.h"

namespace corkward::control {

namespace {

/// Number of confirmed changes per key that are retained for comparison with later ones.
constexpr std::size_t rememberedChanges = 64;

/// Returns true if the call names its base version and at most one change of the key may be accepted on that base.
bool namesItsBase(std::string const& key, transport::OperatorCall const& call) {
  return key == config::fleetConfigurationKey && !call.ifMatch.empty() && !call.dryRun;
}

bool isAccepted(int status) {
  return status == core::code(core::HttpStatus::ok) || status == core::code(core::HttpStatus::created);
}

}  // namespace

void GuaranteeChecks::checkCommitted(consensus::CommittedValue const& committed,
                                     std::optional<std::uint64_t> previous) const {
  CORKWARD_GUARANTEE(core::Guarantee::revisionsRise, !previous || committed.revision > *previous,
                     committed.key + ": the committed revision does not rise: " + std::to_string(committed.revision));
}

void GuaranteeChecks::checkConfirmed(consensus::CallCompleted const& completed, transport::OperatorCall const& call) {
  bool const isConfirmed = completed.revision != 0 && isAccepted(completed.status);
  if (!isConfirmed || !namesItsBase(completed.key, call)) return;
  std::deque<ConfirmedChange>& changes = confirmed_[completed.key];
  for (ConfirmedChange const& other : changes)
    CORKWARD_GUARANTEE(core::Guarantee::oneChangePerRevision,
                       other.base != call.ifMatch || other.revision == completed.revision,
                       completed.key + ": revisions " + std::to_string(other.revision) + " and " +
                           std::to_string(completed.revision) + " are both based on " + call.ifMatch);
  changes.push_back(ConfirmedChange{call.ifMatch, completed.revision});
  if (changes.size() > rememberedChanges) changes.pop_front();
}

void GuaranteeChecks::checkServed(PendingCall const& call, int status, QJsonObject const& body) const {
  bool const isRead = methodOf(call.call.method) == CallMethod::get && status == core::code(core::HttpStatus::ok) &&
                      body.contains(fields::revision);
  if (!isRead) return;
  auto const served = static_cast<std::uint64_t>(body.value(fields::revision).toInteger());
  CORKWARD_GUARANTEE(core::Guarantee::currentWhenServed, served >= call.revisionAtArrival,
                     call.call.path + ": revision " + std::to_string(served) + " is served although revision " +
                         std::to_string(call.revisionAtArrival) + " was committed when the read arrived");
}

}  // namespace corkward::control
