#pragma once

/// Proposer of one key, as in "Paxos Made Simple", section 2.2: it prepares a ballot and then proposes values under it.

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <corkward/consensus/types.h>
#include "acceptor.h"

namespace corkward::consensus {

/// A value that the owner has proposed under its ballot.
struct Proposal {
  /// Token of the call that this proposal executes, or 0 if no call waits for it.
  std::uint64_t token = 0;
  std::uint64_t revision = 0;
  QJsonObject value;
  /// HTTP status and body of the response to the call once the value is chosen.
  int status = 200;
  QJsonObject body;
  Milliseconds startedAt = 0;
  Milliseconds sentAt = 0;
  /// Ids of the members that accepted the value. While Mechanism::syncBeforeReply is on, each of these members has the
  /// value on its disk.
  std::set<std::string> acceptedBy;
  /// The membership that the value contains if the key is the membership key, else empty.
  Membership nextMembership;
};

/// State of the elections and proposals of one key. Performs no I/O: the Register that contains it sends the messages.
class Proposer {
 public:
  enum class Role : std::uint8_t {
    idle,
    /// Phase 1: a ballot was sent to the members, and a majority has not promised it yet.
    preparing,
    /// A majority has promised the ballot, so this member is the distinguished proposer.
    owner
  };

  /// Records a ballot number, so that the next election uses a higher one.
  void observeBallot(std::uint64_t number);
  /// Phase 1a: starts to prepare a ballot that is higher than every observed or promised one.
  void startElection(Ballot const& promised, std::string const& memberId, Milliseconds now);
  /// Returns true if the promise belongs to the ballot that is being prepared.
  bool awaitsPromise(transport::Promise const& promise) const;
  /// Records a promise (phase 1b). Returns true if a majority that includes this member has promised.
  bool recordPromise(transport::Promise const& promise, std::string const& selfId, Membership const& membership);
  /// Ends phase 1. Returns the promise with the newest accepted value, which must be proposed first. Returns
  /// std::nullopt if no promising member has accepted a value.
  std::optional<transport::Promise> becomeOwner(Milliseconds now);
  /// Phase 2a: starts a proposal. This member must own the key and have no other proposal in progress.
  void propose(Proposal proposal, Milliseconds now);
  /// Returns true if the reply belongs to the current proposal.
  bool awaitsAccepted(transport::Accepted const& accepted) const;
  /// Records an acceptance (phase 2b). Returns true if the value is chosen: a majority of the members has accepted it
  /// and, with `jointQuorum`, also a majority of the proposed membership (Ongaro, "Consensus: Bridging Theory and
  /// Practice", section 4.3).
  bool recordAccepted(std::string const& memberId, Membership const& membership, bool jointQuorum);
  /// Removes and returns the proposal.
  Proposal takeProposal();
  /// Gives up the key. Returns the interrupted proposal, or std::nullopt if there was none.
  std::optional<Proposal> stepDown();

  /// Detaches the waiting call from the proposal after a response was sent to the call. The proposal continues.
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
  /// Invariant: used by no other member, since it contains this member's id, and higher with each election.
  Ballot ballot_;
  /// Invariant: at least as high as the number of every ballot that this member has observed for the key.
  std::uint64_t highestBallotNumber_ = 0;
  Milliseconds prepareSentAt_ = 0;
  Milliseconds roleSince_ = 0;
  /// Promises for ballot_, by member id. They form a majority when the role becomes owner. Empty while the role is
  /// idle.
  std::map<std::string, transport::Promise> promises_;
  /// Invariant: set only while the role is owner. There is one proposal at a time, so that revisions are chosen in
  /// order.
  std::optional<Proposal> proposal_;
};

}  // namespace corkward::consensus
