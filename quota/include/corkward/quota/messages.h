#pragma once

/// Messages between routers, which spend tenants' limits, and the owners of the tenants' partitions; and between
/// controllers, which grant each other leases on partitions.
///
/// The one-letter tags in each() are the wire format: they stay when a field is renamed.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::quota {

/// Number of partitions that tenants are hashed to; each partition has an owner of its own.
inline constexpr std::uint64_t partitionCount = 16;
/// Fractions on the wire are integers in units of 1 / fractionUnits.
inline constexpr std::uint64_t fractionUnits = 1000000000;

inline double fractionFromWire(std::uint64_t units) {
  return static_cast<double>(units) / static_cast<double>(fractionUnits);
}

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
  /// Amount that a request waits for; the owner grants all of it or nothing.
  std::uint64_t requestedAmount = 0;
  /// Amount that this router can still spend.
  std::uint64_t remainingAmount = 0;
  /// Amount that the router returns to the owner.
  std::uint64_t returnedAmount = 0;
  /// The allocation that it holds, in units of 1 / fractionUnits; 0: none.
  std::uint64_t allocatedFraction = 0;
  /// Term of the owner that granted the allocation, and the number of that grant.
  std::uint64_t ownerTerm = 0;
  std::uint64_t grantNumber = 0;
  /// Milliseconds until the allocation expires.
  std::uint64_t allocationRemainingMs = 0;
  /// A new allocation is requested; else the amount alone.
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

/// A router's report to the owner of its tenants' partitions; the reply is QuotaGrants.
struct UsageReport {
  /// Address of the sender, and which incarnation of that process it is.
  std::string link;
  std::uint64_t incarnation = 0;
  /// Identifies the report in its reply; rises with each report of a router.
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

/// What a partition's owner grants one router of one tenant's limit.
struct QuotaGrant {
  std::string tenant;
  /// Term of the owner.
  std::uint64_t ownerTerm = 0;
  /// Rises with each allocation of this owner; 0: the router's allocation stays as it is, only the amount counts.
  std::uint64_t grantNumber = 0;
  /// Fraction of the limit that the router may spend from now on, in units of 1 / fractionUnits.
  std::uint64_t allocatedFraction = 0;
  /// Amount that may be spent at once, in reply to TenantUsage::requestedAmount.
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
  /// Address of the controller; empty: none is known.
  std::string coordinator;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("l", coordinator);
  }
};

/// Reply to a UsageReport: grants for the partitions that the sender owns, and the owners of the others.
struct QuotaGrants {
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

/// A new owner queries a router for the allocations that it holds in these partitions; the router ignores replies to
/// reports that it sent before.
struct AllocationQuery {
  std::vector<PartitionTerm> terms;
  template <class F>
  void each(F& f) {
    f("p", terms);
  }
};

/// Reply to an AllocationQuery: all allocations that this router holds of these partitions.
struct AllocationReport {
  std::string link;
  std::uint64_t incarnation = 0;
  std::vector<PartitionTerm> terms;
  std::vector<TenantUsage> usages;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("i", incarnation);
    f("p", terms);
    f("u", usages);
  }
};

/// A controller requests leases on partitions from each member, or renews or releases those that it has.
struct PartitionLeaseRequest {
  /// Moment on the sender's clock, in milliseconds; leases count from it.
  core::Milliseconds sentAt = 0;
  std::string link;
  std::uint64_t incarnation = 0;
  /// The sender gives these leases up.
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
  /// Who holds the lease by this member's grant; empty: nobody.
  std::string holder;
  template <class F>
  void each(F& f) {
    f("p", partition);
    f("e", term);
    f("g", granted);
    f("h", holder);
  }
};

/// One member's reply to a PartitionLeaseRequest.
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
