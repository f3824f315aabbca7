#pragma once

/// Why a call fails and why an owner or candidate steps down; the only place that turns these reasons into text.

#include <cstdint>
#include <string>

#include <corkward/consensus/types.h>

namespace corkward::consensus {

/// Why a call is answered without its result.
enum class CallFailure : std::uint8_t {
  /// Not executed: this member is new, was removed, or its disk fails.
  memberCannotVote,
  /// Not executed: no majority was reached before the call timed out.
  noQuorum,
  /// Not executed: this member was removed from the membership.
  memberRemoved,
  /// A read whose ownership no majority confirmed.
  readNotConfirmed,
  /// Outcome unknown: ownership was lost while the change was being accepted.
  ownershipLost,
  /// Outcome unknown: no majority accepted the change before the call timed out.
  acceptTimeout,
};

/// The answer to a call that failed. Its status and texts stand on operators' pages, so they stay.
CallCompleted failedCall(std::uint64_t token, std::string const& key, CallFailure failure);

/// Why an owner or a candidate gives up a key.
enum class StepDownReason : std::uint8_t {
  /// This member's acceptor promised a higher ballot.
  promisedHigherBallot,
  /// Another member reports that it promised a higher ballot.
  peerPromisedHigherBallot,
  /// Another owner's accept request arrived.
  acceptedOtherOwner,
  /// No majority promised within the owner timeout.
  noQuorumPromised,
  diskStalled,
  diskFailed,
  handedOver,
  removedFromMembership,
};

/// The reason as it stands in the log.
char const* nameOf(StepDownReason reason);

}  // namespace corkward::consensus
