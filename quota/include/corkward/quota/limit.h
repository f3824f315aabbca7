#pragma once

/// A tenant's limit over the fleet, and how it is bounded.
///
/// Terms. A *limit* is a token bucket in requests or tokens. The *partition owner* is the controller that holds the
/// lease on the tenant's partition (partition_leases.h). It splits the bucket into fractions: a router holds an
/// *allocation* (a fraction of the limit, for allocationDuration), the owner keeps the rest and grants single amounts
/// out of it, and routers without an allocation share unallocatedFraction. A *counter* is anything that may admit
/// requests against such a fraction: the owner's GrantTable and each router's QuotaLimiter.
///
/// Claim: in any window, the fleet dispatches at most maxDispatchedAmount() to replicas, whatever is partitioned, lost
/// or paused.
///
/// Argument:
///  1. The fractions of all counters sum up to at most 1 at any time. One owner at a time grants them, since two leases
///     on a partition never overlap; a new owner counts maxAllocatedFraction as allocated until the routers have
///     reported what they hold, or until allocations of its predecessors have expired; a smaller allocation frees the
///     difference only once the router has confirmed it or the larger one has expired.
///  2. The refill of a fraction f, which is f x perSecond, reaches one counter at a time: the owner for
///     refillTransferDelay after it sent the newest grant that the router has confirmed, the router from
///     refillTransferDelay after it received its newest grant, which is later.
///  3. What is stored by virtue of a fraction f is at most f x totalCapacity(). Together the counters store at most
///     totalCapacity(), so within a window of W milliseconds they admit at most totalCapacity() plus the refill of W.
///  4. An amount that was taken from a counter is dispatched within maxDispatchDelay or returned. What is dispatched in
///     a window was therefore taken within W + maxDispatchDelay.
/// Hence totalCapacity() + perSecond x (W + maxDispatchDelay). The exception is a fleet without any owner for longer
/// than allocationDuration: unallocatedFraction is then bounded in the mean only, since requests draw lots for it.
///
/// The bound case by case, the alternatives and their costs: docs/design.md, "Tenants' limits over all nodes".

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Milliseconds;

/// A tenant's token bucket. Amounts are requests or tokens, as the tenant's limit is measured.
struct Limit {
  /// Refill of the bucket, as an amount per second; 0: no limit.
  double perSecond = 0;
  /// Size of the bucket, as an amount.
  double burst = 0;
  bool operator==(Limit const&) const = default;
};

/// What operators allow beyond the bucket in each window. Zeros: nothing.
struct OverdraftAllowance {
  /// Length of the window, in milliseconds.
  Milliseconds window = 8000;
  /// As a fraction of what the bucket admits in a window.
  double overrunFraction = 0;
  /// As an amount.
  double fixedAmount = 0;
};

/// Milliseconds from taking an amount out of a counter until the request is dispatched to a replica. An amount that
/// waited longer is returned and has to be taken again.
inline constexpr Milliseconds maxDispatchDelay = 500;
/// Milliseconds for which a router may spend an allocation, from when it sent the report that the grant answers.
inline constexpr Milliseconds allocationDuration = 10000;
/// Milliseconds after its newest grant arrived from which the refill of a router's allocation is the router's; until
/// then it is the owner's, which counts the same time from when it sent that grant.
inline constexpr Milliseconds refillTransferDelay = 1500;
/// Fraction of its allocation's capacity that a router may store before refillTransferDelay has passed; the rest is
/// the owner's until then.
inline constexpr double connectedReserveFraction = 0.25;
/// Greatest fraction of a limit that an owner allocates to routers; the rest answers requests for single amounts.
inline constexpr double maxAllocatedFraction = 0.6;
/// Greatest fraction of a limit that one router is allocated.
inline constexpr double maxFractionPerRouter = 0.1;
/// Fraction of a limit that routers without an allocation share equally.
inline constexpr double unallocatedFraction = 0.005;

/// The amount that operators allow in a window: (perSecond x window + burst) x (1 + overrunFraction) + fixedAmount.
double allowedAmount(Limit const& limit, OverdraftAllowance const& allowance);
/// The amount that all counters of a tenant store together at the most, chosen so that maxDispatchedAmount stays
/// within allowedAmount. At least half of the burst, a quarter of a second's refill and 1, even where the allowance
/// does not cover maxDispatchDelay.
double totalCapacity(Limit const& limit, OverdraftAllowance const& allowance);
/// The greatest amount that is dispatched to replicas in a window; see the argument at the top.
double maxDispatchedAmount(Limit const& limit, OverdraftAllowance const& allowance);

}  // namespace corkward::quota
