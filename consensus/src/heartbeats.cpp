#include "heartbeats.h"

#include <algorithm>
#include <set>
#include <utility>

#include "context.h"

namespace corkward::consensus {

namespace {

/// Number of heartbeats that list all owned keys after the set of owned keys has changed.
constexpr int fullKeyListsAfterChange = 3;

/// Returns the link addresses to which heartbeats are sent.
std::set<std::string> targetsOf(EventContext const& context) {
  std::set<std::string> targets;
  for (auto const& member : context.currentMembership().members) targets.insert(member.link);
  if (context.local.hasNoState()) targets.insert(context.local.founders().begin(), context.local.founders().end());
  if (context.membership.isDiscovering(context)) {
    std::vector<std::string> const& peers = context.membership.discoveryPeers();
    targets.insert(peers.begin(), peers.end());
  }
  targets.erase(context.local.link());
  return targets;
}

/// Returns true if the member at the link address has reported that it has adopted the current membership.
bool hasCurrentMembership(EventContext const& context, std::string const& link) {
  Membership const& membership = context.currentMembership();
  return std::any_of(membership.members.begin(), membership.members.end(), [&](Member const& member) {
    return member.link == link && context.detector.find(member.id)->membershipRevision == membership.revision;
  });
}

}  // namespace

transport::Heartbeat Heartbeats::stateHeartbeat(EventContext const& context) {
  transport::Heartbeat heartbeat;
  heartbeat.sentAt = context.now;
  heartbeat.member = context.local.id();
  heartbeat.hasNoState = context.local.hasNoState() && !context.local.isDraining();
  heartbeat.draining = context.local.isDraining();
  heartbeat.voting = context.canVoteNow();
  heartbeat.membershipRevision = context.currentMembership().revision;
  heartbeat.caughtUpRevision = context.catchUp.caughtUpRevision();
  heartbeat.membershipValue = membersToJson(context.currentMembership().members);
  return heartbeat;
}

void Heartbeats::onTimer(EventContext& context) {
  if (context.now < nextAt_) return;
  nextAt_ = context.now + (context.now > newestReadAt_ ? context.tuning.heartbeatEvery : 1);
  if (context.local.hasDurableId()) sendAll(context);
}

void Heartbeats::readStarted(Milliseconds now) {
  newestReadAt_ = now;
  nextAt_ = std::min(nextAt_, now + 1);
}

void Heartbeats::updateAnnouncedKeys(transport::Heartbeat& heartbeat) {
  heartbeat.ownedDigest = transport::digestOf(heartbeat.ownedKeys);
  if (!(heartbeat.ownedDigest == announcedKeys_)) fullKeyListsLeft_ = fullKeyListsAfterChange;
  announcedKeys_ = heartbeat.ownedDigest;
  if (fullKeyListsLeft_ == 0) heartbeat.ownedKeys.clear();
  fullKeyListsLeft_ = std::max(0, fullKeyListsLeft_ - 1);
}

void Heartbeats::sendAll(EventContext& context) {
  transport::Heartbeat heartbeat = stateHeartbeat(context);
  heartbeat.ownedKeys = context.registers.ownedKeys();
  heartbeat.committedDigest = context.learner.digest();
  updateAnnouncedKeys(heartbeat);
  for (auto const& link : targetsOf(context)) {
    transport::Heartbeat forTarget = heartbeat;
    if (hasCurrentMembership(context, link)) forTarget.membershipValue = QJsonObject();
    context.sendToPeer(link, std::move(forTarget));
  }
}

void Heartbeats::onHeartbeat(EventContext& context, std::string const& from, transport::Heartbeat const& heartbeat) {
  if (heartbeat.membershipRevision > context.currentMembership().revision && !heartbeat.membershipValue.isEmpty())
    context.membership.adopt(context,
                             Membership{heartbeat.membershipRevision, membersFromJson(heartbeat.membershipValue)});
  if (!context.currentMembership().contains(heartbeat.member)) {
    context.membership.recordCandidate(heartbeat.member, from, heartbeat.hasNoState, context.now);
    if (!context.local.hasNoState() && !context.local.isRemoved()) context.sendToPeer(from, stateHeartbeat(context));
    return;
  }
  if (!context.detector.find(heartbeat.member)->ownedKeysKnown) scheduleAt(context.now);
  context.detector.recordHeartbeat(heartbeat, context.now);
  context.sendToPeer(from, replyTo(context, heartbeat));
}

transport::HeartbeatReply Heartbeats::replyTo(EventContext& context, transport::Heartbeat const& heartbeat) {
  PeerState const& peer = *context.detector.find(heartbeat.member);
  transport::HeartbeatReply reply;
  reply.requestSentAt = heartbeat.sentAt;
  reply.member = context.local.id();
  reply.voting = context.canVoteNow();
  reply.accepted = context.registers.acceptedRevisions();
  reply.acceptedDigest = transport::digestOf(reply.accepted);
  if (reply.acceptedDigest == heartbeat.committedDigest) reply.accepted.clear();
  reply.wantsOwnedKeys = !peer.ownedKeysKnown;
  for (auto const& [key, ballotNumber] : peer.ownedKeys) {
    Register& claimed = context.registers.at(key);
    if (!claimed.observeOwner(Ballot{ballotNumber, heartbeat.member}, context.now))
      reply.higherBallots[key] = claimed.acceptor().promised().number;
  }
  return reply;
}

void Heartbeats::onReply(EventContext& context, transport::HeartbeatReply const& reply) {
  if (!context.currentMembership().contains(reply.member)) return;
  if (reply.wantsOwnedKeys) fullKeyListsLeft_ = std::max(fullKeyListsLeft_, 1);
  context.detector.recordReply(reply, context.learner, context.now);
  if (!reply.voting) return;
  for (auto const& [key, ballotNumber] : reply.higherBallots)
    context.registers.at(key).onHigherBallot(context, ballotNumber);
  if (!reply.wantsOwnedKeys)
    context.registers.confirmReads(context, reply.member, reply.requestSentAt, reply.higherBallots);
}

void Heartbeats::addTo(Fingerprint& fingerprint) const {
  fingerprint.addTime(nextAt_);
  fingerprint.addFlag(newestReadAt_ == fingerprint.now());
  fingerprint.add(static_cast<std::uint64_t>(fullKeyListsLeft_));
  fingerprint.add(announcedKeys_);
}

}  // namespace corkward::consensus
