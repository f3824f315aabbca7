// Decides whether this router may serve and is ready, and handles the controllers' lease grants.
#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::hasRecentQuorumContact(Milliseconds now) const {
  return rosterSize() >= tuning_.minRosterSize &&
         servingLease_.hasRecentQuorumContact(now, tuning_.servingLeaseDuration, roster_);
}

bool RequestRouter::servingLease(Milliseconds now) const {
  if (!tuning_.leaseRequired) return snapshotApplied_ && !routes_.empty();
  if (!snapshotApplied_ || !roster_.hasJoined()) return false;
  return servingLease_.isGrantedWithin(now, tuning_.servingLeaseDuration) || hasRecentQuorumContact(now);
}

bool RequestRouter::isEvacuated(std::string const& zone) const {
  return evacuated_.count(zone) > 0;
}

bool RequestRouter::ready(Milliseconds now) const {
  bool const inStartupGrace = tuning_.leaseRequired && now - startedAt_ < tuning_.startupGracePeriod;
  return !draining_ && !inStartupGrace && servingLease(now) &&
         !(tuning_.evacuationFailsReady && isEvacuated(partialView_.self().zone)) && !routes_.empty();
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::ServingLeaseGrant const& grant) {
  for (transport::EndpointRemovalHint const& hint : grant.removalHints) applyRemovalHint(out, now, hint);
  if (grant.hasQuorum) controllerLinks_.onUsefulReply(now, from);
  if (controllerLinks_.onRevisionsWanted(now, from, grant.wantsRevisions, tuning_.leaseRequestInterval / 3))
    sendLeaseRequest(out, now, from);
  roster_.onRolloutComplete(grant.rosterRevision);
  if (!grant.hasQuorum || grant.quorumAge < 0 || grant.requestSentAt > now) return;
  servingLease_.onGrant(from, grant.requestSentAt - grant.quorumAge, grant.digest, grant.revisions);
  servingLease_.refresh(configuration_, roster_);
}

}  // namespace corkward::dataplane
