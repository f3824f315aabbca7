#include "failure_detector.h"

#include <algorithm>
#include <set>

#include "learner.h"

namespace corkward::consensus {

void FailureDetector::start(Milliseconds now) {
  lastTimerAt_ = now;
  resumedAt_ = now;
}

void FailureDetector::onTimer(Milliseconds now) {
  if (now - lastTimerAt_ > ownerTimeout_) resumedAt_ = now;
  lastTimerAt_ = now;
}

void FailureDetector::setMembers(Membership const& membership, Milliseconds now) {
  std::erase_if(peers_, [&](auto const& peer) { return !membership.contains(peer.first); });
  for (auto const& member : membership.members) {
    PeerState& peer = peers_[member.id];
    if (peer.lastContactAt == 0) peer.lastContactAt = now;
  }
}

void FailureDetector::recordHeartbeat(transport::Heartbeat const& heartbeat, Milliseconds now) {
  PeerState& peer = peers_[heartbeat.member];
  peer.lastContactAt = now;
  peer.voting = heartbeat.voting;
  peer.draining = heartbeat.draining;
  peer.membershipRevision = heartbeat.membershipRevision;
  peer.caughtUpRevision = heartbeat.caughtUpRevision;
  if (transport::digestOf(heartbeat.ownedKeys) == heartbeat.ownedDigest) peer.ownedKeys = heartbeat.ownedKeys;
  peer.ownedKeysKnown = transport::digestOf(peer.ownedKeys) == heartbeat.ownedDigest;
  if (!peer.ownedKeysKnown) peer.ownedKeys.clear();
}

void FailureDetector::recordReply(transport::HeartbeatReply const& reply, Learner const& learner, Milliseconds now) {
  PeerState& peer = peers_[reply.member];
  peer.lastContactAt = now;
  if (!reply.voting) return;
  peer.acceptedDigest = reply.acceptedDigest;
  bool const allKnown = learner.hasHadDigest(reply.acceptedDigest);
  bool const isListed = transport::digestOf(reply.accepted) == reply.acceptedDigest;
  if (reply.requestSentAt <= peer.repliedHeartbeatAt || (!allKnown && !isListed)) return;
  peer.repliedHeartbeatAt = reply.requestSentAt;
  peer.acceptedRevisions = allKnown ? transport::Revisions() : reply.accepted;
  refreshContact(peer, learner);
}

void FailureDetector::onCommitted(Learner const& learner) {
  for (auto& [memberId, peer] : peers_) refreshContact(peer, learner);
}

void FailureDetector::refreshContact(PeerState& peer, Learner const& learner) {
  for (auto const& [key, revision] : peer.acceptedRevisions) {
    CommittedValue const* const known = learner.find(key);
    if (known == nullptr || known->revision < revision) return;
  }
  peer.confirmedHeartbeatAt = peer.repliedHeartbeatAt;
}

void FailureDetector::updateQuorum(Membership const& membership, std::string const& selfId, bool selfVotes,
                                   Milliseconds now) {
  std::set<std::string> alive;
  if (selfVotes) alive.insert(selfId);
  for (auto const& [memberId, peer] : peers_)
    if (isAlive(memberId, now)) alive.insert(memberId);
  if (!membership.hasMajority(alive))
    quorumSince_ = -1;
  else if (quorumSince_ < 0)
    quorumSince_ = now;
}

PeerState const* FailureDetector::find(std::string const& memberId) const {
  auto const found = peers_.find(memberId);
  return found == peers_.end() ? nullptr : &found->second;
}

bool FailureDetector::isAlive(std::string const& memberId, Milliseconds now) const {
  PeerState const* const peer = find(memberId);
  return peer != nullptr && peer->voting && now - peer->lastContactAt < ownerTimeout_;
}

bool FailureDetector::isDraining(std::string const& memberId) const {
  PeerState const* const peer = find(memberId);
  return peer != nullptr && peer->draining;
}

Milliseconds FailureDetector::timeSinceContact(std::string const& memberId, std::string const& selfId,
                                               Milliseconds now) const {
  PeerState const* const peer = find(memberId);
  return memberId == selfId || peer == nullptr ? 0 : now - std::max(peer->lastContactAt, resumedAt_);
}

std::vector<Member> FailureDetector::availablePeers(Membership const& membership, std::string const& selfId,
                                                    Milliseconds now) const {
  std::vector<Member> available;
  for (auto const& member : membership.members)
    if (member.id != selfId && isAlive(member.id, now) && !isDraining(member.id)) available.push_back(member);
  return available;
}

bool FailureDetector::allOwnedKeysKnown(Membership const& membership, std::string const& selfId) const {
  return std::all_of(membership.members.begin(), membership.members.end(), [&](Member const& member) {
    PeerState const* const peer = find(member.id);
    return member.id == selfId || (peer != nullptr && peer->ownedKeysKnown);
  });
}

bool FailureDetector::mayHaveAcceptedValue(std::string const& key) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](auto const& peer) { return peer.second.acceptedRevisions.count(key) > 0; });
}

std::uint64_t FailureDetector::newestAcceptedRevision(std::string const& key) const {
  std::uint64_t newest = 0;
  for (auto const& [memberId, peer] : peers_) {
    auto const found = peer.acceptedRevisions.find(key);
    if (found != peer.acceptedRevisions.end()) newest = std::max(newest, found->second);
  }
  return newest;
}

Milliseconds FailureDetector::quorumContactAt(Membership const& membership, std::string const& selfId,
                                              Milliseconds selfConfirmedUntil) const {
  std::vector<Milliseconds> contacts{selfConfirmedUntil};
  for (auto const& member : membership.members) {
    if (member.id == selfId) continue;
    PeerState const* const peer = find(member.id);
    contacts.push_back(peer == nullptr ? -1 : peer->confirmedHeartbeatAt);
  }
  std::sort(contacts.rbegin(), contacts.rend());
  return contacts[membership.members.size() / 2];
}

void FailureDetector::addTo(Fingerprint& fingerprint) const {
  fingerprint.addFlag(hasQuorum());
  fingerprint.addTime(quorumSince_);
  fingerprint.addTime(resumedAt_);
  for (auto const& [memberId, peer] : peers_) {
    fingerprint.add(memberId);
    fingerprint.addTime(peer.lastContactAt);
    fingerprint.addTime(peer.repliedHeartbeatAt);
    fingerprint.addTime(peer.confirmedHeartbeatAt);
    fingerprint.add(peer.acceptedRevisions);
    fingerprint.add(peer.ownedKeys);
    fingerprint.addFlag(peer.voting);
    fingerprint.addFlag(peer.ownedKeysKnown);
    fingerprint.add(peer.caughtUpRevision);
    fingerprint.add(peer.membershipRevision);
  }
}

}  // namespace corkward::consensus
