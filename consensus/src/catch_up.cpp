#include "catch_up.h"

#include <algorithm>
#include <map>

#include <corkward/consensus/events.h>
#include <corkward/core/json.h>
#include "context.h"

namespace corkward::consensus {

namespace {

/// Exclusive upper bound of the random part of the first request's number.
constexpr std::uint64_t requestNumberSpace = std::uint64_t{1} << 48;

}  // namespace

void CatchUp::restart() {
  copiedFrom_.clear();
  requestedAt_ = -1;
}

void CatchUp::resetAfterRemoval() {
  copiedFrom_.clear();
  pendingTicket_ = 0;
  caughtUpRevision_ = 0;
}

bool CatchUp::hasCaughtUp(EventContext const& context) const {
  return caughtUpRevision_ == context.currentMembership().revision;
}

void CatchUp::advance(EventContext& context) {
  if (hasCaughtUp(context)) {
    requestMissingValues(context);
    return;
  }
  if (isPersisting() || context.persistence.hasFailed() || !context.selfIsMember()) return;
  // A voting member counts itself in the majority. A member that does not vote yet needs a majority of the others.
  std::size_t const size = context.currentMembership().members.size();
  std::size_t const needed = (size + (context.local.mayVote() ? 0 : 1)) / 2;
  if (copiedFrom_.size() >= (context.tuning.switches.off(Mechanism::catchUpBeforeVote) ? 0 : needed))
    complete(context);
  else
    requestSnapshots(context);
}

void CatchUp::complete(EventContext& context) {
  pendingRevision_ = context.currentMembership().revision;
  pendingTicket_ = context.persistence.writeMetadata(
      context, {context.local.id(), true, pendingRevision_, context.local.founders()});
}

void CatchUp::onPersisted(EventContext& context, std::uint64_t ticket) {
  if (ticket != pendingTicket_) return;
  pendingTicket_ = 0;
  caughtUpRevision_ = pendingRevision_;
  context.heartbeats.scheduleNow();
  if (!context.local.mayVote()) context.log(events::memberVotes, {{"member", context.local.id()}});
  context.local.startVoting();
}

void CatchUp::requestSnapshots(EventContext& context) {
  bool const isRepeated = requestedAt_ >= 0;
  if (isRepeated && context.now - requestedAt_ <= context.tuning.resendEvery) return;
  requestedAt_ = context.now;
  transport::ValueRequest const request = nextRequest(context, "");
  for (auto const& member : context.currentMembership().members) {
    if (member.id == context.local.id() || copiedFrom_.count(member.id) > 0) continue;
    // The first request goes to one voting member. Repeated requests go to all members whose snapshot is missing.
    if (!isRepeated && !context.detector.find(member.id)->voting) continue;
    context.sendToPeer(member.link, request);
    if (!isRepeated) return;
  }
}

transport::ValueRequest CatchUp::nextRequest(EventContext& context, std::string const& afterKey) {
  if (firstRequest_ == 0) {
    firstRequest_ = 1 + context.random.below(requestNumberSpace);
    lastRequest_ = firstRequest_ - 1;
  }
  transport::ValueRequest request{afterKey, true,          context.local.id(), context.currentMembership().revision,
                                  {},       ++lastRequest_};
  for (auto const& [key, keyRegister] : context.registers) {
    if (!afterKey.empty() && key <= afterKey) continue;
    Acceptor const& acceptor = keyRegister.acceptor();
    request.knownSlots.push_back(
        transport::RecordSlot{key, acceptor.promised(), acceptor.position().ballot, acceptor.revision(), {}});
  }
  return request;
}

void CatchUp::requestMissingValues(EventContext& context) {
  auto const& committed = context.learner.committed();
  bool const missing = std::any_of(committed.begin(), committed.end(), [&](auto const& entry) {
    return context.registers.at(entry.first).acceptor().revision() < entry.second.revision;
  });
  if (!missing || !context.canVoteNow()) {
    missingSince_ = -1;
    backoff_ = context.tuning.resendEvery;
    return;
  }
  if (missingSince_ < 0) missingSince_ = context.now;
  std::vector<Member> const available = context.availablePeers();
  if (context.now - missingSince_ < backoff_ || available.empty()) return;
  missingSince_ = context.now;
  backoff_ = std::min(2 * backoff_, context.tuning.maxCatchUpBackoff);
  Member const& source = available[missingRequests_++ % available.size()];
  context.sendToPeer(source.link, nextRequest(context, ""));
}

void CatchUp::onValueRequest(EventContext& context, std::string const& from, transport::ValueRequest const& request) {
  if (!request.isCatchUp) {
    CommittedValue const* const committed = context.learner.find(request.key);
    if (committed == nullptr) return;
    transport::CommittedEntry const entry{request.key, committed->revision, committed->value};
    context.sendToPeer(from, transport::Commit{context.registers.at(request.key).acceptor().promised(), entry});
    return;
  }
  Membership const& membership = context.currentMembership();
  if (!context.isVoting() || !membership.contains(request.member) || request.membershipRevision != membership.revision)
    return;
  context.persistence.sendWhenSynced(context, context.registers.newestTicket(), from, snapshotFor(context, request));
}

transport::SnapshotChunk CatchUp::snapshotFor(EventContext const& context, transport::ValueRequest const& request) {
  std::map<std::string, transport::RecordSlot> known;
  for (auto const& slot : request.knownSlots) known[slot.key] = slot;
  transport::SnapshotChunk chunk{context.local.id(), context.currentMembership().revision, {}, request.requestNumber};
  std::size_t bytes = 0;
  for (auto it = context.registers.after(request.key); it != context.registers.end(); ++it) {
    auto const& [key, keyRegister] = *it;
    Acceptor const& acceptor = keyRegister.acceptor();
    transport::RecordSlot const& requesterSlot = known[key];
    bool const newer = requesterSlot.promised < acceptor.promised() ||
                       AcceptedPosition{requesterSlot.acceptedBallot, requesterSlot.revision} < acceptor.position();
    if (!newer) continue;
    if (request.requestNumber > 0 && bytes >= context.tuning.snapshotChunkBytes) {
      chunk.hasMore = true;
      break;
    }
    chunk.slots.push_back(transport::RecordSlot{key, acceptor.promised(), acceptor.position().ballot,
                                                acceptor.revision(), acceptor.value()});
    bytes += core::jsonText(acceptor.value()).size();
  }
  return chunk;
}

bool CatchUp::isExpected(EventContext const& context, transport::SnapshotChunk const& chunk) const {
  // Releases that do not number their requests send 0.
  bool const requested = chunk.requestNumber == 0 || (firstRequest_ > 0 && firstRequest_ <= chunk.requestNumber &&
                                                      chunk.requestNumber <= lastRequest_);
  Membership const& membership = context.currentMembership();
  return requested && chunk.membershipRevision == membership.revision && !context.persistence.hasFailed() &&
         context.selfIsMember() && membership.contains(chunk.member);
}

void CatchUp::onSnapshotChunk(EventContext& context, std::string const& from, transport::SnapshotChunk const& chunk) {
  if (!isExpected(context, chunk)) return;
  for (auto const& slot : chunk.slots) context.registers.at(slot.key).mergeSnapshot(context, slot);
  if (chunk.hasMore && !chunk.slots.empty()) {
    if (!hasCaughtUp(context)) requestedAt_ = context.now;
    context.sendToPeer(from, nextRequest(context, chunk.slots.back().key));
    return;
  }
  if (hasCaughtUp(context) || isPersisting()) return;
  copiedFrom_.insert(chunk.member);
  requestedAt_ = -1;
  advance(context);
}

void CatchUp::addTo(Fingerprint& fingerprint) const {
  fingerprint.addFlag(isPersisting());
  fingerprint.addFlag(requestedAt_ >= 0);
  fingerprint.addTime(requestedAt_);
  fingerprint.add(isPersisting() ? pendingRevision_ : 0);
  fingerprint.add(caughtUpRevision_);
  fingerprint.add(copiedFrom_);
}

}  // namespace corkward::consensus
