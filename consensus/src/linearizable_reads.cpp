#include "linearizable_reads.h"

#include <utility>

#include "reasons.h"

namespace corkward::consensus {

void LinearizableReads::confirm(std::string const& key, std::string const& memberId, Milliseconds heartbeatSentAt,
                                Membership const& membership, Milliseconds timeout, Milliseconds now,
                                std::vector<CallCompleted>& completed) {
  std::vector<PendingRead> waiting;
  for (auto& read : pending_) {
    if (heartbeatSentAt > read.startedAt) read.confirmedBy.insert(memberId);
    if (membership.hasMajority(read.confirmedBy))
      completed.push_back(CallCompleted{read.token, key, 0, read.status, read.body});
    else if (now - read.startedAt > timeout)
      completed.push_back(failedCall(read.token, key, CallFailure::readNotConfirmed));
    else
      waiting.push_back(std::move(read));
  }
  pending_ = std::move(waiting);
}

void LinearizableReads::abort(std::string const& key, std::vector<CallCompleted>& completed) {
  for (auto const& read : pending_) completed.push_back(failedCall(read.token, key, CallFailure::readNotConfirmed));
  pending_.clear();
}

void LinearizableReads::addTo(Fingerprint& fingerprint) const {
  for (auto const& read : pending_) {
    fingerprint.add(read.token);
    fingerprint.add(read.confirmedBy);
    fingerprint.addTime(read.startedAt);
  }
}

}  // namespace corkward::consensus
