#include <corkward/quota/quota_limiter.h>

#include <algorithm>
#include <cmath>

namespace corkward::quota {

namespace {

/// Milliseconds over which a tenant's demand is averaged.
constexpr Tick demandMemory = 3000;
/// Milliseconds after which a share says nothing any more.
constexpr Tick shareHolds = 1500;
/// Milliseconds between reports of a loan that nobody uses.
constexpr Tick renewEvery = 600;
/// Part of what it may hold that a router keeps while the tenant asks for more than its limit; others need the rest.
constexpr double keptWhenScarce = 0.5;
/// Milliseconds without a request after which a gate may be forgotten.
constexpr Tick idleFor = 60000;

}  // namespace

QuotaLimiter::QuotaLimiter() : demand_(demandMemory) {}

bool QuotaLimiter::onRequest(Tick now, double amount, double draw) {
  demand_.add(now, amount);
  seenAt_ = now;
  fresh_ = true;
  return now - sharedAt_ > shareHolds || draw < share_;
}

bool QuotaLimiter::connected(Tick now) const {
  return now < lentAt_ + ownFlowAfter;
}

double QuotaLimiter::most(Tick now, Limit const& limit, OverdraftAllowance const& slack) const {
  if (now >= until_) return 0;
  return (connected(now) ? connectedReserveFraction : 1.0) * fraction_ * capacity(limit, slack);
}

double QuotaLimiter::remaining(Tick now, Limit const& limit, OverdraftAllowance const& slack) const {
  if (now >= until_) return 0;
  Tick const from = std::max(at_, lentAt_ + ownFlowAfter);
  if (now <= from) return left_;
  double const flowed = fraction_ * limit.perSecond * static_cast<double>(now - from) / 1000.0;
  return std::min(left_ + flowed, std::max(left_, most(now, limit, slack)));
}

void QuotaLimiter::settle(Tick now, Limit const& limit, OverdraftAllowance const& slack) {
  left_ = remaining(now, limit, slack);
  at_ = now;
  if (now >= until_) fraction_ = 0;
}

bool QuotaLimiter::tryAcquire(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount) {
  settle(now, limit, slack);
  if (left_ < amount) return false;
  left_ -= amount;
  return true;
}

bool QuotaLimiter::tryAcquireUnallocated(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount,
                                         UnallocatedShare crowd, double draw) {
  double const part = unallocatedFraction / static_cast<double>(std::max<std::size_t>(crowd.routers, 1));
  double const most = part * capacity(limit, slack);
  double const flowed = unlentAt_ < 0 ? 0.0 : part * limit.perSecond * static_cast<double>(now - unlentAt_) / 1000.0;
  unlent_ = std::min(unlent_ + flowed, most);
  unlentAt_ = now;
  bool const taken = draw * amount < unlent_;
  unlent_ = std::max(0.0, unlent_ - amount);
  return taken;
}

void QuotaLimiter::refund(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount) {
  settle(now, limit, slack);
  if (now >= until_) return;
  left_ += amount;
  trim(now, limit, slack);
}

void QuotaLimiter::trim(Tick now, Limit const& limit, OverdraftAllowance const& slack) {
  settle(now, limit, slack);
  if (shed(most(now, limit, slack))) fresh_ = true;
}

bool QuotaLimiter::shed(double most) {
  if (left_ <= most) return false;
  returned_ += left_ - most;
  left_ = most;
  return true;
}

void QuotaLimiter::renewed(Tick now, Tick askedAt, QuotaGrant const& loan) {
  double const fraction = static_cast<double>(loan.fraction) / static_cast<double>(fractionUnits);
  fraction_ = fraction;
  until_ = askedAt + allocationDuration;
  epoch_ = loan.epoch;
  number_ = loan.number;
  lentAt_ = now;
}

void QuotaLimiter::onGrant(Tick now, Limit const& limit, OverdraftAllowance const& slack, Tick askedAt,
                           QuotaGrant const& loan) {
  settle(now, limit, slack);
  if (loan.number != 0) renewed(now, askedAt, loan);
  share_ = static_cast<double>(loan.admissionShare) / static_cast<double>(fractionUnits);
  sharedAt_ = now;
  if (now - askedAt <= handOverWithin / 2) left_ += static_cast<double>(loan.amount);
}

TenantUsage QuotaLimiter::currentUsage(Tick now, Limit const& limit, OverdraftAllowance const& slack) const {
  TenantUsage use;
  use.demand = static_cast<std::uint64_t>(demand_.perSecond(now));
  use.remaining = static_cast<std::uint64_t>(remaining(now, limit, slack));
  if (now < until_) {
    use.fraction = static_cast<std::uint64_t>(fraction_ * static_cast<double>(fractionUnits));
    use.epoch = epoch_;
    use.number = number_;
    use.remainingMs = static_cast<std::uint64_t>(until_ - now);
  }
  return use;
}

TenantUsage QuotaLimiter::report(Tick now, Limit const& limit, OverdraftAllowance const& slack, double wanted) {
  settle(now, limit, slack);
  shed((share_ < 1.0 ? keptWhenScarce : 1.0) * most(now, limit, slack));
  TenantUsage use = currentUsage(now, limit, slack);
  use.wanted = static_cast<std::uint64_t>(std::ceil(wanted));
  use.returned = static_cast<std::uint64_t>(returned_);
  returned_ = 0;
  use.wantsRenewal = now - renewedAt_ >= reportEvery;
  if (use.wantsRenewal) {
    renewedAt_ = now;
    fresh_ = false;
  }
  return use;
}

bool QuotaLimiter::reportDue(Tick now) const {
  if (now - renewedAt_ < reportEvery) return false;
  return fresh_ || (hasAllocation(now) && now - renewedAt_ >= renewEvery);
}

bool QuotaLimiter::idle(Tick now) const {
  return now - seenAt_ > idleFor && now >= until_;
}

}  // namespace corkward::quota
