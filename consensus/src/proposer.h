#pragma once

/// Proposer of one key, as in "Paxos Made Simple", section 2.2: prepare a ballot, have values accepted under it.

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <corkward/consensus/types.h>
#include "acceptor.h"

namespace corkward::consensus {

/// A value that the owner has members accept under its ballot.
struct Proposal {
  /// Call that this proposal executes; 0: none waits for it.
  std::uint64_t token = 0;
  std::uint64_t revision = 0;
  QJsonObject value;
  /// Answer to the call once the value is chosen.
  int status = 200;
  QJsonObject body;
  Milliseconds startedAt = 0;
  Milliseconds sentAt = 0;
  /// Ids of the members that accepted it; with syncBeforeAnswer each has it on its disk.
  std::set<std::string> acceptedBy;
  /// The members that the value names, when the key is the membership key; else empty.
  Membership nextMembership;
};

/// Elections and proposals of one key. Pure: the caller sends the messages.
class Proposer {
 public:
  enum class Role : std::uint8_t {
    idle,
    /// Phase 1: a ballot was sent to the members, and no majority has promised yet.
    preparing,
    /// A majority has promised the ballot: this member is the distinguished proposer.
    owner
  };

  /// Notes a ballot number, so that the next election uses a higher one.
  void observeBallot(std::uint64_t number);
  /// Phase 1a: begins to prepare a ballot higher than all that were seen or promised.
  void startElection(Ballot const& promised, std::string const& memberId, Milliseconds now);
  /// Whether the reply belongs to the ballot that is being prepared.
  bool awaitsPromise(transport::Promise const& promise) const;
  /// Phase 1b arrived. Returns true when a majority, this member included, has promised.
  bool recordPromise(transport::Promise const& promise, std::string const& selfId, Membership const& membership);
  /// Ends phase 1. Returns the newest value that the promising members have accepted: it must be proposed first.
  std::optional<transport::Promise> becomeOwner(Milliseconds now);
  /// Phase 2a: starts a proposal. The proposer must own the key and have no other proposal.
  void propose(Proposal proposal, Milliseconds now);
  /// Whether the reply belongs to the current proposal.
  bool awaitsAccepted(transport::Accepted const& accepted) const;
  /// Phase 2b arrived. Returns true when the value is chosen: a majority of the members, and with `jointQuorum` also
  /// one of the proposed membership, has accepted it (Ongaro, "Consensus: Bridging Theory and Practice", section 4.3).
  bool recordAccepted(std::string const& memberId, Membership const& membership, bool jointQuorum);
  /// The proposal, which is removed.
  Proposal takeProposal();
  /// Gives up the key. Returns the proposal that this interrupts.
  std::optional<Proposal> stepDown();

  /// Forgets the call that waits for the proposal, once its caller was answered; the proposal goes on.
  void detachCall() { proposal_->token = 0; }
  void markPrepareSent(Milliseconds now) { prepareSentAt_ = now; }
  void markAcceptSent(Milliseconds now) { proposal_->sentAt = now; }

  Role role() const { return role_; }
  bool isIdle() const { return role_ == Role::idle; }
  bool isPreparing() const { return role_ == Role::preparing; }
  bool isOwner() const { return role_ == Role::owner; }
  Ballot const& ballot() const { return ballot_; }
  std::optional<Proposal> const& proposal() const { return proposal_; }
  std::map<std::string, transport::Promise> const& promises() const { return promises_; }
  Milliseconds prepareSentAt() const { return prepareSentAt_; }
  Milliseconds roleSince() const { return roleSince_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  Role role_ = Role::idle;
  /// Invariant: this member's alone, since it contains its id, and rises with each election.
  Ballot ballot_;
  /// Invariant: at least as high as the number of every ballot that this member has seen of the key.
  std::uint64_t highestBallotNumber_ = 0;
  Milliseconds prepareSentAt_ = 0;
  Milliseconds roleSince_ = 0;
  /// Promises of ballot_, by member id. Complete before the role becomes owner; empty when idle.
  std::map<std::string, transport::Promise> promises_;
  /// Invariant: set only while the role is owner; one at a time, so that revisions are chosen in order.
  std::optional<Proposal> proposal_;
};

}  // namespace corkward::consensus
