#include "register.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <corkward/consensus/events.h>
#include "context.h"

namespace corkward::consensus {

void Register::restore(EventContext& context, records::AcceptorState const& state) {
  acceptor_.restore(state.promised, state.position, state.value);
  proposer_.observeBallot(state.promised.number);
  ownerMonitor_.startUnclaimed(context.now);
  context.learner.noteAccepted(key_, acceptor_.revision(), context.now);
}

void Register::acceptFirstMembership(EventContext& context, Membership const& membership) {
  if (acceptor_.hasAccepted()) return;
  AcceptedPosition const first{Ballot{1, membership.members.front().id}, membership.revision};
  acceptor_.promise(first.ballot);
  acceptor_.adoptAccepted(first, membersToJson(membership.members));
  proposer_.observeBallot(first.ballot.number);
  ownerMonitor_.startUnclaimed(context.now);
  context.learner.noteAccepted(key_, acceptor_.revision(), context.now);
  persist(context);
}

void Register::mergeSnapshot(EventContext& context, transport::RecordSlot const& slot) {
  AcceptedPosition const position{slot.acceptedBallot, slot.revision};
  bool const newer = slot.revision > 0 && acceptor_.position() < position;
  if (!newer && slot.promised <= acceptor_.promised()) return;
  acceptor_.promise(slot.promised);
  observeBallot(slot.promised);
  if (newer) {
    acceptor_.adoptAccepted(position, slot.value);
    context.learner.noteAccepted(key_, acceptor_.revision(), context.now);
  }
  if (proposer_.ballot() < acceptor_.promised()) stepDown(context, StepDownReason::peerPromisedHigherBallot);
  if (!context.local.mayVote()) ownerMonitor_.restartTimeout(context.now);
  persist(context);
}

void Register::persist(EventContext& context) {
  ticket_ = context.persistence.writeAcceptor(context, key_, acceptor_);
}

void Register::submit(EventContext& context, transport::OperatorCall const& call, CallValidity validity) {
  bool const isBound = validity == CallValidity::currentBallot;
  queuedCalls_.push(call, context.now, isBound ? std::optional(ownedBallot()) : std::nullopt);
  if (proposer_.isOwner())
    processQueue(context);
  else if (proposer_.isIdle())
    startElection(context);
}

void Register::failQueuedCalls(EventContext& context, CallFailure failure) {
  for (auto const& call : queuedCalls_.takeAll()) context.complete(failedCall(call.token, key_, failure));
}

// Phase 1: elections.

void Register::startElection(EventContext& context) {
  if (!context.canVoteNow() || !context.selfIsMember()) return;
  if (context.local.isDraining() && !context.availablePeers().empty()) return;
  proposer_.startElection(acceptor_.promised(), context.local.id(), context.now);
  ownerMonitor_.electionStarted();
  context.log(events::electionStarted, {{"key", key_}, {"ballot", std::to_string(proposer_.ballot().number)}});
  std::vector<Member> const members = context.currentMembership().members;
  for (auto const& member : members) sendPrepare(context, member);
}

void Register::sendPrepare(EventContext& context, Member const& member) {
  context.send(member.link,
               transport::Prepare{key_, proposer_.ballot(), context.local.id(), context.currentMembership().revision});
}

bool Register::isRejected(EventContext const& context, Ballot const& ballot, bool fromOldMembership) const {
  bool const promisedHigher = ballot < acceptor_.promised() && !context.tuning.switches.off(Mechanism::promiseCheck);
  return fromOldMembership || promisedHigher;
}

void Register::onPrepare(EventContext& context, std::string const& from, transport::Prepare const& prepare,
                         bool fromOldMembership) {
  observeBallot(prepare.ballot);
  ownerMonitor_.candidateObserved();
  if (isRejected(context, prepare.ballot, fromOldMembership)) {
    context.send(from,
                 transport::Promise{key_, prepare.ballot, context.local.id(), false, acceptor_.promised(), {}, 0, {}});
    return;
  }
  if (acceptor_.promised() < prepare.ballot) {
    if (prepare.member != context.local.id()) stepDown(context, StepDownReason::promisedHigherBallot);
    acceptor_.promise(prepare.ballot);
    ownerMonitor_.restartTimeout(context.now);
    persist(context);
  }
  context.persistence.sendWhenSynced(
      context, ticket_, from,
      transport::Promise{key_, prepare.ballot, context.local.id(), true, acceptor_.promised(),
                         acceptor_.position().ballot, acceptor_.revision(), acceptor_.value()});
}

void Register::onPromise(EventContext& context, transport::Promise const& promise) {
  observeBallot(promise.promised);
  if (!proposer_.awaitsPromise(promise) || !context.currentMembership().contains(promise.member)) return;
  if (!promise.granted) {
    if (proposer_.ballot() < promise.promised) stepDown(context, StepDownReason::peerPromisedHigherBallot);
    return;
  }
  if (proposer_.recordPromise(promise, context.local.id(), context.currentMembership())) becomeOwner(context);
}

void Register::becomeOwner(EventContext& context) {
  std::optional<transport::Promise> const newest = proposer_.becomeOwner(context.now);
  ownerMonitor_.setOwner(context.local.id());
  context.log(events::electionWon, {{"key", key_}, {"ballot", std::to_string(proposer_.ballot().number)}});
  if (!newest || context.tuning.switches.off(Mechanism::newestAccepted)) {
    processQueue(context);
    return;
  }
  Proposal proposal;
  proposal.revision = newest->revision;
  proposal.value = newest->value;
  propose(context, std::move(proposal));
}

void Register::stepDown(EventContext& context, StepDownReason reason) {
  if (proposer_.isIdle()) return;
  context.log(events::stepDown, {{"key", key_}, {"reason", nameOf(reason)}});
  std::optional<Proposal> const interrupted = proposer_.stepDown();
  ownerMonitor_.steppedDown(context.now);
  if (interrupted && interrupted->token != 0)
    context.complete(failedCall(interrupted->token, key_, CallFailure::ownershipLost));
  reads_.abort(key_, context.commands.completedCalls);
}

bool Register::observeOwner(Ballot const& claimed, Milliseconds now) {
  observeBallot(claimed);
  if (claimed < acceptor_.promised()) return false;
  ownerMonitor_.ownerAnnounced(claimed.member, now);
  return true;
}

void Register::onHigherBallot(EventContext& context, std::uint64_t ballotNumber) {
  proposer_.observeBallot(ballotNumber);
  if (proposer_.isOwner()) stepDown(context, StepDownReason::peerPromisedHigherBallot);
}

void Register::onHandover(EventContext& context, transport::Handover const& handover) {
  observeBallot(handover.ballot);
  if (proposer_.isIdle()) startElection(context);
}

// Phase 2: proposals.

void Register::propose(EventContext& context, Proposal proposal) {
  if (key_ == membershipKey) proposal.nextMembership = Membership{proposal.revision, membersFromJson(proposal.value)};
  proposer_.propose(std::move(proposal), context.now);
  sendAccept(context);
}

void Register::sendAccept(EventContext& context) {
  proposer_.markAcceptSent(context.now);
  Proposal const proposal = *proposer_.proposal();
  transport::Accept const accept{
      key_,          proposer_.ballot(), context.local.id(), context.currentMembership().revision, proposal.revision,
      proposal.value};
  std::vector<Member> targets = context.currentMembership().members;
  for (auto const& added : proposal.nextMembership.members)
    if (std::none_of(targets.begin(), targets.end(), [&](Member const& target) { return target.id == added.id; }))
      targets.push_back(added);
  for (auto const& target : targets)
    if (proposal.acceptedBy.count(target.id) == 0) context.send(target.link, accept);
}

void Register::onAccept(EventContext& context, std::string const& from, transport::Accept const& accept,
                        bool fromOldMembership) {
  if (isRejected(context, accept.ballot, fromOldMembership)) {
    context.send(from, transport::Accepted{key_, accept.ballot, context.local.id(), accept.revision, false,
                                           acceptor_.promised()});
    return;
  }
  AcceptedPosition const position{accept.ballot, accept.revision};
  if (acceptor_.position().ballot == accept.ballot && accept.revision < acceptor_.revision()) return;
  bool const repeated = acceptor_.position() == position;
  if (repeated && acceptor_.value() != accept.value) {
    rejectConflictingValue(context, key_, "two values under one ballot and revision");
    return;
  }
  if (!repeated) {
    if (accept.member != context.local.id()) stepDown(context, StepDownReason::acceptedOtherOwner);
    acceptor_.accept(position, accept.value);
    context.learner.noteAccepted(key_, acceptor_.revision(), context.now);
    persist(context);
  }
  observeBallot(accept.ballot);
  ownerMonitor_.ownerAccepted(accept.member, context.now);
  context.persistence.sendWhenSynced(
      context, ticket_, from,
      transport::Accepted{key_, accept.ballot, context.local.id(), accept.revision, true, accept.ballot});
}

void Register::onAccepted(EventContext& context, transport::Accepted const& accepted) {
  observeBallot(accepted.promised);
  if (!proposer_.awaitsAccepted(accepted)) return;
  if (!accepted.granted) {
    if (proposer_.ballot() < accepted.promised) stepDown(context, StepDownReason::peerPromisedHigherBallot);
    return;
  }
  bool const jointQuorum = key_ == membershipKey && !context.tuning.switches.off(Mechanism::jointQuorum);
  if (proposer_.recordAccepted(accepted.member, context.currentMembership(), jointQuorum)) onChosen(context);
}

void Register::onChosen(EventContext& context) {
  Proposal const proposal = proposer_.takeProposal();
  transport::Commit const commit{proposer_.ballot(),
                                 transport::CommittedEntry{key_, proposal.revision, proposal.value}};
  std::vector<Member> targets = context.currentMembership().members;
  targets.insert(targets.end(), proposal.nextMembership.members.begin(), proposal.nextMembership.members.end());
  for (auto const& target : targets)
    if (target.id != context.local.id()) context.sendToPeer(target.link, commit);
  context.learner.learn(context, commit.entry);
  if (proposal.token != 0)
    context.complete(CallCompleted{proposal.token, key_, proposal.revision, proposal.status, proposal.body});
  processQueue(context);
}

void Register::processQueue(EventContext& context) {
  for (auto const& call : queuedCalls_.takeOutdated(ownedBallot())) context.commands.rerouted.emplace_back(key_, call);
  while (proposer_.isOwner() && !proposer_.proposal() && !queuedCalls_.empty()) {
    transport::OperatorCall const call = *queuedCalls_.pop();
    CommittedValue const* const committed = context.learner.find(key_);
    CommittedValue const current = committed == nullptr ? CommittedValue{} : *committed;
    Verdict const verdict = context.validator(key_, current.revision, current.value, call);
    if (!verdict.change) {
      startRead(context, call.token, verdict);
      continue;
    }
    Proposal proposal;
    proposal.token = call.token;
    proposal.revision = current.revision + 1;
    proposal.value = verdict.value;
    proposal.status = verdict.status;
    proposal.body = verdict.body;
    propose(context, std::move(proposal));
  }
}

// Reads.

void Register::startRead(EventContext& context, std::uint64_t token, Verdict const& verdict) {
  if (context.tuning.switches.off(Mechanism::readConfirmation)) {
    context.complete(CallCompleted{token, key_, 0, verdict.status, verdict.body});
    return;
  }
  reads_.add(PendingRead{token, context.now, verdict.status, verdict.body, {context.local.id()}});
  context.heartbeats.readStarted(context.now);
}

void Register::confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt) {
  if (!proposer_.isOwner()) return;
  reads_.confirm(key_, memberId, heartbeatSentAt, context.currentMembership(), context.tuning.callTimeout, context.now,
                 context.commands.completedCalls);
}

// Timers.

void Register::onTimer(EventContext& context) {
  expireCalls(context);
  resend(context);
  if (proposer_.isOwner() && !reads_.empty())
    context.registers.confirmReads(context, context.local.id(), context.now, {});
  electIfUnowned(context);
  requestNewerValue(context);
}

void Register::expireCalls(EventContext& context) {
  Milliseconds const timeout = context.tuning.callTimeout;
  for (auto const& call : queuedCalls_.takeExpired(timeout, context.now))
    context.complete(failedCall(call.token, key_, CallFailure::noQuorum));
  rerouteCalls(context);
  std::optional<Proposal> const& proposal = proposer_.proposal();
  if (!proposal || proposal->token == 0 || context.now - proposal->startedAt <= timeout) return;
  context.complete(failedCall(proposal->token, key_, CallFailure::acceptTimeout));
  proposer_.detachCall();
}

void Register::rerouteCalls(EventContext& context) {
  if (queuedCalls_.empty() || !proposer_.isIdle() ||
      ownerLink(context.currentMembership(), context.local.self(), context.tuning.ownerTimeout, context.now).empty())
    return;
  for (auto const& call : queuedCalls_.takeAll()) context.commands.rerouted.emplace_back(key_, call);
}

std::string Register::ownerLink(Membership const& membership, Member const& self, Milliseconds ownerTimeout,
                                Milliseconds now) const {
  if (proposer_.isOwner()) return self.link;
  std::string const& owner = ownerMonitor_.owner();
  if (owner.empty() || owner == self.id || ownerMonitor_.timedOut(now, ownerTimeout)) return "";
  for (auto const& member : membership.members)
    if (member.id == owner) return member.link;
  return "";
}

void Register::resend(EventContext& context) {
  Milliseconds const interval = context.tuning.resendEvery;
  if (proposer_.isOwner() && proposer_.proposal() && context.now - proposer_.proposal()->sentAt >= interval)
    sendAccept(context);
  if (!proposer_.isPreparing()) return;
  if (context.now - proposer_.roleSince() > context.tuning.ownerTimeout) {
    stepDown(context, StepDownReason::noQuorumPromised);
    ownerMonitor_.scheduleElection(randomTimeAfter(context, context.tuning.electionSpread));
  } else if (context.now - proposer_.prepareSentAt() >= interval) {
    proposer_.markPrepareSent(context.now);
    std::vector<Member> const members = context.currentMembership().members;
    for (auto const& member : members)
      if (proposer_.isPreparing() && proposer_.promises().count(member.id) == 0) sendPrepare(context, member);
  }
}

Milliseconds Register::randomTimeAfter(EventContext& context, Milliseconds spread) const {
  return context.now + static_cast<Milliseconds>(context.random.below(static_cast<std::uint64_t>(spread)));
}

void Register::electIfUnowned(EventContext& context) {
  bool const used = hasQueuedCalls() || acceptor_.hasAccepted() || context.learner.isCommitted(key_);
  if (!proposer_.isIdle() || !used || !context.canVoteNow()) return;
  bool const unclaimed = ownerMonitor_.isUnclaimed() && context.detector.hasQuorum();
  bool const pauseOver = unclaimed && context.detector.hasQuorumFor(context.tuning.restartPause, context.now);
  bool const ownersKnown =
      pauseOver || (unclaimed && context.detector.allOwnedKeysKnown(context.currentMembership(), context.local.id()));
  bool const preferred = ownersKnown && isPreferredCandidate(context);
  if (!pauseOver && !preferred && !ownerMonitor_.timedOut(context.now, context.tuning.ownerTimeout)) return;
  std::optional<Milliseconds> const scheduled = ownerMonitor_.electionAt();
  if (preferred || (scheduled && context.now >= *scheduled))
    startElection(context);
  else if (!scheduled)
    ownerMonitor_.scheduleElection(
        randomTimeAfter(context, pauseOver ? context.tuning.restartSpread : context.tuning.electionSpread));
}

bool Register::isPreferredCandidate(EventContext const& context) const {
  std::vector<Member> const& members = context.currentMembership().members;
  auto const comesBefore = [&](Member const& member) {
    return context.detector.isAlive(member.id, context.now) &&
           core::stableHash(key_ + member.id) < core::stableHash(key_ + context.local.id());
  };
  return std::none_of(members.begin(), members.end(), comesBefore);
}

void Register::requestNewerValue(EventContext& context) {
  std::uint64_t const newest = std::max(acceptor_.revision(), context.detector.newestAcceptedRevision(key_));
  if (proposer_.isOwner() || context.learner.revisionOf(key_) >= newest ||
      context.now - valueRequestedAt_ < context.tuning.resendEvery)
    return;
  valueRequestedAt_ = context.now;
  Membership const& membership = context.currentMembership();
  for (auto const& member : membership.members)
    if (member.id != context.local.id())
      context.sendToPeer(member.link, transport::ValueRequest{key_, false, context.local.id(), membership.revision});
}

void Register::addTo(Fingerprint& fingerprint, Persistence const& persistence) const {
  fingerprint.add(key_);
  acceptor_.addTo(fingerprint);
  fingerprint.addFlag(persistence.isPending(ticket_));
  proposer_.addTo(fingerprint);
  ownerMonitor_.addTo(fingerprint);
  fingerprint.addTime(valueRequestedAt_);
  queuedCalls_.addTo(fingerprint);
  reads_.addTo(fingerprint);
}

}  // namespace corkward::consensus
