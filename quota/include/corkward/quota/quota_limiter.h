#pragma once

/// One tenant at one router: admits its requests against the fraction of the limit that this router was allocated, and
/// against single amounts that the partition's owner grants. It reads no clock: the time is a parameter of
/// each call.

#include <cstddef>
#include <cstdint>

#include <corkward/quota/demand_estimator.h>
#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// The number of routers that share unallocatedFraction equally.
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
  /// @return false if the request must be rejected because only a fraction of the requests may be admitted at present
  bool onRequest(Milliseconds now, double amount, double draw);
  /// Takes the amount and returns true if this router has that much; otherwise takes nothing and returns false.
  bool tryAcquire(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount);
  /// Takes the amount from this router's equal fraction of unallocatedFraction. A request for more than is available is
  /// admitted with the probability available / amount, and uses up what is available, so that the mean of the admitted
  /// amounts stays within the fraction.
  /// @param draw a random number, 0 to 1
  bool tryAcquireUnallocated(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount,
                             UnallocatedShare sharing, double draw);
  /// Returns an acquired amount that is not needed.
  void refund(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount);

  /// Applies the reply to a report.
  /// @param reportSentAt when that report was sent; an amount that arrives more than maxDispatchDelay / 2 later is
  ///   discarded
  void onGrant(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, Milliseconds reportSentAt,
               QuotaGrant const& grant);
  /// Moves what exceeds this router's capacity to the amount to be returned to the owner. Called after waiting requests
  /// have been served.
  void trim(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);

  /// Returns the report to send now, and deducts the amount that the report returns to the owner.
  /// @param requestedAmount amount that a request waits for, or 0 if none waits
  TenantUsage takeReport(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                         double requestedAmount);
  /// Returns a report of the present demand and allocation that returns no amount to the owner and changes nothing.
  TenantUsage currentUsage(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;
  /// Returns true if a report is due because requests arrived, or because an allocation has to be renewed or returned.
  bool reportDue(Milliseconds now) const;
  /// Returns true if this limiter may be removed: it has no allocation and had no request for a long time.
  bool idle(Milliseconds now) const;
  bool hasAllocation(Milliseconds now) const { return now < expiresAt_ && allocatedFraction_ > 0; }
  /// Amount that this router can spend now.
  double remainingAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;

 private:
  /// Adds the refill since the last update and ends an expired allocation.
  void update(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance);
  /// Moves what exceeds `maxAmount` to the amount to be returned to the owner. Returns true if there was an excess.
  bool returnExcess(double maxAmount);
  void applyAllocation(Milliseconds now, Milliseconds reportSentAt, QuotaGrant const& grant);
  /// Returns true while the refill of this router's allocation goes to the owner (see refillTransferDelay).
  bool refillsOwner(Milliseconds now) const;
  /// Greatest amount that this router may store.
  double maxAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const;

  DemandEstimator demand_;
  /// -1 before the first request.
  Milliseconds lastRequestAt_ = -1;
  /// True if requests arrived or an amount is to be returned since the last report with a renewal.
  bool hasUnreportedChange_ = false;
  /// Fraction of the requests that may be admitted.
  double admissionShare_ = 1.0;
  /// When the owner last reported `admissionShare_`.
  Milliseconds admissionShareAt_ = 0;
  /// Fraction of the limit that is allocated to this router until `expiresAt_`.
  double allocatedFraction_ = 0;
  Milliseconds expiresAt_ = 0;
  /// Term of the owner that granted the allocation.
  std::uint64_t ownerTerm_ = 0;
  /// Number of the grant that contained the allocation.
  std::uint64_t grantNumber_ = 0;
  /// When the newest grant of an allocation arrived.
  Milliseconds grantedAt_ = -refillTransferDelay;
  /// Amount that can be spent, as of `updatedAt_`.
  double remainingAmount_ = 0;
  Milliseconds updatedAt_ = 0;
  /// Amount to be returned to the owner with the next report.
  double returnedAmount_ = 0;
  /// Amount available from this router's equal fraction of unallocatedFraction, as of `unallocatedAt_`.
  double unallocatedAmount_ = 0;
  /// -1 before the first use of unallocatedFraction.
  Milliseconds unallocatedAt_ = -1;
  /// When the last report that requested a renewal was sent.
  Milliseconds renewalRequestedAt_ = -reportEvery;
};

}  // namespace corkward::quota
