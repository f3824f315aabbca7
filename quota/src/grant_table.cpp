#include <corkward/quota/grant_table.h>

#include <algorithm>
#include <cmath>

namespace corkward::quota {

namespace {

/// Milliseconds after which a router's last report says nothing of the tenant's demand any more.
constexpr Tick reportSpeaks = 2000;
/// A router's fraction is changed when it is off by more than this part of itself: what a smaller one frees flows to
/// nobody until the router has said that it has it.
constexpr double worthChanging = 0.25;
/// The lender keeps a capacity of so many of the largest amounts that were wanted; what it has seen halves in so many
/// milliseconds.
constexpr double keptForLargest = 2.0;
constexpr Tick largestHalves = 20000;
/// Below this part of the capacity routers are told to admit only a share of the requests.
constexpr double scarce = 0.5;
/// Part of the capacity that this leaves for large requests, which need more at once than flows in for them.
constexpr double spared = 0.25;
/// What is left beyond that may be spent within a second; of what is missing to it, this part is won back in a second.
constexpr double sparedBack = 0.25;
/// A demand of this part of the flow or less needs no refusals: what is missing comes by itself.
constexpr double enoughFlow = 0.9;

double fromWire(std::uint64_t fraction) {
  return static_cast<double>(fraction) / static_cast<double>(fractionUnits);
}

std::uint64_t toWire(double fraction) {
  return static_cast<std::uint64_t>(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(fractionUnits));
}

}  // namespace

GrantTable::GrantTable(Tick now, std::uint64_t epoch, Limit const& limit, OverdraftAllowance const& slack,
                       Tick unknownUntil)
    : epoch_(epoch),
      limit_(limit),
      slack_(slack),
      at_(now),
      unknown_(maxAllocatedFraction),
      unknownUntil_(unknownUntil) {}

double GrantTable::unknown(Tick now) const {
  return now < unknownUntil_ ? unknown_ : 0.0;
}

double GrantTable::out(Tick now) const {
  double sum = unknown(now);
  for (auto const& [router, entry] : entries_)
    if (now < entry.until) sum += entry.reserved;
  return sum;
}

double GrantTable::kept(Tick now) const {
  return std::max(0.0, 1.0 - unallocatedFraction - out(now));
}

double GrantTable::most(Tick now) const {
  double fraction = kept(now);
  for (auto const& [router, entry] : entries_)
    if (now < entry.until && now < entry.flowUntil) fraction += (1.0 - connectedReserveFraction) * entry.reserved;
  return fraction * capacity(limit_, slack_);
}

double GrantTable::flowed(Tick now) const {
  double fractionTime = kept(now) * static_cast<double>(now - at_);
  for (auto const& [router, entry] : entries_) {
    Tick const end = std::min({now, entry.flowUntil, entry.until});
    if (end > at_) fractionTime += entry.reserved * static_cast<double>(end - at_);
  }
  return limit_.perSecond * fractionTime / 1000.0;
}

double GrantTable::level(Tick now) const {
  return std::min(level_ + flowed(now), most(now));
}

void GrantTable::settle(Tick now) {
  level_ = level(now);
  at_ = now;
  std::erase_if(entries_, [&](auto const& entry) { return now >= entry.second.until; });
}

void GrantTable::setLimit(Tick now, Limit const& limit, OverdraftAllowance const& slack) {
  settle(now);
  limit_ = limit;
  slack_ = slack;
  level_ = level(now);
}

void GrantTable::unheard(Tick now, std::size_t routers) {
  settle(now);
  unknown_ = std::min(unknown_, maxFractionPerRouter * static_cast<double>(routers));
}

GrantTable::Entry& GrantTable::entryOf(std::string const& router, std::uint64_t life) {
  Entry& entry = entries_[router];
  if (entry.incarnation == life) return entry;
  // What an earlier life held is gone with it; a word of an earlier life that comes late frees nothing.
  Entry fresh;
  fresh.incarnation = life;
  fresh.reserved = life > entry.incarnation ? 0.0 : entry.reserved;
  fresh.until = life > entry.incarnation ? 0 : entry.until;
  entry = fresh;
  return entry;
}

void GrantTable::claim(Tick now, std::string const& router, std::uint64_t life, TenantUsage const& use) {
  if (use.fraction == 0 || use.remainingMs == 0) return;
  settle(now);
  Entry& entry = entryOf(router, life);
  if (entry.number != 0) return;
  Tick const until = now + std::min<Tick>(static_cast<Tick>(use.remainingMs), allocationDuration);
  double const claimed = fromWire(use.fraction);
  unknown_ = std::max(0.0, unknown_ - std::max(0.0, claimed - entry.reserved));
  entry.reserved = std::max(entry.reserved, claimed);
  entry.until = std::max(entry.until, until);
}

double GrantTable::demand(Tick now) const {
  double sum = 0;
  for (auto const& [router, entry] : entries_)
    if (now - entry.heard <= reportSpeaks) sum += entry.demand;
  return sum;
}

double GrantTable::lendable(Tick now) const {
  double const faded =
      largest_ * std::exp2(-static_cast<double>(now - largestAt_) / static_cast<double>(largestHalves));
  double const needed = keptForLargest * faded / capacity(limit_, slack_);
  return std::clamp(1.0 - unallocatedFraction - needed, 0.0, maxAllocatedFraction);
}

void GrantTable::sawAmount(Tick now, double amount) {
  double const faded =
      largest_ * std::exp2(-static_cast<double>(now - largestAt_) / static_cast<double>(largestHalves));
  largest_ = std::max(faded, amount);
  largestAt_ = now;
}

double GrantTable::fractionFor(Tick now, std::string const& router) const {
  Entry const& entry = entries_.at(router);
  double const all = demand(now);
  if (all <= 0 || entry.demand <= 0) return 0;
  double const others = out(now) - (now < entry.until ? entry.reserved : 0.0);
  double const most = lendable(now);
  double const free = std::max(0.0, most - others);
  double const target = std::min({free, maxFractionPerRouter, most * entry.demand / all});
  bool const near = std::abs(target - entry.fraction) <= worthChanging * entry.fraction;
  return near && entry.fraction <= free ? entry.fraction : target;
}

double GrantTable::share(Tick now) const {
  double left = level(now);
  for (auto const& [router, entry] : entries_)
    if (now - entry.heard <= reportSpeaks) left += entry.left;
  if (left >= scarce * capacity(limit_, slack_)) return 1.0;
  double const wanted = demand(now);
  if (wanted <= enoughFlow * limit_.perSecond) return 1.0;
  double const beyond = left - spared * capacity(limit_, slack_);
  double const given = limit_.perSecond + (beyond < 0 ? sparedBack : 1.0) * beyond;
  return std::clamp(given / wanted, 0.0, 1.0);
}

void GrantTable::topUp(Tick now, Entry const& entry, QuotaGrant& loan) {
  if (level_ < scarce * most(now)) return;
  double const missing = connectedReserveFraction * entry.fraction * capacity(limit_, slack_) - entry.left;
  if (missing < 1.0) return;
  loan.amount += static_cast<std::uint64_t>(missing);
  level_ -= missing;
}

void GrantTable::lend(Tick now, Entry& entry, double fraction, QuotaGrant& loan) {
  if (entry.reserved == 0) entry.flowUntil = now + ownFlowAfter;
  entry.fraction = fraction;
  entry.reserved = std::max(entry.reserved, fraction);
  entry.until = now + allocationDuration;
  entry.sentAt = now;
  entry.number = nextNumber_++;
  loan.number = entry.number;
  loan.fraction = toWire(fraction);
  topUp(now, entry, loan);
}

void GrantTable::heard(Tick now, Entry& entry, TenantUsage const& use) {
  bool const newest = use.epoch == epoch_ && use.number == entry.number && entry.number != 0;
  if (newest) {
    entry.reserved = entry.fraction;
    entry.flowUntil = entry.sentAt + ownFlowAfter;
  }
  entry.demand = static_cast<double>(use.demand);
  entry.left = static_cast<double>(use.remaining);
  entry.heard = now;
  if (now < entry.flowUntil) level_ = std::min(level_ + static_cast<double>(use.returned), most(now));
}

QuotaGrant GrantTable::report(Tick now, std::string const& router, std::uint64_t life, TenantUsage const& use,
                              bool lends) {
  claim(now, router, life, use);
  settle(now);
  Entry& entry = entryOf(router, life);
  heard(now, entry, use);
  QuotaGrant loan;
  loan.tenant = use.tenant;
  loan.epoch = epoch_;
  double const wanted = static_cast<double>(use.wanted);
  sawAmount(now, wanted);
  if (wanted <= level_) {
    level_ -= wanted;
    loan.amount = use.wanted;
  }
  if (use.wantsRenewal) lend(now, entry, lends ? fractionFor(now, router) : 0.0, loan);
  loan.admissionShare = toWire(share(now));
  return loan;
}

}  // namespace corkward::quota
