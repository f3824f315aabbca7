#include <corkward/control/quota_meters.h>

#include <cmath>
#include <utility>

namespace corkward::control {

namespace {

constexpr Tick tellEvery = 50;
/// A share is told unasked when it is under or over what a router was told by this part, at most so often.
constexpr double changeToTell = 0.2;
constexpr Tick tellOneEvery = 150;
/// Routers that have not reported of a tenant for this long are forgotten.
constexpr Tick reporterFor = 15000;

}  // namespace

void QuotaMeters::configure(Tick now, std::vector<config::Tenant> const& tenants) {
  limits_.clear();
  for (config::Tenant const& t : tenants)
    if (t.perSecond > 0) limits_[t.name] = scaling::QuotaLimit{t.perSecond, t.burst};
  std::erase_if(meters_, [&](auto const& m) { return limits_.count(m.first) == 0; });
  for (auto& [tenant, entry] : meters_) entry.meter.setLimit(now, limits_.at(tenant), slack_);
}

bool QuotaMeters::worthTelling(Tick now, Reporter const& reporter, double share) {
  if (now - reporter.toldAt < tellOneEvery) return false;
  bool const whole = share >= 1.0 && reporter.toldShare < 1.0;
  return whole || std::abs(share - reporter.toldShare) > changeToTell * reporter.toldShare;
}

transport::QuotaShare QuotaMeters::shareOf(Tick now, std::string const& tenant, Entry const& entry,
                                           double share) const {
  return {tenant, static_cast<std::uint64_t>(share * static_cast<double>(transport::wholeShare)),
          static_cast<std::uint64_t>(entry.meter.demand(now))};
}

std::vector<transport::Send> QuotaMeters::arrived(Tick now, std::string const& from,
                                                  transport::QuotaReport const& message) {
  if (message.link != from) return {};
  transport::QuotaShares answer;
  for (transport::QuotaUse const& use : message.uses) {
    auto const limit = limits_.find(use.tenant);
    if (limit == limits_.end()) continue;
    auto const at = meters_.try_emplace(use.tenant, Entry{scaling::QuotaMeter(now, limit->second, slack_), {}}).first;
    Entry& entry = at->second;
    entry.meter.report(now, static_cast<double>(use.demanded), static_cast<double>(use.admitted));
    double const share = entry.meter.admitShare(now);
    entry.reporters[from] = Reporter{now, now, share};
    answer.shares.push_back(shareOf(now, use.tenant, entry, share));
  }
  return {transport::Send{from, std::move(answer)}};
}

std::vector<transport::Send> QuotaMeters::clockEvent(Tick now) {
  std::vector<transport::Send> out;
  if (now < tellAt_) return out;
  tellAt_ = now + tellEvery;
  std::map<std::string, transport::QuotaShares> news;
  for (auto& [tenant, entry] : meters_) {
    double const share = entry.meter.admitShare(now);
    std::erase_if(entry.reporters, [&](auto const& r) { return now - r.second.at > reporterFor; });
    for (auto& [link, reporter] : entry.reporters) {
      if (!worthTelling(now, reporter, share)) continue;
      reporter.toldAt = now;
      reporter.toldShare = share;
      news[link].shares.push_back(shareOf(now, tenant, entry, share));
    }
  }
  for (auto& [link, shares] : news) out.push_back(transport::Send{link, std::move(shares)});
  return out;
}

}  // namespace corkward::control
