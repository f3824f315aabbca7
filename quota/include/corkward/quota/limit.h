#pragma once

/// A tenant's limit over all nodes together, what may be admitted beyond it, and the greatest sum that the fractions of
/// this package let pass. Amounts are requests or tokens, as the tenant's limit is measured.

#include <corkward/core/types.h>

namespace corkward::quota {

using core::Tick;

/// A tenant's token bucket.
struct Limit {
  /// What flows into the bucket in a second; 0: no limit.
  double perSecond = 0;
  /// What the bucket holds.
  double burst = 0;
  bool operator==(Limit const&) const = default;
};

/// What may be admitted beyond the bucket in each window, as the fleet's operators bound it: an overrun as a share of
/// what the bucket gives, and a fixed slack. Zeros: nothing.
struct OverdraftAllowance {
  /// Milliseconds.
  Tick window = 8000;
  double overrun = 0;
  double fixed = 0;
};

/// Milliseconds from the moment an amount is taken out of a counter until the request is handed to a replica. An amount
/// that waited longer is given back and has to be taken anew.
inline constexpr Tick handOverWithin = 500;
/// Milliseconds for which a router may spend the fraction that it was lent, from when it asked for it.
inline constexpr Tick allocationDuration = 10000;
/// Milliseconds after its newest loan arrived from which what flows into a router's fraction is the router's; until
/// then it is the lender's, which counts the same time from when it sent that loan.
inline constexpr Tick ownFlowAfter = 1500;
/// Part of its fraction's capacity that a router may hold before ownFlowAfter; the rest is the lender's until then.
inline constexpr double connectedReserveFraction = 0.25;
/// Greatest part of a limit that a lender has out in fractions; the rest answers requests for single amounts.
inline constexpr double maxAllocatedFraction = 0.6;
/// Greatest fraction that one router is lent.
inline constexpr double maxFractionPerRouter = 0.1;
/// Part of a limit that routers without a loan share among them, each as much as any other.
inline constexpr double unallocatedFraction = 0.005;

/// The most that the operators allow in a window: (perSecond x window + burst) x (1 + overrun) + fixed.
double allowed(Limit const& limit, OverdraftAllowance const& slack);
/// What all counters of a tenant hold together at the most, so that greatestSum stays within allowed. Where the slack
/// does not reach for handOverWithin, at least half of the burst and a quarter of a second's flow.
double capacity(Limit const& limit, OverdraftAllowance const& slack);
/// The most that is handed to replicas in a window, whatever is cut off, lost or frozen: the fractions of all counters
/// are 1 in sum at any time, what flows into a fraction f, f x perSecond, flows to one counter at a time, all that is
/// held by virtue of it is no more than f x capacity, and what is taken out is handed over within handOverWithin. Hence
/// capacity + perSecond x (window + handOverWithin).
double greatestSum(Limit const& limit, OverdraftAllowance const& slack);

}  // namespace corkward::quota
