// Loads the roster, chooses controllers and neighbours, and exchanges heartbeats with other routers.
#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::dataplane {

void RequestRouter::loadRoster(Milliseconds now, std::uint64_t revision, QJsonObject const& value) {
  std::vector<transport::Contact> const contacts = gossip::rosterContacts(value);
  bool onPrevious = false;
  for (QJsonValue const previous : value.value("previous").toArray())
    onPrevious = onPrevious || core::toStdString(previous.toObject().value("link").toString()) == roster_.self();
  partialView_.setRoster(revision, contacts);
  roster_.load(now, revision, contacts, onPrevious);
}

std::vector<std::string> RequestRouter::controllers(Milliseconds now) const {
  std::set<std::string> links;
  links.insert(membershipLinks_.begin(), membershipLinks_.end());
  for (transport::Contact const& contact : partialView_.ofRole(transport::controllerRole, now))
    links.insert(contact.link);
  return std::vector<std::string>(links.begin(), links.end());
}

void RequestRouter::chooseControllers(Milliseconds now) {
  transport::Contact const& self = partialView_.self();
  std::map<std::string, std::string> zones;
  for (transport::Contact const& contact : partialView_.ofRole(transport::controllerRole, now))
    zones[contact.link] = contact.zone;
  std::vector<std::string> known = controllers(now);
  if (known.empty()) known = partialView_.seeds();
  std::vector<ControllerLinks::Candidate> candidates;
  candidates.reserve(known.size());
  for (std::string const& link : known)
    candidates.push_back({link, zones[link] == self.zone, core::stableHash(link + self.link)});
  controllerLinks_.choose(now, candidates, tuning_);
}

void RequestRouter::sendLeaseRequest(RouterCommands& out, Milliseconds now, std::string const& to) {
  transport::ServingLeaseRequest request{now,   partialView_.self(),     !snapshotApplied_,
                                         false, configuration_.digest(), {}};
  if (controllerLinks_.onRequest(now, to)) request.revisions = configuration_.revisions();
  out.sends.push_back(transport::Send{to, std::move(request)});
}

NeighbourLinks::Peers RequestRouter::neighbourCandidates(Milliseconds now) const {
  NeighbourLinks::Peers peers;
  peers.links = otherRouters();
  if (peers.links.empty() || !snapshotApplied_)
    for (transport::Contact const& contact : partialView_.ofRole(transport::routerRole, now))
      peers.links.push_back(contact.link);
  std::sort(peers.links.begin(), peers.links.end());
  peers.links.erase(std::unique(peers.links.begin(), peers.links.end()), peers.links.end());
  for (auto const& [link, zone] : roster_.zones())
    if (zone == partialView_.self().zone) peers.sameZone.insert(link);
  return peers;
}

void RequestRouter::sendHeartbeats(RouterCommands& out, Milliseconds now) {
  bool const lacksControllers =
      tuning_.leaseRequired ? !servingLease_.isGrantedWithin(now, 2 * tuning_.leaseRequestInterval) : !snapshotApplied_;
  Milliseconds const interval = lacksControllers ? tuning_.heartbeatInterval : tuning_.idleHeartbeatInterval;
  if (now - lastHeartbeatAt_ < interval) return;
  lastHeartbeatAt_ = now;
  transport::PeerHeartbeat heartbeat;
  heartbeat.sentAt = now;
  heartbeat.hasSnapshot = snapshotApplied_;
  heartbeat.link = partialView_.self().link;
  heartbeat.digest = configuration_.digest();
  heartbeat.wantsAges = lacksControllers;
  heartbeat.removalHints = removalHints_.toForward(now);
  // Neighbours are asked for a snapshot only if none has arrived within two seconds of the start.
  bool const wantSnapshot = !snapshotApplied_ && !snapshotSeen_ && now - startedAt_ > 2000;
  std::vector<std::string> const neighbours =
      neighbourLinks_.choose(now, lacksControllers ? tuning_.neighbourCount : tuning_.idleNeighbourCount, interval,
                             neighbourCandidates(now), tuning_, rng_);
  std::size_t const snapshotSource =
      wantSnapshot && !neighbours.empty() ? rng_.below(neighbours.size()) : neighbours.size();
  for (std::size_t i = 0; i < neighbours.size(); ++i) {
    neighbourLinks_.onHeartbeatSent(now, neighbours[i]);
    heartbeat.wantsSnapshot = i == snapshotSource;
    out.sends.push_back(transport::Send{neighbours[i], heartbeat});
  }
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::PeerHeartbeat const& heartbeat) {
  if (heartbeat.link != from) return;
  for (transport::EndpointRemovalHint const& hint : heartbeat.removalHints) applyRemovalHint(out, now, hint);
  if (heartbeat.isReply)
    onHeartbeatReply(out, now, from, heartbeat);
  else
    replyToHeartbeat(out, now, from, heartbeat);
}

void RequestRouter::replyToHeartbeat(RouterCommands& out, Milliseconds now, std::string const& from,
                                     transport::PeerHeartbeat const& heartbeat) {
  transport::PeerHeartbeat reply;
  reply.sentAt = heartbeat.sentAt;
  reply.isReply = true;
  reply.hasSnapshot = snapshotApplied_;
  reply.link = partialView_.self().link;
  reply.digest = configuration_.digest();
  if (!(heartbeat.digest == configuration_.digest())) reply.revisions = configuration_.revisions();
  if (heartbeat.wantsAges && snapshotApplied_) {
    reply.rosterRevision = roster_.revision();
    reply.ages = servingLease_.encodeAges(now, tuning_.servingLeaseDuration, roster_);
  }
  reply.removalHints = removalHints_.toForward(now);
  out.sends.push_back(transport::Send{from, std::move(reply)});
  if (!heartbeat.wantsSnapshot || !snapshotApplied_) return;
  transport::ConfigurationUpdate snapshot;
  snapshot.isSnapshot = true;
  snapshot.entries = configuration_.all();
  out.sends.push_back(transport::Send{from, std::move(snapshot)});
}

void RequestRouter::onHeartbeatReply(RouterCommands& out, Milliseconds now, std::string const& from,
                                     transport::PeerHeartbeat const& reply) {
  neighbourLinks_.onReply(from);
  if (reply.sentAt > now) return;
  servingLease_.onHeartbeatReply(from, reply, configuration_, roster_);
  adoptSnapshot(out, now, from);
  if (!(transport::digestOf(reply.revisions) == reply.digest)) return;
  requestNewerValues(out, now, from, reply.revisions);
  if (snapshotApplied_ && reply.hasSnapshot && reply.digest.count > 0 && !(reply.digest == configuration_.digest()))
    sendMissing(out, from, reply.revisions);
}

void RequestRouter::requestNewerValues(RouterCommands& out, Milliseconds now, std::string const& from,
                                       transport::Revisions const& revisions) {
  for (auto const& [key, revision] : revisions) {
    if (revisionOf(key) >= revision) continue;
    Milliseconds& requestedAt = valueRequestedAt_[key];
    if (requestedAt != 0 && now - requestedAt < tuning_.heartbeatInterval) continue;
    requestedAt = now;
    out.sends.push_back(transport::Send{from, transport::ValueRequest{key, false, "", 0}});
  }
}

}  // namespace corkward::dataplane
