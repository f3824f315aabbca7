#pragma once

/// A tenant's limit for the whole fleet, and the upper bound of the amount that the fleet dispatches under it.
///
/// Terms: A *limit* is a token bucket in requests or tokens. The *partition owner* is the controller that holds the
/// lease on the tenant's partition (partition_leases.h). It splits the bucket into fractions: a router holds an
/// *allocation* (a fraction of the limit, for allocationDuration), the owner keeps the remainder and grants single
/// amounts out of it, and routers without an allocation share unallocatedFraction. A *counter* is anything that admits
/// requests against such a fraction: the owner's GrantTable and each router's QuotaLimiter.
///
/// Claim: in any window, the fleet dispatches at most maxDispatchedAmount() to replicas, also during network
/// partitions, message loss and paused processes.
///
/// Argument:
///  1. The fractions of all counters sum up to at most 1 at any time. One owner at a time grants them, since two leases
///     on a partition never overlap. A new owner counts maxAllocatedFraction as allocated until the routers have
///     reported their allocations, or until the allocations of its predecessors have expired. A smaller allocation
///     frees the difference only once the router has confirmed it or the larger one has expired.
///  2. The refill of a fraction f, which is f x perSecond, goes to only one counter at a time. It goes to the owner
///     until refillTransferDelay after the owner sent the newest grant that the router has confirmed. It goes to the
///     router from refillTransferDelay after the router received its newest grant. This time is later, because a grant
///     is received after it was sent, and the newest grant is not older than the newest confirmed one.
///  3. A counter with the fraction f stores at most f x totalCapacity(). Together the counters store at most
///     totalCapacity(), so within a window of W milliseconds they admit at most totalCapacity() plus the refill of W.
///  4. An amount that was taken from a counter is dispatched within maxDispatchDelay or returned. What is dispatched in
///     a window was therefore taken within W + maxDispatchDelay.
/// Hence the bound is totalCapacity() + perSecond x (W + maxDispatchDelay). The exception is a fleet without any owner
/// for longer than allocationDuration: the amount admitted from unallocatedFraction is then bounded in the mean only,
/// since a request that exceeds what is available is admitted with a probability (QuotaLimiter::tryAcquireUnallocated).
///
/// The bound case by case, the alternatives and their costs: docs/design.md, "Tenants' limits over all nodes".

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Milliseconds;

/// A tenant's token bucket. Amounts are requests or tokens, as the tenant's limit is measured.
struct Limit {
  /// Refill of the bucket, as an amount per second; 0 if the tenant has no limit.
  double perSecond = 0;
  /// Size of the bucket, as an amount.
  double burst = 0;
  bool operator==(Limit const&) const = default;
};

/// Overdraft: what operators allow beyond the bucket in each window. With zeros there is no overdraft.
struct OverdraftAllowance {
  /// Length of the window, in milliseconds.
  Milliseconds window = 8000;
  /// Overdraft as a fraction of what the bucket admits in a window.
  double overrunFraction = 0;
  /// Overdraft as an amount, in addition to overrunFraction.
  double fixedAmount = 0;
};

/// Milliseconds from taking an amount out of a counter until the request is dispatched to a replica. An amount that
/// waited longer is returned and has to be taken again.
inline constexpr Milliseconds maxDispatchDelay = 500;
/// Milliseconds for which a router may spend an allocation, counted from when it sent the report that the grant replies
/// to.
inline constexpr Milliseconds allocationDuration = 10000;
/// Milliseconds for which the refill of a router's allocation still goes to the owner after a grant; afterwards it goes
/// to the router. The router counts from when its newest grant arrived, the owner from when it sent that grant.
inline constexpr Milliseconds refillTransferDelay = 1500;
/// Reserve of a connected router: the fraction of its allocation's capacity that it may store before
/// refillTransferDelay has passed. The remainder belongs to the owner until then.
inline constexpr double connectedReserveFraction = 0.25;
/// Greatest fraction of a limit that an owner allocates to routers. It grants requests for single amounts from the
/// remainder.
inline constexpr double maxAllocatedFraction = 0.6;
/// Greatest fraction of a limit that is allocated to one router.
inline constexpr double maxFractionPerRouter = 0.1;
/// Fraction of a limit that routers without an allocation share equally.
inline constexpr double unallocatedFraction = 0.005;

/// The amount that operators allow per window: (perSecond x window + burst) x (1 + overrunFraction) + fixedAmount.
double allowedAmount(Limit const& limit, OverdraftAllowance const& allowance);
/// Greatest amount that all counters of a tenant store together, chosen so that maxDispatchedAmount stays within
/// allowedAmount. It is at least half of the burst, a quarter of a second's refill, and 1, even if the allowance does
/// not cover the refill during maxDispatchDelay.
double totalCapacity(Limit const& limit, OverdraftAllowance const& allowance);
/// Greatest amount that is dispatched to replicas in a window; see the argument at the top of this file.
double maxDispatchedAmount(Limit const& limit, OverdraftAllowance const& allowance);

}  // namespace corkward::quota
