#include <corkward/quota/gate.h>

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

Gate::Gate() : demand_(demandMemory) {}

bool Gate::seen(Tick now, double amount, double draw) {
  demand_.add(now, amount);
  seenAt_ = now;
  fresh_ = true;
  return now - sharedAt_ > shareHolds || draw < share_;
}

bool Gate::inTouch(Tick now) const {
  return now < lentAt_ + ownFlowAfter;
}

double Gate::most(Tick now, Limit const& limit, Slack const& slack) const {
  if (now >= until_) return 0;
  return (inTouch(now) ? heldInTouch : 1.0) * fraction_ * capacity(limit, slack);
}

double Gate::left(Tick now, Limit const& limit, Slack const& slack) const {
  if (now >= until_) return 0;
  Tick const from = std::max(at_, lentAt_ + ownFlowAfter);
  if (now <= from) return left_;
  double const flowed = fraction_ * limit.perSecond * static_cast<double>(now - from) / 1000.0;
  return std::min(left_ + flowed, std::max(left_, most(now, limit, slack)));
}

void Gate::settle(Tick now, Limit const& limit, Slack const& slack) {
  left_ = left(now, limit, slack);
  at_ = now;
  if (now >= until_) fraction_ = 0;
}

bool Gate::take(Tick now, Limit const& limit, Slack const& slack, double amount) {
  settle(now, limit, slack);
  if (left_ < amount) return false;
  left_ -= amount;
  return true;
}

bool Gate::takeUnlent(Tick now, Limit const& limit, Slack const& slack, double amount, Crowd crowd, double draw) {
  double const part = unlentPart / static_cast<double>(std::max<std::size_t>(crowd.routers, 1));
  double const most = part * capacity(limit, slack);
  double const flowed = unlentAt_ < 0 ? 0.0 : part * limit.perSecond * static_cast<double>(now - unlentAt_) / 1000.0;
  unlent_ = std::min(unlent_ + flowed, most);
  unlentAt_ = now;
  bool const taken = draw * amount < unlent_;
  unlent_ = std::max(0.0, unlent_ - amount);
  return taken;
}

void Gate::giveBack(Tick now, Limit const& limit, Slack const& slack, double amount) {
  settle(now, limit, slack);
  if (now >= until_) return;
  left_ += amount;
  trim(now, limit, slack);
}

void Gate::trim(Tick now, Limit const& limit, Slack const& slack) {
  settle(now, limit, slack);
  if (shed(most(now, limit, slack))) fresh_ = true;
}

bool Gate::shed(double most) {
  if (left_ <= most) return false;
  returned_ += left_ - most;
  left_ = most;
  return true;
}

void Gate::renewed(Tick now, Tick askedAt, Loan const& loan) {
  double const fraction = static_cast<double>(loan.fraction) / static_cast<double>(whole);
  fraction_ = fraction;
  until_ = askedAt + loanTerm;
  epoch_ = loan.epoch;
  number_ = loan.number;
  lentAt_ = now;
}

void Gate::lent(Tick now, Limit const& limit, Slack const& slack, Tick askedAt, Loan const& loan) {
  settle(now, limit, slack);
  if (loan.number != 0) renewed(now, askedAt, loan);
  share_ = static_cast<double>(loan.share) / static_cast<double>(whole);
  sharedAt_ = now;
  if (now - askedAt <= handOverWithin / 2) left_ += static_cast<double>(loan.amount);
}

Use Gate::claim(Tick now, Limit const& limit, Slack const& slack) const {
  Use use;
  use.demand = static_cast<std::uint64_t>(demand_.perSecond(now));
  use.left = static_cast<std::uint64_t>(left(now, limit, slack));
  if (now < until_) {
    use.fraction = static_cast<std::uint64_t>(fraction_ * static_cast<double>(whole));
    use.epoch = epoch_;
    use.number = number_;
    use.remaining = static_cast<std::uint64_t>(until_ - now);
  }
  return use;
}

Use Gate::report(Tick now, Limit const& limit, Slack const& slack, double wanted) {
  settle(now, limit, slack);
  shed((share_ < 1.0 ? keptWhenScarce : 1.0) * most(now, limit, slack));
  Use use = claim(now, limit, slack);
  use.wanted = static_cast<std::uint64_t>(std::ceil(wanted));
  use.returned = static_cast<std::uint64_t>(returned_);
  returned_ = 0;
  use.renew = now - renewedAt_ >= reportEvery;
  if (use.renew) {
    renewedAt_ = now;
    fresh_ = false;
  }
  return use;
}

bool Gate::reportDue(Tick now) const {
  if (now - renewedAt_ < reportEvery) return false;
  return fresh_ || (holdsLoan(now) && now - renewedAt_ >= renewEvery);
}

bool Gate::idle(Tick now) const {
  return now - seenAt_ > idleFor && now >= until_;
}

}  // namespace corkward::quota
