#pragma once

/// The reasons why a call fails and why an owner or candidate steps down. Only this module converts these reasons to
/// text.

#include <cstdint>
#include <string>

#include <corkward/consensus/types.h>

namespace corkward::consensus {

/// The reason why a call fails.
enum class CallFailure : std::uint8_t {
  /// The call was not executed: this member is new or was removed, or its disk is stalled or has failed.
  memberCannotVote,
  /// The call was not executed: no majority was reached before the call timed out.
  noQuorum,
  /// The call was not executed: this member was removed from the membership.
  memberRemoved,
  /// The read was not answered: no majority confirmed the ownership of the key.
  readNotConfirmed,
  /// The outcome is unknown: the ownership was lost while the change was being accepted.
  ownershipLost,
  /// The outcome is unknown: no majority accepted the change before the call timed out.
  acceptTimeout,
};

/// Returns the response to a failed call. Operators' documentation lists its status and texts, so they must not change.
CallCompleted failedCall(std::uint64_t token, std::string const& key, CallFailure failure);

/// The reason why an owner or a candidate gives up a key.
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

/// Returns the text of the reason in the log.
char const* nameOf(StepDownReason reason);

}  // namespace corkward::consensus
