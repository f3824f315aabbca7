#pragma once

/// Log events of the consensus package; docs/operations.md lists them with their fields.

#include <corkward/core/log_event.h>

namespace corkward::consensus::events {

/// A member starts the Paxos prepare phase in order to become the owner of a key. Fields: key, ballot.
inline constexpr core::EventName electionStarted{"election-started", "campaign"};
/// A majority has promised the ballot, so the member now owns the key. Fields: key, ballot.
inline constexpr core::EventName electionWon{"election-won", "owner"};
/// An owner or a candidate gives up the key. Fields: key, reason.
inline constexpr core::EventName stepDown{"step-down"};
/// A message contradicts a committed or accepted value and is ignored. Fields: key, reason.
inline constexpr core::EventName messageRejected{"message-rejected", "absurd-message"};
/// The founders have agreed on the first membership. Fields: members (their number).
inline constexpr core::EventName clusterBootstrapped{"cluster-bootstrapped", "found-cohort"};
/// A membership change that replaces one member is proposed. Fields: old and new (member ids), link (address of the new
/// member).
inline constexpr core::EventName memberReplaced{"replace-member"};
/// A membership change that adds one member is proposed. Fields: new (member id), link (its address).
inline constexpr core::EventName memberAdded{"add-member"};
/// A membership change that removes one member is proposed. Fields: old (member id), link (its address).
inline constexpr core::EventName memberRemoved{"member-removed", "strike-member"};
/// This member was removed from the membership and drops its state. Fields: member (its former id).
inline constexpr core::EventName removedFromMembership{"removed-from-membership", "struck-off"};
/// This member has caught up and votes from now on. Fields: member (its id).
inline constexpr core::EventName memberVotes{"member-votes"};
/// A disk stall begins or ends: the oldest pending write takes longer than ConsensusTuning::stallAfter, or that write
/// has completed. Fields: stalled (yes or no).
inline constexpr core::EventName diskStalled{"disk-stalled"};
/// A write to the disk has failed. This member does not vote again until it is restarted.
inline constexpr core::EventName diskFailed{"disk-failed"};

}  // namespace corkward::consensus::events
