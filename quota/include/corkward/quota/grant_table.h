#pragma once

/// What the owner of a tenant's partition has granted of the tenant's limit: to which router, how much and until when.
/// It reads no clock: the time is a parameter of each call.
///
/// The limit is split into fractions: each router has one under an allocation that expires, and the owner keeps the
/// remainder. While a router is connected to the owner, the refill of its fraction goes to the owner; the router stores
/// a small reserve and requests single amounts when the reserve does not suffice. A disconnected router spends its
/// fraction by itself (see limit.h). A smaller allocation frees the difference only when the router has confirmed it,
/// or when the larger one has expired.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <corkward/quota/decaying_maximum.h>
#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// What a router may be granted.
enum class GrantScope {
  /// Only single amounts, because the router is not in the roster.
  amountsOnly,
  /// Single amounts and an allocation.
  allocation,
};

/// Grants of one tenant's limit. A fraction of the limit is a number from 0 to 1. An amount is a number of requests or
/// tokens.
class GrantTable {
 public:
  /// @param term the owner's term
  /// @param unreportedUntil until then, allocations of earlier owners that this owner does not know may still be valid
  GrantTable(Milliseconds now, std::uint64_t term, Limit const& limit, OverdraftAllowance const& allowance,
             Milliseconds unreportedUntil);

  void setLimit(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);
  /// Records an allocation that an earlier owner has granted and that the router reports to this owner.
  void restoreAllocation(Milliseconds now, std::string const& router, std::uint64_t incarnation,
                         TenantUsage const& usage);
  /// Sets an upper bound for the number of routers that may hold allocations which this table does not know.
  void limitUnreported(Milliseconds now, std::size_t routers);
  /// Records a router's report and replies to it.
  QuotaGrant onReport(Milliseconds now, std::string const& router, std::uint64_t incarnation, TenantUsage const& usage,
                      GrantScope scope);

  /// Amount that the owner can grant now.
  double availableAmount(Milliseconds now) const;
  /// Sum of the fractions that are allocated to routers, and of those that unreported allocations may have.
  double allocatedFraction(Milliseconds now) const;
  /// Demand of all routers whose last report is recent, as an amount per second.
  double demandPerSecond(Milliseconds now) const;

 private:
  /// One router's allocation and its last report.
  struct RouterAllocation {
    std::uint64_t incarnation = 0;
    /// Number of the newest grant with an allocation; 0 if this owner has granted none.
    std::uint64_t grantNumber = 0;
    /// Fraction in the newest grant.
    double grantedFraction = 0;
    /// Until when the router may spend its allocation.
    Milliseconds expiresAt = 0;
    /// Greatest fraction that the router may hold; at least `grantedFraction`.
    double reservedFraction = 0;
    /// When the newest grant was sent.
    Milliseconds grantSentAt = 0;
    /// Until when the refill of the reserved fraction goes to the owner.
    Milliseconds ownerRefillUntil = 0;
    double demandPerSecond = 0;
    double remainingAmount = 0;
    Milliseconds reportedAt = 0;
  };
  /// Adds the refill since the last update and removes expired allocations.
  void update(Milliseconds now);
  /// Upper bound for the fraction of earlier owners' unreported allocations.
  double unreportedFraction(Milliseconds now) const;
  /// Fraction that the owner keeps for itself.
  double ownerFraction(Milliseconds now) const;
  /// Greatest amount that the owner may store.
  double ownerCapacity(Milliseconds now) const;
  /// Amount that has been refilled to the owner since the last update.
  double refilledAmount(Milliseconds now) const;
  /// Greatest fraction that may be allocated to all routers together. The remainder, which the owner keeps, must
  /// suffice for the largest amounts that were requested recently.
  double allocatableFraction(Milliseconds now) const;
  /// Fraction that a router should be allocated now, in proportion to its demand.
  double targetFraction(Milliseconds now, std::string const& router) const;
  /// Fraction of the tenant's requests that routers may try to admit; below 1 while the demand exceeds the limit.
  double admissionShare(Milliseconds now) const;
  /// Returns the router's allocation; starts a new one for a new incarnation of the router.
  RouterAllocation& allocationOf(std::string const& router, std::uint64_t incarnation);
  /// Applies a report: confirmation of the newest grant, demand, remaining amount, and the amount returned to the
  /// owner.
  void recordUsage(Milliseconds now, RouterAllocation& allocation, TenantUsage const& usage);
  /// Grants the requested amount if it is available in full.
  void grantAmount(Milliseconds now, TenantUsage const& usage, QuotaGrant& grant);
  /// Grants a new allocation of this fraction.
  void grantFraction(Milliseconds now, RouterAllocation& allocation, double fraction, QuotaGrant& grant);
  /// Refills the reserve of a connected router, unless the owner has little left itself.
  void topUp(Milliseconds now, RouterAllocation const& allocation, QuotaGrant& grant);

  std::uint64_t term_;
  Limit limit_;
  OverdraftAllowance allowance_;
  std::map<std::string, RouterAllocation> allocations_;
  /// Amount that the owner had at `updatedAt_`; at most ownerCapacity.
  double availableAmount_ = 0;
  Milliseconds updatedAt_ = 0;
  DecayingMaximum largestRequestedAmount_;
  /// Upper bound for the fraction of unreported allocations, valid until `unreportedUntil_`. It only decreases.
  double unreportedFraction_ = 0;
  Milliseconds unreportedUntil_ = 0;
  std::uint64_t nextGrantNumber_ = 1;
};

}  // namespace corkward::quota
