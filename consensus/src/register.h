#pragma once

/// One key at one member: acceptor, proposer, owner and queued calls together.

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

  /// State that the disk returned.
  void restore(EventContext& context, records::AcceptorState const& state);
  /// Accepts the membership that founds the cluster, unless another value was accepted: each founder does so by itself,
  /// since all of them derive the same value.
  void acceptFirstMembership(EventContext& context, Membership const& membership);
  /// Takes over what another member has promised and accepted, as far as it is newer.
  void mergeSnapshot(EventContext& context, transport::RecordSlot const& slot);

  /// Queues a call, and starts an election if no member owns the key.
  void submit(EventContext& context, transport::OperatorCall const& call);
  void failQueuedCalls(EventContext& context, CallFailure failure);
  /// Starts a proposal. This member must own the key and have no other proposal.
  void propose(EventContext& context, Proposal proposal);
  /// Gives up the key, if this member owns or prepares it.
  void stepDown(EventContext& context, StepDownReason reason);

  /// @param fromOldMembership the sender goes by an older membership than is allowed: it is rejected
  void onPrepare(EventContext& context, std::string const& from, transport::Prepare const& prepare,
                 bool fromOldMembership);
  void onPromise(EventContext& context, transport::Promise const& promise);
  /// @param fromOldMembership as of onPrepare
  void onAccept(EventContext& context, std::string const& from, transport::Accept const& accept,
                bool fromOldMembership);
  void onAccepted(EventContext& context, transport::Accepted const& accepted);
  void onHandover(EventContext& context, transport::Handover const& handover);
  void onTimer(EventContext& context);
  void observeBallot(Ballot const& ballot) { proposer_.observeBallot(ballot.number); }
  /// A heartbeat claims the key for its sender. Returns false when this member has promised a higher ballot.
  bool observeOwner(Ballot const& claimed, Milliseconds now);
  /// A member has promised a higher ballot than this owner's.
  void onHigherBallot(EventContext& context, std::uint64_t ballotNumber);
  /// See LinearizableReads::confirm; does nothing unless this member owns the key.
  void confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt);

  /// Link of the member that owns the key, empty when none is known to be alive.
  std::string ownerLink(Membership const& membership, Member const& self, Milliseconds ownerTimeout,
                        Milliseconds now) const;
  Acceptor const& acceptor() const { return acceptor_; }
  Proposer const& proposer() const { return proposer_; }
  bool hasQueuedCalls() const { return !queuedCalls_.empty(); }
  /// Ticket of the newest write of the acceptor's state; 0: none.
  std::uint64_t ticket() const { return ticket_; }
  void addTo(Fingerprint& fingerprint, Persistence const& persistence) const;

 private:
  void startElection(EventContext& context);
  void sendPrepare(EventContext& context, Member const& member);
  void becomeOwner(EventContext& context);
  void sendAccept(EventContext& context);
  void onChosen(EventContext& context);
  /// Evaluates queued calls until one is being proposed.
  void processQueue(EventContext& context);
  void startRead(EventContext& context, std::uint64_t token, Verdict const& verdict);
  bool isRejected(EventContext const& context, Ballot const& ballot, bool fromOldMembership) const;
  void persist(EventContext& context);

  void expireCalls(EventContext& context);
  void rerouteCalls(EventContext& context);
  void resend(EventContext& context);
  void electIfUnowned(EventContext& context);
  /// No other live member comes before this one in the key's own order of members.
  bool isPreferredCandidate(EventContext const& context) const;
  Milliseconds randomTimeAfter(EventContext& context, Milliseconds spread) const;
  /// Requests the committed value from the other members when some member has accepted a newer one.
  void requestNewerValue(EventContext& context);

  std::string key_;
  Acceptor acceptor_;
  /// See ticket().
  std::uint64_t ticket_ = 0;
  Proposer proposer_;
  OwnerMonitor ownerMonitor_;
  /// Evaluated while this member owns the key; else they wait for an election or an owner.
  CallQueue queuedCalls_;
  /// Invariant: empty unless this member owns the key.
  LinearizableReads reads_;
  /// When the committed value was requested last.
  Milliseconds valueRequestedAt_ = 0;
};

}  // namespace corkward::consensus
