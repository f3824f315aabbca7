#include "replica.h"

#include <utility>

#include <corkward/consensus/events.h>
#include "handover.h"

namespace corkward::consensus {

Replica::Replica(Member self, std::vector<std::string> founders, Validator callValidator, std::uint64_t seed,
                 ConsensusTuning const& settings)
    : tuning(settings),
      validator(std::move(callValidator)),
      random(seed),
      local(std::move(self), std::move(founders)),
      detector(settings.ownerTimeout) {}

void Replica::restore(EventContext& context, std::map<std::string, std::string> const& recordMap, bool damaged) {
  detector.start(context.now);
  std::optional<records::Metadata> const metadata = records::decodeMetadata(recordMap);
  if (damaged) local.forgetFounders();
  if (damaged || !metadata) {
    local.assignInitialId(context);
    return;
  }
  local.restore(*metadata);
  catchUp.restore(metadata->caughtUpRevision);
  for (auto const& [key, state] : records::decodeAcceptors(recordMap))
    if (state.memberId == local.id()) registers.at(key).restore(context, state);
  records::AdoptedMembership const adopted = records::decodeMembership(recordMap);
  if (adopted.memberId == local.id()) membership.adopt(context, adopted.membership);
}

void Replica::onMessage(EventContext& context, std::string const& from, transport::Message const& message) {
  auto const dispatch = [&](auto const& content) {
    if constexpr (requires { this->handle(context, from, content); }) this->handle(context, from, content);
  };
  std::visit(dispatch, message);
}

void Replica::onTimer(EventContext& context) {
  detector.onTimer(context.now);
  membership.expireCandidates(context);
  if (local.isRemoved()) resetAfterRemoval(context);
  persistence.checkStall(context);
  detector.updateQuorum(membership.current(), local.id(), isVoting(), context.now);
  heartbeats.onTimer(context);
  if (local.hasNoState()) membership.bootstrap(context);
  catchUp.advance(context);
  if (local.isDraining()) handOverOwnedKeys(context);
  registers.onTimer(context);
  membership.proposeNextChange(context);
}

void Replica::onPersisted(EventContext& context, std::uint64_t ticket, bool succeeded) {
  if (!succeeded || persistence.hasFailed()) {
    persistence.fail(context);
    return;
  }
  persistence.markWritten(ticket);
  local.onPersisted(ticket);
  catchUp.onPersisted(context, ticket);
  persistence.checkStall(context);
  std::vector<transport::Send> const sends = persistence.takeDeferred(ticket);
  if (local.isRemoved()) return;
  for (auto const& send : sends) context.send(send.to, send.message);
}

void Replica::submit(EventContext& context, std::string const& key, transport::OperatorCall const& call,
                     CallValidity validity) {
  if (!context.canVoteNow()) {
    context.complete(failedCall(call.token, key, CallFailure::memberCannotVote));
    return;
  }
  registers.at(key).submit(context, call, validity);
}

bool Replica::isVoting() const {
  return local.mayVote() && !persistence.hasFailed() && !local.isRemoved();
}

void Replica::resetAfterRemoval(EventContext& context) {
  context.log(events::removedFromMembership, {{"member", local.id()}});
  registers.resetAfterRemoval(context);
  learner.forgetAccepted();
  persistence.dropDeferred();
  catchUp.resetAfterRemoval();
  local.resetAfterRemoval(context);
}

void Replica::handle(EventContext& context, std::string const& from, transport::Prepare const& prepare) {
  if (!context.canVoteNow() || !membership.current().contains(prepare.member)) return;
  std::uint64_t const oldestMembership = registers.oldestMembershipAllowed(context, prepare.key);
  registers.at(prepare.key).onPrepare(context, from, prepare, prepare.membershipRevision < oldestMembership);
}

void Replica::handle(EventContext& context, std::string const&, transport::Promise const& promise) {
  registers.at(promise.key).onPromise(context, promise);
}

void Replica::handle(EventContext& context, std::string const& from, transport::Accept const& accept) {
  // A new member also accepts the membership value that adds it, although it does not vote yet.
  bool const joins = accept.key == membershipKey && !local.mayVote() && !persistence.hasFailed() &&
                     !local.isRemoved() && local.hasNoState() && local.hasDurableId();
  if (persistence.isStalled() || (!isVoting() && !joins)) return;
  if (!joins && !membership.current().contains(accept.member)) return;
  std::uint64_t const oldestMembership = registers.oldestMembershipAllowed(context, accept.key);
  registers.at(accept.key).onAccept(context, from, accept, accept.membershipRevision < oldestMembership);
}

void Replica::handle(EventContext& context, std::string const&, transport::Accepted const& accepted) {
  registers.at(accepted.key).onAccepted(context, accepted);
}

void Replica::handle(EventContext& context, std::string const&, transport::Commit const& commit) {
  registers.at(commit.entry.key).observeBallot(commit.ballot);
  learner.learn(context, commit.entry);
}

void Replica::handle(EventContext& context, std::string const&, transport::Handover const& handover) {
  registers.at(handover.key).onHandover(context, handover);
}

void Replica::handle(EventContext& context, std::string const& from, transport::Heartbeat const& heartbeat) {
  heartbeats.onHeartbeat(context, from, heartbeat);
}

void Replica::handle(EventContext& context, std::string const&, transport::HeartbeatReply const& reply) {
  heartbeats.onReply(context, reply);
}

void Replica::handle(EventContext& context, std::string const& from, transport::ValueRequest const& request) {
  catchUp.onValueRequest(context, from, request);
}

void Replica::handle(EventContext& context, std::string const& from, transport::SnapshotChunk const& chunk) {
  catchUp.onSnapshotChunk(context, from, chunk);
}

void Replica::handle(EventContext&, std::string const& from, transport::NotAVotingMember const&) {
  if (local.isFounder(from)) membership.recordDisklessFounder(from);
}

}  // namespace corkward::consensus
