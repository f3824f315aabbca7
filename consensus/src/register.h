#pragma once

/// The register of one key at one member: its acceptor, its proposer, its known owner and its queued calls.

#include <cstdint>
#include <string>

#include <corkward/consensus/types.h>
#include "acceptor.h"
#include "call_queue.h"
#include "fingerprint.h"
#include "linearizable_reads.h"
#include "owner_monitor.h"
#include "proposer.h"
#include "reasons.h"
#include "records.h"

namespace corkward::consensus {

class EventContext;
class Persistence;

/// Handles the messages, calls and timers of one key.
class Register {
 public:
  explicit Register(std::string key) : key_(std::move(key)) {}

  /// Sets the state that was read from the disk.
  void restore(EventContext& context, records::AcceptorState const& state);
  /// Accepts the first membership of the cluster unless a value was accepted before. Each founder does this without a
  /// proposal, since all founders derive the same value.
  void acceptFirstMembership(EventContext& context, Membership const& membership);
  /// Adopts another member's promised ballot and accepted value if they are newer than those of this member.
  void mergeSnapshot(EventContext& context, transport::RecordSlot const& slot);

  /// Queues a call, and starts an election if no member owns the key.
  void submit(EventContext& context, transport::OperatorCall const& call, CallValidity validity);
  /// Removes a queued call that the validator has not evaluated yet.
  void cancel(std::uint64_t token) { queuedCalls_.cancel(token); }
  void failQueuedCalls(EventContext& context, CallFailure failure);
  /// Starts a proposal. This member must own the key and have no other proposal in progress.
  void propose(EventContext& context, Proposal proposal);
  /// Gives up the key if this member owns it or is a candidate for it.
  void stepDown(EventContext& context, StepDownReason reason);

  /// @param fromOldMembership true if the sender's membership is older than allowed, so that the request is rejected
  void onPrepare(EventContext& context, std::string const& from, transport::Prepare const& prepare,
                 bool fromOldMembership);
  void onPromise(EventContext& context, transport::Promise const& promise);
  /// @param fromOldMembership as for onPrepare
  void onAccept(EventContext& context, std::string const& from, transport::Accept const& accept,
                bool fromOldMembership);
  void onAccepted(EventContext& context, transport::Accepted const& accepted);
  void onHandover(EventContext& context, transport::Handover const& handover);
  void onTimer(EventContext& context);
  void observeBallot(Ballot const& ballot) { proposer_.observeBallot(ballot.number); }
  /// Records that a heartbeat's sender claims to own the key. Returns false if this member has promised a higher
  /// ballot.
  bool observeOwner(Ballot const& claimed, Milliseconds now);
  /// Handles the report that a member has promised a higher ballot than this owner's ballot.
  void onHigherBallot(EventContext& context, std::uint64_t ballotNumber);
  /// See LinearizableReads::confirm. Does nothing unless this member owns the key.
  void confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt);

  /// Returns the link address of the member that owns the key, or an empty string if no live owner is known.
  std::string ownerLink(Membership const& membership, Member const& self, Milliseconds ownerTimeout,
                        Milliseconds now) const;
  Acceptor const& acceptor() const { return acceptor_; }
  Proposer const& proposer() const { return proposer_; }
  /// Returns the number of the ballot with which this member owns the key, or 0 if it does not own it.
  std::uint64_t ownedBallot() const { return proposer_.isOwner() ? proposer_.ballot().number : 0; }
  bool hasQueuedCalls() const { return !queuedCalls_.empty(); }
  /// Ticket of the latest write of the acceptor's state, or 0 if it was never written.
  std::uint64_t ticket() const { return ticket_; }
  void addTo(Fingerprint& fingerprint, Persistence const& persistence) const;

 private:
  void startElection(EventContext& context);
  void sendPrepare(EventContext& context, Member const& member);
  void becomeOwner(EventContext& context);
  void sendAccept(EventContext& context);
  void onChosen(EventContext& context);
  /// Evaluates queued calls until one of them is being proposed or the queue is empty.
  void processQueue(EventContext& context);
  void startRead(EventContext& context, std::uint64_t token, Verdict const& verdict);
  bool isRejected(EventContext const& context, Ballot const& ballot, bool fromOldMembership) const;
  void persist(EventContext& context);

  void expireCalls(EventContext& context);
  void rerouteCalls(EventContext& context);
  void resend(EventContext& context);
  void electIfUnowned(EventContext& context);
  /// Returns true if no other live member precedes this member in the order of members for this key. The order is by a
  /// hash of key and member id.
  bool isPreferredCandidate(EventContext const& context) const;
  Milliseconds randomTimeAfter(EventContext& context, Milliseconds spread) const;
  /// Requests the committed value from the other members if some member has accepted a newer value than this member
  /// knows as committed.
  void requestNewerValue(EventContext& context);

  std::string key_;
  Acceptor acceptor_;
  /// See ticket().
  std::uint64_t ticket_ = 0;
  Proposer proposer_;
  OwnerMonitor ownerMonitor_;
  /// Calls that wait for evaluation. They are evaluated while this member owns the key. Otherwise they wait until this
  /// member wins an election or another owner is known, to which they are then forwarded.
  CallQueue queuedCalls_;
  /// Invariant: empty unless this member owns the key.
  LinearizableReads reads_;
  /// When the committed value was last requested.
  Milliseconds valueRequestedAt_ = 0;
};

}  // namespace corkward::consensus
