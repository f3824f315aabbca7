#include <corkward/quota/owned_partition.h>

#include <utility>

namespace corkward::quota {

OwnedPartition::OwnedPartition(Milliseconds now, std::uint64_t term)
    : term_(term), since_(now), recoveryEndsAt_(now + allocationDuration) {}

void OwnedPartition::configure(Milliseconds now, std::map<std::string, Limit> const& limits,
                               OverdraftAllowance const& allowance) {
  std::erase_if(grantTables_, [&](auto const& entry) { return !limits.contains(entry.first); });
  for (auto& [tenant, table] : grantTables_) table.setLimit(now, limits.at(tenant), allowance);
}

GrantTable& OwnedPartition::grantTable(Milliseconds now, std::string const& tenant, Limit const& limit,
                                       OverdraftAllowance const& allowance) {
  auto const found = grantTables_.find(tenant);
  if (found != grantTables_.end()) return found->second;
  GrantTable table(since_, term_, limit, allowance, recoveryEndsAt_);
  if (recoveryStarted_) table.limitUnreported(now, unreportedRouters_.size());
  return grantTables_.emplace(tenant, std::move(table)).first->second;
}

void OwnedPartition::advanceRecovery(Milliseconds now, Milliseconds quorumContactSince,
                                     std::set<std::string> const& routers) {
  if (now >= recoveryEndsAt_) unreportedRouters_.clear();
  if (recoveryStarted_ || quorumContactSince <= since_) return;
  recoveryStarted_ = true;
  unreportedRouters_ = routers;
  limitUnreported(now);
}

void OwnedPartition::onRouterReported(Milliseconds now, std::string const& router) {
  unreportedRouters_.erase(router);
  limitUnreported(now);
}

void OwnedPartition::limitUnreported(Milliseconds now) {
  for (auto& [tenant, table] : grantTables_) table.limitUnreported(now, unreportedRouters_.size());
}

}  // namespace corkward::quota
