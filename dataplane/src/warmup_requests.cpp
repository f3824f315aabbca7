// Requests warm-up leases from the controllers and handles their replies.
#include <algorithm>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::needsWarmupLease(Replica const& replica) const {
  return !draining_ && snapshotApplied_ && replica.state == config::ReplicaState::warmingUp && replica.listed &&
         !isEvacuated(replica.zone);
}

Milliseconds RequestRouter::warmupRequestDelay(std::string const& replica) const {
  std::uint64_t const own = core::stableHash(replica + partialView_.self().link);
  auto const rank = std::count_if(otherRouters().begin(), otherRouters().end(),
                                  [&](std::string const& link) { return core::stableHash(replica + link) < own; });
  return rank * 2 * tuning_.warmupRequestInterval;
}

void RequestRouter::updateWarmupLeases(RouterCommands& out, Milliseconds now) {
  std::vector<std::string> const targets = controllers(now);
  for (PoolView& view : pools_) {
    for (NameIndex const replica : view.replicas) {
      if (!needsWarmupLease(replicas_[replica])) {
        bool const held = warmupLeases_.withdraw(now, replica);
        view.changed = view.changed || held;
        continue;
      }
      std::string const& name = replicaNames_.name(replica);
      if (!warmupLeases_.shouldRequest(now, replica, warmupRequestDelay(name))) continue;
      for (std::string const& controller : targets)
        out.sends.push_back(
            transport::Send{controller, transport::WarmupLeaseRequest{now, name, partialView_.self().link,
                                                                      partialView_.self().incarnation, false, ""}});
    }
  }
}

void RequestRouter::releaseWarmupLeases(RouterCommands& out, Milliseconds now) {
  std::vector<std::string> const& others = otherRouters();
  for (NameIndex const replica : warmupLeases_.releaseAll(now)) {
    pools_[replicas_[replica].pool].changed = true;
    std::string const successor = others.empty() ? "" : others[replica % others.size()];
    for (std::string const& controller : controllers(now))
      out.sends.push_back(transport::Send{
          controller, transport::WarmupLeaseRequest{now, replicaNames_.name(replica), partialView_.self().link,
                                                    partialView_.self().incarnation, true, successor}});
  }
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const&,
                       transport::WarmupLeaseGrant const& grant) {
  NameIndex const replica = replicaNames_.find(grant.replica);
  if (replica >= replicas_.size() || grant.requestSentAt > now) return;
  if (!grant.granted) {
    if (grant.holder != partialView_.self().link) warmupLeases_.deny(replica, now + tuning_.warmupLeaseDuration);
    return;
  }
  if (membershipIds_.empty() || !warmupLeases_.grant(now, replica, grant.requestSentAt, grant.member, membershipIds_,
                                                     tuning_.warmupLeaseDuration))
    return;
  pools_[replicas_[replica].pool].changed = true;
  logEvent(out, now, events::warmupLeaseGranted,
           {{"replica", grant.replica}, {"lease-term", std::to_string(grant.term)}});
  refreshCandidates(out, now);
}

}  // namespace corkward::dataplane
