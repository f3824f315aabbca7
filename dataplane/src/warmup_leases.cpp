#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::holdsWarmupLease(Tick now, NameIndex replica) const {
  std::map<NameIndex, WarmupLease>::const_iterator const it = warmupLeases_.find(replica);
  return it != warmupLeases_.end() && now < it->second.until;
}

void RequestRouter::updateWarmupLeases(RouterCommands& out, Tick now) {
  std::vector<std::string> const subs = controllers(now);
  std::vector<std::string> nodes = otherRouters();
  nodes.push_back(partialView_.self().link);
  for (std::size_t p = 0; p < pools_.size(); ++p) {
    for (NameIndex const r : pools_[p].replicas) {
      WarmupLease& w = warmupLeases_.try_emplace(r).first->second;
      bool const want = !draining_ && snapshotApplied_ && replicas_[r].state == config::ReplicaState::warmingUp &&
                        replicas_[r].listed && !isEvacuated(replicas_[r].zone);
      if (!want) {
        pools_[p].changed = pools_[p].changed || now < w.until;
        w.until = -1;
        w.wantedSince = -1;
        continue;
      }
      if (w.wantedSince < 0) w.wantedSince = now;
      std::string const& name = replicaNames_.name(r);
      std::uint64_t const mine = core::stableHash(name + partialView_.self().link);
      Tick rank = 0;
      for (std::string const& n : nodes) rank += core::stableHash(name + n) < mine ? 1 : 0;
      bool const held = now < w.until;
      Tick const openSince = std::max(w.wantedSince, w.fullyGrantedUntil);
      if (!held && now - openSince < rank * 2 * tuning_.warmupRequestInterval) continue;
      if (w.grants.size() > 8) w.grants.erase(w.grants.begin());
      for (std::string const& s : subs)
        out.sends.push_back(
            transport::Send{s, transport::WarmupLeaseRequest{now, name, partialView_.self().link,
                                                             partialView_.self().incarnation, false, ""}});
    }
  }
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const&, transport::WarmupLeaseGrant const& m) {
  NameIndex const r = replicaNames_.find(m.replica);
  if (r >= replicas_.size() || m.requestSentAt > now) return;
  WarmupLease& w = warmupLeases_.try_emplace(r).first->second;
  if (!m.granted) {
    if (m.holder != partialView_.self().link)
      w.fullyGrantedUntil = std::max(w.fullyGrantedUntil, now + tuning_.warmupLeaseDuration);
    return;
  }
  if (membershipIds_.empty()) return;
  std::set<std::string>& yes = w.grants[m.requestSentAt];
  yes.insert(m.member);
  std::size_t n = 0;
  for (std::string const& id : membershipIds_) n += yes.count(id);
  if (n < majorityOf(membershipIds_.size()) || m.requestSentAt + tuning_.warmupLeaseDuration <= w.until) return;
  bool const fresh = now >= w.until;
  w.until = m.requestSentAt + tuning_.warmupLeaseDuration;
  if (!fresh) return;
  w.bucket = scaling::SlowStartBucket(now);
  pools_[replicas_[r].pool].changed = true;
  logEvent(out, now, "warming-duty", {{"replica", m.replica}, {"epoch", std::to_string(m.term)}});
  refreshCandidates(out, now);
}

}  // namespace corkward::dataplane
