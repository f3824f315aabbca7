#include <algorithm>

#include <corkward/dataplane/warmup_leases.h>

#include "internal.h"

namespace corkward::dataplane {

namespace {

/// Most requests for one lease whose grants are counted at a time.
constexpr std::size_t maxOpenRequests = 8;

}  // namespace

bool WarmupLeases::holds(Milliseconds now, NameIndex replica) const {
  return now < expiresAt(replica);
}

Milliseconds WarmupLeases::expiresAt(NameIndex replica) const {
  auto const lease = leases_.find(replica);
  return lease == leases_.end() ? -1 : lease->second.until;
}

bool WarmupLeases::withdraw(Milliseconds now, NameIndex replica) {
  Lease& lease = leases_[replica];
  bool const held = now < lease.until;
  lease.until = -1;
  lease.wantedSince = -1;
  return held;
}

bool WarmupLeases::shouldRequest(Milliseconds now, NameIndex replica, Milliseconds delay) {
  Lease& lease = leases_[replica];
  if (lease.wantedSince < 0) lease.wantedSince = now;
  bool const held = now < lease.until;
  Milliseconds const freeSince = std::max(lease.wantedSince, lease.heldByOtherUntil);
  if (!held && now - freeSince < delay) return false;
  if (lease.grants.size() > maxOpenRequests) lease.grants.erase(lease.grants.begin());
  return true;
}

void WarmupLeases::deny(NameIndex replica, Milliseconds until) {
  Lease& lease = leases_[replica];
  lease.heldByOtherUntil = std::max(lease.heldByOtherUntil, until);
}

bool WarmupLeases::grant(Milliseconds now, NameIndex replica, Milliseconds requestSentAt, std::string const& member,
                         std::vector<std::string> const& members, Milliseconds duration) {
  Lease& lease = leases_[replica];
  std::set<std::string>& granted = lease.grants[requestSentAt];
  granted.insert(member);
  auto const grantCount = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](std::string const& id) { return granted.count(id) > 0; }));
  Milliseconds const until = requestSentAt + duration;
  if (grantCount < majorityOf(members.size()) || until <= lease.until) return false;
  bool const acquired = now >= lease.until;
  lease.until = until;
  if (acquired) lease.bucket = scaling::SlowStartBucket(now);
  return acquired;
}

bool WarmupLeases::hasToken(Milliseconds now, NameIndex replica, double rate) const {
  auto const lease = leases_.find(replica);
  return lease != leases_.end() && now < lease->second.until && lease->second.bucket.hasToken(now, rate);
}

bool WarmupLeases::takeToken(Milliseconds now, NameIndex replica, double rate) {
  return leases_.at(replica).bucket.takeToken(now, rate);
}

std::vector<NameIndex> WarmupLeases::releaseAll(Milliseconds now) {
  std::vector<NameIndex> released;
  for (auto& [replica, lease] : leases_) {
    if (now >= lease.until) continue;
    lease.until = -1;
    released.push_back(replica);
  }
  return released;
}

}  // namespace corkward::dataplane
