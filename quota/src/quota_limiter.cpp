#include <corkward/quota/quota_limiter.h>

#include <algorithm>
#include <cmath>

namespace corkward::quota {

namespace {

/// Milliseconds over which a tenant's demand is averaged.
constexpr Milliseconds demandTimeConstant = 3000;
/// Milliseconds for which an admission share applies, counted from its arrival.
constexpr Milliseconds admissionShareValidity = 1500;
/// Milliseconds between reports while no requests arrive but the router holds an allocation.
constexpr Milliseconds idleRenewalInterval = 600;
/// Fraction of its capacity that a router keeps while the tenant's demand exceeds the limit. Other routers need the
/// remainder.
constexpr double capacityWhenScarce = 0.5;
/// Milliseconds without a request after which a limiter may be removed.
constexpr Milliseconds idleTimeout = 60000;

}  // namespace

QuotaLimiter::QuotaLimiter() : demand_(demandTimeConstant) {}

bool QuotaLimiter::onRequest(Milliseconds now, double amount, double draw) {
  demand_.add(now, amount);
  lastRequestAt_ = now;
  hasUnreportedChange_ = true;
  return now - admissionShareAt_ > admissionShareValidity || draw < admissionShare_;
}

bool QuotaLimiter::refillsOwner(Milliseconds now) const {
  return now < grantedAt_ + refillTransferDelay;
}

double QuotaLimiter::maxAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const {
  if (now >= expiresAt_) return 0;
  return (refillsOwner(now) ? connectedReserveFraction : 1.0) * allocatedFraction_ * totalCapacity(limit, allowance);
}

double QuotaLimiter::remainingAmount(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) const {
  if (now >= expiresAt_) return 0;
  Milliseconds const refillFrom = std::max(updatedAt_, grantedAt_ + refillTransferDelay);
  if (now <= refillFrom) return remainingAmount_;
  double const refill = allocatedFraction_ * limit.perSecond * static_cast<double>(now - refillFrom) / 1000.0;
  return std::min(remainingAmount_ + refill, std::max(remainingAmount_, maxAmount(now, limit, allowance)));
}

void QuotaLimiter::update(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) {
  remainingAmount_ = remainingAmount(now, limit, allowance);
  updatedAt_ = now;
  if (now >= expiresAt_) allocatedFraction_ = 0;
}

bool QuotaLimiter::tryAcquire(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                              double amount) {
  update(now, limit, allowance);
  if (remainingAmount_ < amount) return false;
  remainingAmount_ -= amount;
  return true;
}

bool QuotaLimiter::tryAcquireUnallocated(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                                         double amount, UnallocatedShare sharing, double draw) {
  double const fraction = unallocatedFraction / static_cast<double>(std::max<std::size_t>(sharing.routers, 1));
  double const capacity = fraction * totalCapacity(limit, allowance);
  double const refill =
      unallocatedAt_ < 0 ? 0.0 : fraction * limit.perSecond * static_cast<double>(now - unallocatedAt_) / 1000.0;
  unallocatedAmount_ = std::min(unallocatedAmount_ + refill, capacity);
  unallocatedAt_ = now;
  bool const acquired = draw * amount < unallocatedAmount_;
  unallocatedAmount_ = std::max(0.0, unallocatedAmount_ - amount);
  return acquired;
}

void QuotaLimiter::refund(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance, double amount) {
  update(now, limit, allowance);
  if (now >= expiresAt_) return;
  remainingAmount_ += amount;
  trim(now, limit, allowance);
}

void QuotaLimiter::trim(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) {
  update(now, limit, allowance);
  if (returnExcess(maxAmount(now, limit, allowance))) hasUnreportedChange_ = true;
}

bool QuotaLimiter::returnExcess(double maxAmount) {
  if (remainingAmount_ <= maxAmount) return false;
  returnedAmount_ += remainingAmount_ - maxAmount;
  remainingAmount_ = maxAmount;
  return true;
}

void QuotaLimiter::applyAllocation(Milliseconds now, Milliseconds reportSentAt, QuotaGrant const& grant) {
  allocatedFraction_ = fractionFromWire(grant.allocatedFraction);
  expiresAt_ = reportSentAt + allocationDuration;
  ownerTerm_ = grant.ownerTerm;
  grantNumber_ = grant.grantNumber;
  grantedAt_ = now;
}

void QuotaLimiter::onGrant(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                           Milliseconds reportSentAt, QuotaGrant const& grant) {
  update(now, limit, allowance);
  if (grant.grantNumber != 0) applyAllocation(now, reportSentAt, grant);
  admissionShare_ = fractionFromWire(grant.admissionShare);
  admissionShareAt_ = now;
  if (now - reportSentAt <= maxDispatchDelay / 2) remainingAmount_ += static_cast<double>(grant.grantedAmount);
}

TenantUsage QuotaLimiter::currentUsage(Milliseconds now, Limit const& limit,
                                       OverdraftAllowance const& allowance) const {
  TenantUsage usage;
  usage.demandPerSecond = static_cast<std::uint64_t>(demand_.perSecond(now));
  usage.remainingAmount = static_cast<std::uint64_t>(remainingAmount(now, limit, allowance));
  if (now < expiresAt_) {
    usage.allocatedFraction = static_cast<std::uint64_t>(allocatedFraction_ * static_cast<double>(fractionUnits));
    usage.ownerTerm = ownerTerm_;
    usage.grantNumber = grantNumber_;
    usage.allocationRemainingMs = static_cast<std::uint64_t>(expiresAt_ - now);
  }
  return usage;
}

TenantUsage QuotaLimiter::takeReport(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance,
                                     double requestedAmount) {
  update(now, limit, allowance);
  returnExcess((admissionShare_ < 1.0 ? capacityWhenScarce : 1.0) * maxAmount(now, limit, allowance));
  TenantUsage usage = currentUsage(now, limit, allowance);
  usage.requestedAmount = static_cast<std::uint64_t>(std::ceil(requestedAmount));
  usage.returnedAmount = static_cast<std::uint64_t>(returnedAmount_);
  returnedAmount_ = 0;
  usage.wantsRenewal = now - renewalRequestedAt_ >= reportEvery;
  if (usage.wantsRenewal) {
    renewalRequestedAt_ = now;
    hasUnreportedChange_ = false;
  }
  return usage;
}

bool QuotaLimiter::reportDue(Milliseconds now) const {
  Milliseconds const sinceRenewal = now - renewalRequestedAt_;
  if (sinceRenewal < reportEvery) return false;
  return hasUnreportedChange_ || (hasAllocation(now) && sinceRenewal >= idleRenewalInterval);
}

bool QuotaLimiter::idle(Milliseconds now) const {
  return now - lastRequestAt_ > idleTimeout && now >= expiresAt_;
}

}  // namespace corkward::quota
