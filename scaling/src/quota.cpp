#include <corkward/scaling/quota.h>

#include <algorithm>
#include <cmath>

namespace corkward::scaling {

namespace {

/// Milliseconds over which a tenant's demand is averaged.
constexpr Tick demandMemory = 500;
/// Seconds over which a meter plans to spend its level or to make up for what was admitted beyond it.
constexpr double planSeconds = 1.0;
/// Part of the slack that a meter gives out; the rest is for reports that are still under way.
constexpr double slackGiven = 0.5;
/// Milliseconds without an answer to a report after which a gate keeps to its own part of the limit.
constexpr Tick meterSilent = 1500;
/// Milliseconds after which a share says nothing any more: the meter tells of each one that changes.
constexpr Tick shareHolds = 10000;
/// Least part of a limit that a gate takes for its own while the meter is silent.
constexpr double leastPart = 0.02;
/// Milliseconds without a request after which a gate may be forgotten.
constexpr Tick idleFor = 60000;

}  // namespace

void AmountRate::add(Tick now, double amount) {
  sum_ *= std::exp(-static_cast<double>(now - at_) / static_cast<double>(memory_));
  sum_ += amount;
  at_ = now;
}

double AmountRate::perSecond(Tick now) const {
  double const left = sum_ * std::exp(-static_cast<double>(now - at_) / static_cast<double>(memory_));
  return 1000.0 * left / static_cast<double>(memory_);
}

QuotaMeter::QuotaMeter(Tick now, QuotaLimit const& limit, QuotaSlack const& slack)
    : limit_(limit), slack_(slack), at_(now), demand_(demandMemory) {}

double QuotaMeter::capacity() const {
  double const window = static_cast<double>(slack_.window) / 1000.0 * limit_.perSecond + limit_.burst;
  return limit_.burst + slackGiven * (slack_.overrun * window + slack_.fixed);
}

void QuotaMeter::setLimit(Tick now, QuotaLimit const& limit, QuotaSlack const& slack) {
  level_ = level(now);
  at_ = now;
  limit_ = limit;
  slack_ = slack;
  level_ = std::min(level_, capacity());
}

double QuotaMeter::level(Tick now) const {
  return std::min(capacity(), level_ + limit_.perSecond * static_cast<double>(now - at_) / 1000.0);
}

void QuotaMeter::report(Tick now, double demanded, double admitted) {
  demand_.add(now, demanded);
  level_ = level(now) - admitted;
  at_ = now;
}

double QuotaMeter::admitShare(Tick now) const {
  if (limit_.perSecond <= 0) return 1.0;
  double const wanted = demand(now) * planSeconds;
  double const given = std::max(0.0, limit_.perSecond * planSeconds + level(now));
  return wanted <= given ? 1.0 : given / wanted;
}

QuotaGate::QuotaGate() : own_(demandMemory) {}

double QuotaGate::shareNow(Tick now, QuotaLimit const& limit) const {
  bool const silent = unanswered_ >= 0 && now - unanswered_ > meterSilent;
  if (!silent) return unanswered_ >= 0 || now - sharedAt_ <= shareHolds ? share_ : 1.0;
  double const demand = own_.perSecond(now) * planSeconds;
  double const given = limit.perSecond * ownPart_ * planSeconds + limit.burst * ownPart_;
  return demand <= given ? 1.0 : given / demand;
}

bool QuotaGate::admit(Tick now, QuotaLimit const& limit, double amount, double draw) {
  if (limit.perSecond <= 0) return true;
  seenAt_ = now;
  demanded_ += amount;
  own_.add(now, amount);
  return draw < shareNow(now, limit);
}

void QuotaGate::share(Tick now, double share, double demand) {
  share_ = share;
  sharedAt_ = now;
  unanswered_ = -1;
  if (demand > 0) ownPart_ = std::clamp(own_.perSecond(now) / demand, leastPart, 1.0);
}

bool QuotaGate::hasReport() const {
  return demanded_ >= 1.0 || used_ >= 1.0;
}

QuotaGate::Report QuotaGate::takeReport(Tick now) {
  if (unanswered_ < 0) unanswered_ = now;
  Report const out{static_cast<std::uint64_t>(demanded_), static_cast<std::uint64_t>(used_)};
  demanded_ -= static_cast<double>(out.demanded);
  used_ -= static_cast<double>(out.admitted);
  return out;
}

bool QuotaGate::idle(Tick now) const {
  return now - seenAt_ > idleFor && !hasReport();
}

}  // namespace corkward::scaling
