#include <corkward/quota/grant_table.h>

#include <algorithm>
#include <cmath>

namespace corkward::quota {

namespace {

/// Milliseconds after which a router's last report no longer counts as demand.
constexpr Milliseconds reportValidity = 2000;
/// A router's fraction changes only if it differs from the target by more than this fraction of its present value.
/// Frequent small changes would waste quota: until the router has confirmed a smaller allocation, the owner reserves
/// the larger one and cannot allocate the difference to other routers.
constexpr double fractionHysteresis = 0.25;
/// The owner keeps enough capacity for this many requests of the largest recently requested amount.
constexpr double largestRequestsReserve = 2.0;
/// Milliseconds after which the largest requested amount has decayed to half.
constexpr Milliseconds largestRequestHalfLife = 20000;
/// While less than this fraction of the capacity is available, routers may admit only a fraction of the requests.
constexpr double scarcityThreshold = 0.5;
/// Fraction of the capacity that is reserved for large requests, which need more at once than the refill alone
/// provides.
constexpr double largeRequestReserve = 0.25;
/// An available amount beyond the reserve for large requests may be spent within a second. If the reserve is not full,
/// this fraction of what is missing is recovered per second.
constexpr double reserveRecoveryPerSecond = 0.25;
/// A demand of at most this fraction of the refill needs no rejections, because the bucket fills up anyway.
constexpr double demandBelowRefill = 0.9;

}  // namespace

GrantTable::GrantTable(Milliseconds now, std::uint64_t term, Limit const& limit, OverdraftAllowance const& allowance,
                       Milliseconds unreportedUntil)
    : term_(term),
      limit_(limit),
      allowance_(allowance),
      updatedAt_(now),
      largestRequestedAmount_(largestRequestHalfLife),
      unreportedFraction_(maxAllocatedFraction),
      unreportedUntil_(unreportedUntil) {}

double GrantTable::unreportedFraction(Milliseconds now) const {
  return now < unreportedUntil_ ? unreportedFraction_ : 0.0;
}

double GrantTable::allocatedFraction(Milliseconds now) const {
  double sum = unreportedFraction(now);
  for (auto const& [router, allocation] : allocations_)
    if (now < allocation.expiresAt) sum += allocation.reservedFraction;
  return sum;
}

double GrantTable::ownerFraction(Milliseconds now) const {
  return std::max(0.0, 1.0 - unallocatedFraction - allocatedFraction(now));
}

double GrantTable::ownerCapacity(Milliseconds now) const {
  double fraction = ownerFraction(now);
  for (auto const& [router, allocation] : allocations_)
    if (now < allocation.expiresAt && now < allocation.ownerRefillUntil)
      fraction += (1.0 - connectedReserveFraction) * allocation.reservedFraction;
  return fraction * totalCapacity(limit_, allowance_);
}

double GrantTable::refilledAmount(Milliseconds now) const {
  double fractionTime = ownerFraction(now) * static_cast<double>(now - updatedAt_);
  for (auto const& [router, allocation] : allocations_) {
    Milliseconds const end = std::min({now, allocation.ownerRefillUntil, allocation.expiresAt});
    if (end > updatedAt_) fractionTime += allocation.reservedFraction * static_cast<double>(end - updatedAt_);
  }
  return limit_.perSecond * fractionTime / 1000.0;
}

double GrantTable::availableAmount(Milliseconds now) const {
  return std::min(availableAmount_ + refilledAmount(now), ownerCapacity(now));
}

void GrantTable::update(Milliseconds now) {
  availableAmount_ = availableAmount(now);
  updatedAt_ = now;
  std::erase_if(allocations_, [&](auto const& entry) { return now >= entry.second.expiresAt; });
}

void GrantTable::setLimit(Milliseconds now, Limit const& limit, OverdraftAllowance const& allowance) {
  update(now);
  limit_ = limit;
  allowance_ = allowance;
  availableAmount_ = availableAmount(now);
}

void GrantTable::limitUnreported(Milliseconds now, std::size_t routers) {
  update(now);
  unreportedFraction_ = std::min(unreportedFraction_, maxFractionPerRouter * static_cast<double>(routers));
}

GrantTable::RouterAllocation& GrantTable::allocationOf(std::string const& router, std::uint64_t incarnation) {
  RouterAllocation& allocation = allocations_[router];
  if (allocation.incarnation == incarnation) return allocation;
  // The allocation of an earlier incarnation ended with that process. A late report of an earlier incarnation must not
  // free the allocation of the present one.
  bool const restarted = incarnation > allocation.incarnation;
  RouterAllocation replacement;
  replacement.incarnation = incarnation;
  replacement.reservedFraction = restarted ? 0.0 : allocation.reservedFraction;
  replacement.expiresAt = restarted ? 0 : allocation.expiresAt;
  allocation = replacement;
  return allocation;
}

void GrantTable::restoreAllocation(Milliseconds now, std::string const& router, std::uint64_t incarnation,
                                   TenantUsage const& usage) {
  if (usage.allocatedFraction == 0 || usage.allocationRemainingMs == 0) return;
  update(now);
  RouterAllocation& allocation = allocationOf(router, incarnation);
  if (allocation.grantNumber != 0) return;
  Milliseconds const expiresAt =
      now + std::min<Milliseconds>(static_cast<Milliseconds>(usage.allocationRemainingMs), allocationDuration);
  double const reported = fractionFromWire(usage.allocatedFraction);
  unreportedFraction_ = std::max(0.0, unreportedFraction_ - std::max(0.0, reported - allocation.reservedFraction));
  allocation.reservedFraction = std::max(allocation.reservedFraction, reported);
  allocation.expiresAt = std::max(allocation.expiresAt, expiresAt);
}

double GrantTable::demandPerSecond(Milliseconds now) const {
  double sum = 0;
  for (auto const& [router, allocation] : allocations_)
    if (now - allocation.reportedAt <= reportValidity) sum += allocation.demandPerSecond;
  return sum;
}

double GrantTable::allocatableFraction(Milliseconds now) const {
  double const neededFraction =
      largestRequestsReserve * largestRequestedAmount_.value(now) / totalCapacity(limit_, allowance_);
  return std::clamp(1.0 - unallocatedFraction - neededFraction, 0.0, maxAllocatedFraction);
}

double GrantTable::targetFraction(Milliseconds now, std::string const& router) const {
  RouterAllocation const& allocation = allocations_.at(router);
  double const totalDemand = demandPerSecond(now);
  if (totalDemand <= 0 || allocation.demandPerSecond <= 0) return 0;
  double const othersFraction =
      allocatedFraction(now) - (now < allocation.expiresAt ? allocation.reservedFraction : 0.0);
  double const allocatable = allocatableFraction(now);
  double const free = std::max(0.0, allocatable - othersFraction);
  double const target = std::min({free, maxFractionPerRouter, allocatable * allocation.demandPerSecond / totalDemand});
  double const granted = allocation.grantedFraction;
  bool const withinHysteresis = std::abs(target - granted) <= fractionHysteresis * granted;
  return withinHysteresis && granted <= free ? granted : target;
}

double GrantTable::admissionShare(Milliseconds now) const {
  double available = availableAmount(now);
  for (auto const& [router, allocation] : allocations_)
    if (now - allocation.reportedAt <= reportValidity) available += allocation.remainingAmount;
  double const capacity = totalCapacity(limit_, allowance_);
  if (available >= scarcityThreshold * capacity) return 1.0;
  double const demand = demandPerSecond(now);
  if (demand <= demandBelowRefill * limit_.perSecond) return 1.0;
  double const beyondReserve = available - largeRequestReserve * capacity;
  double const admitted = limit_.perSecond + (beyondReserve < 0 ? reserveRecoveryPerSecond : 1.0) * beyondReserve;
  return std::clamp(admitted / demand, 0.0, 1.0);
}

void GrantTable::topUp(Milliseconds now, RouterAllocation const& allocation, QuotaGrant& grant) {
  if (availableAmount_ < scarcityThreshold * ownerCapacity(now)) return;
  double const missing = connectedReserveFraction * allocation.grantedFraction * totalCapacity(limit_, allowance_) -
                         allocation.remainingAmount;
  if (missing < 1.0) return;
  grant.grantedAmount += static_cast<std::uint64_t>(missing);
  availableAmount_ -= missing;
}

void GrantTable::grantAmount(Milliseconds now, TenantUsage const& usage, QuotaGrant& grant) {
  auto const requested = static_cast<double>(usage.requestedAmount);
  largestRequestedAmount_.record(now, requested);
  if (requested > availableAmount_) return;
  availableAmount_ -= requested;
  grant.grantedAmount = usage.requestedAmount;
}

void GrantTable::grantFraction(Milliseconds now, RouterAllocation& allocation, double fraction, QuotaGrant& grant) {
  if (allocation.reservedFraction == 0) allocation.ownerRefillUntil = now + refillTransferDelay;
  allocation.grantedFraction = fraction;
  allocation.reservedFraction = std::max(allocation.reservedFraction, fraction);
  allocation.expiresAt = now + allocationDuration;
  allocation.grantSentAt = now;
  allocation.grantNumber = nextGrantNumber_++;
  grant.grantNumber = allocation.grantNumber;
  grant.allocatedFraction = fractionToWire(fraction);
  topUp(now, allocation, grant);
}

void GrantTable::recordUsage(Milliseconds now, RouterAllocation& allocation, TenantUsage const& usage) {
  bool const confirmsNewestGrant =
      usage.ownerTerm == term_ && usage.grantNumber == allocation.grantNumber && allocation.grantNumber != 0;
  if (confirmsNewestGrant) {
    allocation.reservedFraction = allocation.grantedFraction;
    allocation.ownerRefillUntil = allocation.grantSentAt + refillTransferDelay;
  }
  allocation.demandPerSecond = static_cast<double>(usage.demandPerSecond);
  allocation.remainingAmount = static_cast<double>(usage.remainingAmount);
  allocation.reportedAt = now;
  if (now < allocation.ownerRefillUntil)
    availableAmount_ = std::min(availableAmount_ + static_cast<double>(usage.returnedAmount), ownerCapacity(now));
}

QuotaGrant GrantTable::onReport(Milliseconds now, std::string const& router, std::uint64_t incarnation,
                                TenantUsage const& usage, GrantScope scope) {
  restoreAllocation(now, router, incarnation, usage);
  update(now);
  RouterAllocation& allocation = allocationOf(router, incarnation);
  recordUsage(now, allocation, usage);
  QuotaGrant grant;
  grant.tenant = usage.tenant;
  grant.ownerTerm = term_;
  grantAmount(now, usage, grant);
  if (usage.wantsRenewal) {
    double const fraction = scope == GrantScope::allocation ? targetFraction(now, router) : 0.0;
    grantFraction(now, allocation, fraction, grant);
  }
  grant.admissionShare = fractionToWire(admissionShare(now));
  return grant;
}

}  // namespace corkward::quota
