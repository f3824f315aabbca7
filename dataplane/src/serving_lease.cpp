// Whether this node may serve: confirmations of controllers, and what the other routers are heard to have in force.
#include <algorithm>
#include <functional>

#include "internal.h"

namespace corkward::dataplane {

void RequestRouter::refreshServingLease() {
  for (std::map<std::string, LeaseGrantRecord>::value_type& c : leaseGrants_)
    if (c.second.grantedAt > c.second.usefulAt && configuration_.covers(c.second.digest, c.second.revisions)) {
      c.second.usefulAt = c.second.grantedAt;
      confirmedByControl_ = confirmedByControl_ || c.second.grantedAt >= startedAt_;
    }
  for (std::map<std::string, transport::PeerHeartbeat>::iterator e = pendingHeartbeats_.begin();
       e != pendingHeartbeats_.end();) {
    bool const known = configuration_.covers(e->second.digest, e->second.revisions);
    if (known) recordHeartbeat(e->first, e->second);
    e = known ? pendingHeartbeats_.erase(e) : std::next(e);
  }
}

void RequestRouter::recordHeartbeat(std::string const& from, transport::PeerHeartbeat const& echo) {
  if (!echo.hasSnapshot) return;
  std::function<void(std::string const&, Tick)> const heard = [this](std::string const& link, Tick at) {
    Tick& newest = heardAt_.try_emplace(link, at).first->second;
    newest = std::max(newest, at);
  };
  heard(from, echo.sentAt);
  if (echo.rosterRevision != roster_.revision || echo.ages.size() != roster_.zones.size()) return;
  std::size_t place = 0;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    int const age = static_cast<unsigned char>(echo.ages[place++]);
    if (age < unknownAge && z.first != partialView_.self().link) heard(z.first, echo.sentAt - age * transport::ageUnit);
  }
}

std::string RequestRouter::encodeAges(Tick now) const {
  std::string out;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    std::map<std::string, Tick>::const_iterator const it = heardAt_.find(z.first);
    Tick const age = z.first == partialView_.self().link ? 0
                     : it == heardAt_.end()              ? tuning_.servingLeaseDuration + 1
                                                         : now - it->second;
    Tick const units = (age + transport::ageUnit - 1) / transport::ageUnit;
    out += static_cast<char>(age > tuning_.servingLeaseDuration || units >= unknownAge ? unknownAge : units);
  }
  return out;
}

bool RequestRouter::hasLeaseWithin(Tick now, Tick age) const {
  return std::any_of(leaseGrants_.begin(), leaseGrants_.end(),
                     [&](std::map<std::string, LeaseGrantRecord>::value_type const& c) {
                       return c.second.usefulAt >= 0 && now - c.second.usefulAt <= age;
                     });
}

bool RequestRouter::hasHeardMajority(Tick now) const {
  if (rosterSize() < tuning_.minRosterSize) return false;
  std::size_t fresh = confirmedByControl_ ? 1 : 0;
  for (std::string const& link : otherRouters()) {
    std::map<std::string, Tick>::const_iterator const it = heardAt_.find(link);
    fresh += it != heardAt_.end() && now - it->second <= tuning_.servingLeaseDuration ? 1 : 0;
  }
  return fresh >= majorityOf(rosterSize());
}

bool RequestRouter::servingLease(Tick now) const {
  if (!tuning_.leaseRequired) return snapshotApplied_ && !routes_.empty();
  if (!snapshotApplied_ || !roster_.self || roster_.joining) return false;
  return hasLeaseWithin(now, tuning_.servingLeaseDuration) || hasHeardMajority(now);
}

bool RequestRouter::isEvacuated(std::string const& zone) const {
  return evacuated_.count(zone) > 0;
}

bool RequestRouter::ready(Tick now) const {
  bool const young = tuning_.leaseRequired && now - startedAt_ < tuning_.startupGracePeriod;
  return !draining_ && !young && servingLease(now) &&
         !(tuning_.evacuationFailsReady && isEvacuated(partialView_.self().zone)) && !routes_.empty();
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::ServingLeaseGrant const& m) {
  for (transport::EndpointRemovalHint const& h : m.removalHints) applyRemovalHint(out, now, h);
  if (m.hasQuorum) controllerLinks_.onUsefulReply(now, from);
  if (controllerLinks_.onRevisionsWanted(now, from, m.wantsRevisions, tuning_.leaseRequestInterval / 3))
    sendLeaseRequest(out, now, from);
  if (m.rosterRevision > 0 && m.rosterRevision >= roster_.revision) roster_.joining = false;
  if (!m.hasQuorum || m.quorumAge < 0 || m.requestSentAt > now) return;
  LeaseGrantRecord& c = leaseGrants_[from];
  Tick const at = m.requestSentAt - m.quorumAge;
  if (at > c.grantedAt) {
    c.grantedAt = at;
    c.digest = m.digest;
    c.revisions = m.revisions;
  }
  refreshServingLease();
}

}  // namespace corkward::dataplane
