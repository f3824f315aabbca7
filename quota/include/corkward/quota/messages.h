#pragma once

/// Messages between routers, which spend tenants' limits, and controllers, which own the tenants' partitions; and
/// messages between controllers, which grant each other leases on partitions.
///
/// The one-letter tags in each() are the wire format. They must not change when a field is renamed.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::quota {

/// Number of partitions that tenants are hashed to. Each partition has its own owner, a controller.
inline constexpr std::uint64_t partitionCount = 16;
/// Fractions on the wire are integers in units of 1 / fractionUnits.
inline constexpr std::uint64_t fractionUnits = 1000000000;

/// Converts a fraction from its integer form on the wire.
inline double fractionFromWire(std::uint64_t units) {
  return static_cast<double>(units) / static_cast<double>(fractionUnits);
}

/// Converts a fraction to its integer form on the wire, clamped to the range from 0 to 1.
inline std::uint64_t fractionToWire(double fraction) {
  return static_cast<std::uint64_t>(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(fractionUnits));
}

/// The partition that a tenant belongs to.
inline std::uint64_t partitionOf(std::string const& tenant) {
  return core::stableHash(tenant) % partitionCount;
}

/// Rendezvous hash of a controller for a partition: the controller with the lowest rank is the preferred owner.
inline std::uint64_t ownerRank(std::uint64_t partition, std::string const& controller) {
  return core::stableHash("quota " + std::to_string(partition) + "|" + controller);
}

/// One tenant at one router: its demand, what the router requests or returns, and the allocation that it holds.
struct TenantUsage {
  std::string tenant;
  /// Recent demand of the tenant's requests at this router, as an amount per second.
  std::uint64_t demandPerSecond = 0;
  /// Amount that waiting requests need now. The owner grants the full amount or none of it.
  std::uint64_t requestedAmount = 0;
  /// Amount that this router can still spend.
  std::uint64_t remainingAmount = 0;
  /// Amount that the router returns to the owner.
  std::uint64_t returnedAmount = 0;
  /// The allocation that the router holds, in units of 1 / fractionUnits; 0 if it has none.
  std::uint64_t allocatedFraction = 0;
  /// Term of the owner that granted the allocation.
  std::uint64_t ownerTerm = 0;
  /// Number of the grant that contained the allocation.
  std::uint64_t grantNumber = 0;
  /// Milliseconds until the allocation expires.
  std::uint64_t allocationRemainingMs = 0;
  /// True if the router requests a new allocation; false if it requests only `requestedAmount`.
  bool wantsRenewal = false;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("x", wantsRenewal);
    f("d", demandPerSecond);
    f("w", requestedAmount);
    f("a", remainingAmount);
    f("b", returnedAmount);
    f("f", allocatedFraction);
    f("e", ownerTerm);
    f("n", grantNumber);
    f("r", allocationRemainingMs);
  }
};

/// Sent by a router to the controller that owns partitions of its tenants, periodically while the tenants have requests
/// or allocations, and when a request waits for an amount. The reply is QuotaGrants.
struct UsageReport {
  /// Link address of the sender.
  std::string link;
  /// Incarnation of the sending process, which rises with each start.
  std::uint64_t incarnation = 0;
  /// Identifies the report in its reply. It rises with each report of a router.
  std::uint64_t reportNumber = 0;
  std::vector<TenantUsage> usages;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("i", incarnation);
    f("n", reportNumber);
    f("u", usages);
  }
};

/// Grant by the owner of a partition to one router, out of one tenant's limit.
struct QuotaGrant {
  std::string tenant;
  /// Term of the owner.
  std::uint64_t ownerTerm = 0;
  /// Number of the new allocation, which rises with each allocation of this owner. 0 if the router's allocation does
  /// not change and only `grantedAmount` applies.
  std::uint64_t grantNumber = 0;
  /// Fraction of the limit that the router may spend from now on, in units of 1 / fractionUnits.
  std::uint64_t allocatedFraction = 0;
  /// Amount that the router may spend in addition, in reply to TenantUsage::requestedAmount and to refill its reserve.
  std::uint64_t grantedAmount = 0;
  /// Fraction of the tenant's requests that routers may try to admit, in units of 1 / fractionUnits.
  std::uint64_t admissionShare = 0;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("e", ownerTerm);
    f("n", grantNumber);
    f("f", allocatedFraction);
    f("a", grantedAmount);
    f("s", admissionShare);
  }
};

/// The owner of a partition, as far as the sender knows.
struct PartitionOwner {
  std::uint64_t partition = 0;
  /// Link address of the controller; empty if no owner is known.
  std::string coordinator;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("l", coordinator);
  }
};

/// Sent by a controller to a router, in reply to a UsageReport: grants for the partitions that the sender owns, and the
/// owners of the other partitions that the report named.
struct QuotaGrants {
  /// UsageReport::reportNumber of the report.
  std::uint64_t reportNumber = 0;
  std::vector<QuotaGrant> grants;
  std::vector<PartitionOwner> partitionOwners;
  template <class F>
  void each(F& f) {
    f("n", reportNumber);
    f("l", grants);
    f("e", partitionOwners);
  }
};

/// A partition and the term under which it is owned or requested. Terms of a partition rise with each owner.
struct PartitionTerm {
  std::uint64_t partition = 0;
  std::uint64_t term = 0;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("e", term);
  }
};

/// Sent by the new owner of partitions to a router, to learn which allocations the router holds in these partitions. It
/// is repeated until the router has replied with an AllocationReport. From then on the router ignores replies to
/// reports that it sent before this query.
struct AllocationQuery {
  /// The partitions, with the terms of the new owner.
  std::vector<PartitionTerm> terms;
  template <class F>
  void each(F& f) {
    f("p", terms);
  }
};

/// Sent by a router to a new owner, in reply to an AllocationQuery: all allocations that the router holds in the
/// queried partitions.
struct AllocationReport {
  /// Link address of the sender.
  std::string link;
  /// Incarnation of the sending process.
  std::uint64_t incarnation = 0;
  /// The partitions and terms of the query.
  std::vector<PartitionTerm> terms;
  /// One entry for each tenant with an allocation.
  std::vector<TenantUsage> usages;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("i", incarnation);
    f("p", terms);
    f("u", usages);
  }
};

/// Sent by a controller to all members of the control plane, periodically while it contends for partitions or owns
/// some: requests, renews or releases leases on these partitions. The reply is PartitionLeaseReply.
struct PartitionLeaseRequest {
  /// Time on the sender's clock. The sender counts the duration of granted leases from it.
  core::Milliseconds sentAt = 0;
  /// Link address of the sender.
  std::string link;
  /// Incarnation of the sending process.
  std::uint64_t incarnation = 0;
  /// True if the sender releases these leases instead of requesting them.
  bool release = false;
  std::vector<PartitionTerm> terms;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("l", link);
    f("i", incarnation);
    f("r", release);
    f("p", terms);
  }
};

/// A member's decision on one partition's lease.
struct PartitionLeaseDecision {
  std::uint64_t partition = 0;
  /// Greatest term that the member has granted.
  std::uint64_t term = 0;
  bool granted = false;
  /// Link address of the controller that holds the lease by this member's grant; empty if none does.
  std::string holder;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("e", term);
    f("g", granted);
    f("h", holder);
  }
};

/// Sent by a member to a controller, in reply to a PartitionLeaseRequest.
struct PartitionLeaseReply {
  /// PartitionLeaseRequest::sentAt of the request.
  core::Milliseconds requestSentAt = 0;
  std::vector<PartitionLeaseDecision> decisions;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("p", decisions);
  }
};

}  // namespace corkward::quota
