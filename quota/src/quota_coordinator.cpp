#include <corkward/quota/quota_coordinator.h>

#include <algorithm>
#include <utility>

namespace corkward::quota {

namespace {

/// Milliseconds between requests for leases, to acquire and to renew them.
constexpr Milliseconds leaseRequestInterval = 200;
/// Milliseconds between queries to routers that have not reported their allocations.
constexpr Milliseconds allocationQueryInterval = 200;
/// Milliseconds after which a controller stops contending for a partition that it has not acquired.
constexpr Milliseconds contentionTimeout = partitionLeaseDuration;
/// Backoff in milliseconds after a contention timeout, until the controller contends for the partition again: the
/// minimum plus an addition of less than contentionBackoffSpread by the hash of the controller's address. The addition
/// differs between controllers, so that two controllers that split the members' grants do not split them again.
constexpr Milliseconds minContentionBackoff = partitionLeaseDuration;
constexpr Milliseconds contentionBackoffSpread = 1000;

}  // namespace

QuotaCoordinator::QuotaCoordinator(std::string link, std::uint64_t incarnation, OverdraftAllowance const& allowance)
    : link_(std::move(link)), incarnation_(incarnation), allowance_(allowance) {}

void QuotaCoordinator::configure(Milliseconds now, std::map<std::string, Limit> limits) {
  limits_ = std::move(limits);
  for (auto& [number, partition] : ownedPartitions_) partition.configure(now, limits_, allowance_);
}

bool QuotaCoordinator::ownsPartition(Milliseconds now, std::uint64_t partition, MembershipView const& view) const {
  return ownedPartitions_.contains(partition) && now < leases_.validUntil(partition, view.members);
}

std::size_t QuotaCoordinator::ownedPartitionCount(Milliseconds now, MembershipView const& view) const {
  auto const owned = std::count_if(ownedPartitions_.begin(), ownedPartitions_.end(),
                                   [&](auto const& entry) { return ownsPartition(now, entry.first, view); });
  return static_cast<std::size_t>(owned);
}

std::string QuotaCoordinator::ownerOf(Milliseconds now, std::uint64_t partition, MembershipView const& view) const {
  if (ownsPartition(now, partition, view)) return link_;
  std::string grantedTo = grants_.holder(now, partition);
  if (!grantedTo.empty() && grantedTo != link_) return grantedTo;
  auto const announced = announcedOwners_.find(partition);
  if (announced == announcedOwners_.end() || now >= announced->second.validUntil) return "";
  return announced->second.link;
}

bool QuotaCoordinator::isPreferredOwner(std::uint64_t partition, std::vector<std::string> const& aliveMembers) const {
  return std::none_of(aliveMembers.begin(), aliveMembers.end(), [&](std::string const& other) {
    return other != link_ && ownerRank(partition, other) < ownerRank(partition, link_);
  });
}

bool QuotaCoordinator::mayContend(Milliseconds now, std::uint64_t partition, MembershipView const& view) const {
  if (view.grantPermission != GrantPermission::all || view.draining || limits_.empty()) return false;
  auto const backoff = backoffUntil_.find(partition);
  if (backoff != backoffUntil_.end() && now < backoff->second) return false;
  return ownerOf(now, partition, view).empty() && isPreferredOwner(partition, view.aliveMembers);
}

void QuotaCoordinator::updateContention(Milliseconds now, MembershipView const& view) {
  for (std::uint64_t partition = 0; partition < partitionCount; ++partition) {
    if (ownsPartition(now, partition, view)) continue;
    Milliseconds const since = leases_.contendingSince(partition);
    bool const timedOut = since >= 0 && now - since > contentionTimeout;
    if (!mayContend(now, partition, view)) {
      leases_.abandon(partition);
    } else if (timedOut) {
      leases_.abandon(partition);
      auto const spread = static_cast<Milliseconds>(core::stableHash(link_) % contentionBackoffSpread);
      backoffUntil_[partition] = now + minContentionBackoff + spread;
    } else {
      leases_.contend(now, partition, incarnation_);
    }
  }
}

void QuotaCoordinator::updateOwnedPartitions(Milliseconds now, MembershipView const& view) {
  std::erase_if(ownedPartitions_, [&](auto const& entry) {
    std::uint64_t const partition = entry.first;
    if (now < leases_.validUntil(partition, view.members)) return false;
    leases_.abandon(partition);
    return true;
  });
  for (auto const& [partition, term] : leases_.requestedTerms())
    if (now < leases_.validUntil(partition, view.members))
      ownedPartitions_.try_emplace(partition, OwnedPartition(now, term));
}

PartitionLeaseRequest QuotaCoordinator::leaseRequest(Milliseconds now) const {
  PartitionLeaseRequest request;
  request.sentAt = now;
  request.link = link_;
  request.incarnation = incarnation_;
  request.terms = leases_.requestedTerms();
  return request;
}

void QuotaCoordinator::requestLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view) {
  PartitionLeaseRequest const request = leaseRequest(now);
  if (request.terms.empty()) return;
  for (std::string const& member : view.members) {
    if (member == link_)
      leases_.onReply(link_, grants_.onRequest(now, request, view.grantPermission));
    else
      out.push_back({member, request});
  }
}

void QuotaCoordinator::releaseLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view) {
  PartitionLeaseRequest request = leaseRequest(now);
  if (request.terms.empty()) return;
  request.release = true;
  for (PartitionTerm const& released : request.terms) leases_.abandon(released.partition);
  ownedPartitions_.clear();
  grants_.onRequest(now, request, GrantPermission::none);
  for (std::string const& member : view.members)
    if (member != link_) out.push_back({member, request});
}

void QuotaCoordinator::queryAllocations(std::vector<Send>& out, Milliseconds now, MembershipView const& view) {
  std::map<std::string, AllocationQuery> queries;
  for (auto& [number, partition] : ownedPartitions_) {
    partition.advanceRecovery(now, view.quorumContactSince, view.routers);
    for (std::string const& router : partition.unreportedRouters())
      queries[router].terms.push_back({number, partition.term()});
  }
  for (auto& [router, query] : queries) out.push_back({router, std::move(query)});
}

std::vector<Send> QuotaCoordinator::clockEvent(Milliseconds now, MembershipView const& view) {
  std::vector<Send> out;
  if (view.draining) {
    releaseLeases(out, now, view);
    return out;
  }
  if (now >= nextLeaseRequestAt_) {
    nextLeaseRequestAt_ = now + leaseRequestInterval;
    updateContention(now, view);
    requestLeases(out, now, view);
  }
  updateOwnedPartitions(now, view);
  if (now >= nextAllocationQueryAt_) {
    nextAllocationQueryAt_ = now + allocationQueryInterval;
    queryAllocations(out, now, view);
  }
  return out;
}

GrantTable& QuotaCoordinator::grantTable(Milliseconds now, OwnedPartition& partition, std::string const& tenant) {
  return partition.grantTable(now, tenant, limits_.at(tenant), allowance_);
}

std::vector<Send> QuotaCoordinator::onMessage(Milliseconds now, std::string const& from, UsageReport const& message,
                                              MembershipView const& view) {
  if (message.link != from) return {};
  GrantScope const scope = view.routers.contains(from) ? GrantScope::allocation : GrantScope::amountsOnly;
  QuotaGrants reply;
  reply.reportNumber = message.reportNumber;
  std::set<std::uint64_t> otherPartitions;
  for (TenantUsage const& usage : message.usages) {
    std::uint64_t const partition = partitionOf(usage.tenant);
    if (!limits_.contains(usage.tenant)) {
      QuotaGrant unlimited;
      unlimited.tenant = usage.tenant;
      unlimited.grantedAmount = usage.requestedAmount;
      unlimited.admissionShare = fractionUnits;
      reply.grants.push_back(std::move(unlimited));
    } else if (ownsPartition(now, partition, view)) {
      GrantTable& table = grantTable(now, ownedPartitions_.at(partition), usage.tenant);
      reply.grants.push_back(table.onReport(now, from, message.incarnation, usage, scope));
    } else if (otherPartitions.insert(partition).second) {
      reply.partitionOwners.push_back({partition, ownerOf(now, partition, view)});
    }
  }
  return {Send{from, std::move(reply)}};
}

std::vector<Send> QuotaCoordinator::onMessage(Milliseconds now, std::string const& from,
                                              PartitionLeaseRequest const& message, MembershipView const& view) {
  bool const fromMember = std::find(view.members.begin(), view.members.end(), from) != view.members.end();
  if (message.link != from || !fromMember) return {};
  return {Send{from, grants_.onRequest(now, message, view.grantPermission)}};
}

std::vector<Send> QuotaCoordinator::onMessage(Milliseconds now, std::string const& from,
                                              PartitionLeaseReply const& message, MembershipView const& view) {
  leases_.onReply(from, message);
  for (PartitionLeaseDecision const& decision : message.decisions)
    if (!decision.granted && !decision.holder.empty() && decision.holder != link_)
      announcedOwners_[decision.partition] = {decision.holder, now + partitionLeaseDuration};
  updateOwnedPartitions(now, view);
  return {};
}

std::vector<Send> QuotaCoordinator::onMessage(Milliseconds now, std::string const& from,
                                              AllocationReport const& message, MembershipView const&) {
  if (message.link != from) return {};
  for (auto const& [number, term] : message.terms) {
    auto const found = ownedPartitions_.find(number);
    if (found == ownedPartitions_.end()) continue;
    OwnedPartition& partition = found->second;
    if (partition.term() != term || !partition.isRecoveryStarted()) continue;
    for (TenantUsage const& usage : message.usages)
      if (partitionOf(usage.tenant) == number && limits_.contains(usage.tenant))
        grantTable(now, partition, usage.tenant).restoreAllocation(now, from, message.incarnation, usage);
    partition.onRouterReported(now, from);
  }
  return {};
}

}  // namespace corkward::quota
