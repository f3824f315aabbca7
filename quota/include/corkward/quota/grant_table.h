#pragma once

/// What the owner of a tenant's partition has granted of the tenant's limit: to whom, how much and until when. Pure,
/// with the time in each call.
///
/// The limit is split in fractions: each router has one under an allocation that expires, the owner keeps the rest.
/// While a router is connected, the refill of its fraction goes to the owner, and the router requests single amounts
/// beside the small reserve that it stores; a disconnected router spends its fraction by itself (see limit.h). A
/// smaller allocation frees the difference only when the router has confirmed it, or when the larger one has expired.

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
  /// Single amounts: the router is not in the roster.
  amountsOnly,
  /// Single amounts and an allocation.
  allocation,
};

/// Grants of one tenant's limit. Fractions are parts of the limit, 0 to 1; amounts are requests or tokens.
class GrantTable {
 public:
  /// @param term the owner's term
  /// @param unreportedUntil until then allocations of earlier owners may be valid that this one does not know of
  GrantTable(Milliseconds now, std::uint64_t term, Limit const& limit, OverdraftAllowance const& allowance,
             Milliseconds unreportedUntil);

  void setLimit(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);
  /// A router reports the allocation that an earlier owner has granted it.
  void restoreAllocation(Milliseconds now, std::string const& router, std::uint64_t incarnation,
                         TenantUsage const& usage);
  /// At most this many routers may hold allocations that this table does not know of.
  void limitUnreported(Milliseconds now, std::size_t routers);
  /// Records a router's report and replies to it.
  QuotaGrant onReport(Milliseconds now, std::string const& router, std::uint64_t incarnation, TenantUsage const& usage,
                      GrantScope scope);

  /// Amount that the owner may grant at once.
  double availableAmount(Milliseconds now) const;
  /// Fraction that is allocated to routers, or may be.
  double allocatedFraction(Milliseconds now) const;
  /// Demand of all routers that have reported lately, as an amount per second.
  double demandPerSecond(Milliseconds now) const;

 private:
  /// One router's allocation and its last report.
  struct RouterAllocation {
    std::uint64_t incarnation = 0;
    /// Number of the newest grant with an allocation; 0: this owner has granted none.
    std::uint64_t grantNumber = 0;
    /// Fraction in the newest grant, and until when the router may spend it.
    double grantedFraction = 0;
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
  /// Fraction that earlier owners' unreported allocations may have.
  double unreportedFraction(Milliseconds now) const;
  /// Fraction that the owner keeps for itself.
  double ownerFraction(Milliseconds now) const;
  /// Greatest amount that the owner may store.
  double ownerCapacity(Milliseconds now) const;
  /// Amount that has been refilled to the owner since the last update.
  double refilledAmount(Milliseconds now) const;
  /// Greatest fraction to allocate: the owner's rest must suffice for the largest amounts requested of late.
  double allocatableFraction(Milliseconds now) const;
  double targetFraction(Milliseconds now, std::string const& router) const;
  /// Fraction of the tenant's requests that routers may try to admit.
  double admissionShare(Milliseconds now) const;
  RouterAllocation& allocationOf(std::string const& router, std::uint64_t incarnation);
  void recordUsage(Milliseconds now, RouterAllocation& allocation, TenantUsage const& usage);
  void grantAmount(Milliseconds now, TenantUsage const& usage, QuotaGrant& grant);
  void grantFraction(Milliseconds now, RouterAllocation& allocation, double fraction, QuotaGrant& grant);
  /// Fills the router's reserve up, while enough is available.
  void topUp(Milliseconds now, RouterAllocation const& allocation, QuotaGrant& grant);

  std::uint64_t term_;
  Limit limit_;
  OverdraftAllowance allowance_;
  std::map<std::string, RouterAllocation> allocations_;
  /// Amount that the owner had at `updatedAt_`; at most ownerCapacity.
  double availableAmount_ = 0;
  Milliseconds updatedAt_ = 0;
  DecayingMaximum largestRequestedAmount_;
  /// Only shrinks; counts until `unreportedUntil_`.
  double unreportedFraction_ = 0;
  Milliseconds unreportedUntil_ = 0;
  std::uint64_t nextGrantNumber_ = 1;
};

}  // namespace corkward::quota
