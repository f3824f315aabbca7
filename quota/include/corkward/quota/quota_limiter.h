#pragma once

/// One tenant at one router: admits its requests against the fraction of the limit that this router was allocated, and
/// against single amounts that the partition's owner grants. Pure, with the time in each call.

#include <cstddef>
#include <cstdint>

#include <corkward/quota/demand_estimator.h>
#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// How many routers share unallocatedFraction equally.
struct UnallocatedShare {
  std::size_t routers = 1;
};

/// Rate limiter of one tenant at one router. Amounts are requests or tokens, as the limit is measured.
class QuotaLimiter {
 public:
  /// Milliseconds between reports while requests arrive.
  static constexpr Milliseconds reportEvery = 200;

  QuotaLimiter();

  /// Records the demand of a request.
  /// @param draw a random number, 0 to 1
  /// @return false: the request is not among the fraction of requests that may be admitted at present
  bool onRequest(Milliseconds now, double amount, double draw);
  /// Takes the amount if this router has as much; else takes nothing and returns false.
  bool tryAcquire(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount);
  /// Takes the amount out of this router's part of unallocatedFraction. For more than there is, the draw decides with
  /// a probability of what there is over the amount, and uses that up: the mean of what is admitted stays within it.
  /// @param draw a random number, 0 to 1
  bool tryAcquireUnallocated(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount,
                             UnallocatedShare sharing, double draw);
  /// Returns an amount that was acquired and is not needed.
  void refund(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount);

  /// Applies the reply to a report.
  /// @param reportSentAt when that report was sent; a granted amount that comes more than maxDispatchDelay / 2 later is
  ///   void
  void onGrant(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, Milliseconds reportSentAt,
               QuotaGrant const& grant);
  /// Puts aside for the owner what exceeds this router's capacity, once waiting requests have been served.
  void trim(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);

  /// The report to send now. The amounts that it returns to the owner are deducted here.
  /// @param requestedAmount amount that a request waits for; 0: none
  TenantUsage takeReport(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                         double requestedAmount);
  /// Demand and allocation as they are; returns nothing to the owner.
  TenantUsage currentUsage(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;
  /// A report is due: requests arrived, or an allocation is to be renewed or given up.
  bool reportDue(Milliseconds now) const;
  /// It has no allocation and had no request for so long that it may be removed.
  bool idle(Milliseconds now) const;
  bool hasAllocation(Milliseconds now) const { return now < expiresAt_ && allocatedFraction_ > 0; }
  /// Amount that this router can spend.
  double remainingAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;

 private:
  /// Adds the refill since the last update and ends an expired allocation.
  void update(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);
  /// Puts aside for the owner what exceeds the amount. True: there was something.
  bool returnExcess(double maxAmount);
  void applyAllocation(Milliseconds now, Milliseconds reportSentAt, QuotaGrant const& grant);
  /// The refill of this router's allocation still goes to the owner.
  bool refillsOwner(Milliseconds now) const;
  /// Greatest amount that this router may store.
  double maxAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;

  DemandEstimator demand_;
  Milliseconds lastRequestAt_ = -1;
  /// Something happened since the last renewal that the owner should learn of.
  bool hasUnreportedChange_ = false;
  /// Fraction of the requests that may be admitted, and when the owner last said so.
  double admissionShare_ = 1.0;
  Milliseconds admissionShareAt_ = 0;
  /// The allocation: a fraction of the limit until `expiresAt_`, granted under the owner's term and number.
  double allocatedFraction_ = 0;
  Milliseconds expiresAt_ = 0;
  std::uint64_t ownerTerm_ = 0;
  std::uint64_t grantNumber_ = 0;
  /// When the newest grant of an allocation arrived.
  Milliseconds grantedAt_ = -refillTransferDelay;
  /// Amount that can be spent, as of `updatedAt_`.
  double remainingAmount_ = 0;
  Milliseconds updatedAt_ = 0;
  /// Amount put aside for the owner until the next report.
  double returnedAmount_ = 0;
  /// Amount of the router's part of unallocatedFraction, as of `unallocatedAt_`; -1: never used.
  double unallocatedAmount_ = 0;
  Milliseconds unallocatedAt_ = -1;
  Milliseconds renewalRequestedAt_ = -reportEvery;
};

}  // namespace corkward::quota
