#include <corkward/dataplane/tenants.h>

#include <algorithm>
#include <utility>

namespace corkward::dataplane {

namespace {

/// Milliseconds between looks for reports that are due.
constexpr Milliseconds reportEvery = 50;
/// A report without an answer for this long shows that its lender is silent, which is passed over for that long then.
constexpr Milliseconds answerWithin = 400;
constexpr Milliseconds passOverFor = 2000;
/// Milliseconds that a request waits for its amount. Amounts that come later are void, see
/// quota::QuotaLimiter::onGrant.
constexpr Milliseconds waitAtMost = quota::maxDispatchDelay / 2;
/// Milliseconds for which no amount is asked for after a lender had too little, or nobody lent.
constexpr Milliseconds scarceFor = 30;
constexpr Milliseconds nobodyFor = 150;
/// A request is sent on to another lender so often.
constexpr int maxQueries = 3;
/// Gates of tenants that send nothing are freed once so many are kept.
constexpr std::size_t maxLimiters = 4096;

}  // namespace

Tenants::Tenants(std::string link, std::uint64_t life, std::uint64_t seed, quota::OverdraftAllowance const& slack)
    : link_(std::move(link)), incarnation_(life), rng_(seed), overdraftAllowance_(slack) {}

void Tenants::configure(std::vector<config::Tenant> tenants) {
  tenants_ = std::move(tenants);
  byKey_.clear();
  std::set<std::string> limitedNames;
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    config::Tenant const& tenant = tenants_[i];
    for (std::string const& key : tenant.keys) byKey_[key] = i;
    if (tenant.ratePerSecond <= 0) continue;
    limitedNames.insert(tenant.name);
    limiters_[tenant.name].limit = {tenant.ratePerSecond, tenant.burst};
  }
  std::erase_if(limiters_, [&](auto const& gate) { return limitedNames.count(gate.first) == 0; });
}

config::Tenant const* Tenants::byKey(std::string const& key) const {
  auto const it = byKey_.find(key);
  return it == byKey_.end() ? nullptr : &tenants_[it->second];
}

void Tenants::setMembers(std::vector<std::string> const& controllers, std::size_t routers) {
  if (controllers_ != controllers) controllers_ = controllers;
  unallocatedShare_.routers = std::max(unallocatedShare_.routers, routers);
}

double Tenants::amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens) {
  if (!tenant.inTokens) return 1.0;
  return static_cast<double>(tokens.value_or(tenant.defaultTokens));
}

Tenants::Limited* Tenants::limited(std::string const& tenant) {
  auto const it = limiters_.find(tenant);
  return it == limiters_.end() ? nullptr : &it->second;
}

double Tenants::randomFraction() {
  return static_cast<double>(rng_.next() >> 11) * 0x1.0p-53;
}

Admission Tenants::admit(Milliseconds now, std::uint64_t call, config::Tenant const& tenant, double amount,
                         std::vector<transport::Send>& out) {
  Limited* const limit = limited(tenant.name);
  if (limit == nullptr) return Admission::granted;
  if (!limit->limiter.onRequest(now, amount, randomFraction())) return Admission::rejectedByAllocation;
  if (limit->limiter.tryAcquire(now, limit->limit, overdraftAllowance_, amount)) return Admission::granted;
  Waiting const waiting{call, tenant.name, amount, now, 0};
  if (now < limit->depletedUntil) return Admission::rejectedByCoordinator;
  if (requestAmount(now, waiting, out)) return Admission::pending;
  return decideWithoutCoordinator(now, waiting).admission;
}

bool Tenants::takeAmount(Milliseconds now, std::string const& tenant, double amount) {
  Limited* const limit = limited(tenant);
  return limit == nullptr || limit->limiter.tryAcquire(now, limit->limit, overdraftAllowance_, amount);
}

void Tenants::returnAmount(Milliseconds now, std::string const& tenant, double amount) {
  Limited* const limit = limited(tenant);
  if (limit != nullptr) limit->limiter.refund(now, limit->limit, overdraftAllowance_, amount);
}

QuotaDecision Tenants::decideWithoutCoordinator(Milliseconds now, Waiting const& waiting) {
  Limited* const limit = limited(waiting.tenant);
  bool const granted = limit == nullptr ||
                       limit->limiter.tryAcquire(now, limit->limit, overdraftAllowance_, waiting.amount) ||
                       limit->limiter.tryAcquireUnallocated(now, limit->limit, overdraftAllowance_, waiting.amount,
                                                            unallocatedShare_, randomFraction());
  return {waiting.call, granted ? Admission::granted : Admission::rejectedWithoutCoordinator, now};
}

void Tenants::detectTimeouts(Milliseconds now) {
  for (auto& entry : coordinators_) {
    CoordinatorLink& coordinator = entry.second;
    if (coordinator.firstUnansweredAt < 0 || now - coordinator.firstUnansweredAt <= answerWithin) continue;
    coordinator.timedOutAt = now;
    coordinator.firstUnansweredAt = -1;
    std::erase_if(announcedOwners_, [&](auto const& told) { return told.second == entry.first; });
  }
}

bool Tenants::isUnresponsive(Milliseconds now, std::string const& link) const {
  auto const it = coordinators_.find(link);
  return it != coordinators_.end() && it->second.timedOutAt >= 0 && now - it->second.timedOutAt < passOverFor;
}

std::string Tenants::coordinatorOf(Milliseconds now, std::uint64_t partition) const {
  auto const nobody = ownerlessUntil_.find(partition);
  if (nobody != ownerlessUntil_.end() && now < nobody->second) return {};
  auto const announced = announcedOwners_.find(partition);
  if (announced != announcedOwners_.end() && !isUnresponsive(now, announced->second)) return announced->second;
  std::string best;
  for (std::string const& link : controllers_) {
    if (isUnresponsive(now, link)) continue;
    if (best.empty() || quota::ownerRank(partition, link) < quota::ownerRank(partition, best)) best = link;
  }
  return best;
}

void Tenants::send(Milliseconds now, std::string const& coordinator, std::vector<quota::TenantUsage> uses,
                   std::vector<Waiting> waiting, std::vector<transport::Send>& out) {
  CoordinatorLink& known = coordinators_[coordinator];
  if (known.firstUnansweredAt < 0) known.firstUnansweredAt = now;
  std::uint64_t const number = nextReport_++;
  pendingReports_[number] = PendingReport{now, coordinator, std::move(waiting)};
  out.push_back(transport::Send{coordinator, quota::UsageReport{link_, incarnation_, number, std::move(uses)}});
}

bool Tenants::requestAmount(Milliseconds now, Waiting waiting, std::vector<transport::Send>& out) {
  Limited* const limit = limited(waiting.tenant);
  std::string const coordinator = coordinatorOf(now, quota::partitionOf(waiting.tenant));
  if (limit == nullptr || coordinator.empty() || waiting.queries >= maxQueries) return false;
  ++waiting.queries;
  quota::TenantUsage use = limit->limiter.takeReport(now, limit->limit, overdraftAllowance_, waiting.amount);
  use.tenant = waiting.tenant;
  send(now, coordinator, {std::move(use)}, {std::move(waiting)}, out);
  return true;
}

void Tenants::sendReports(Milliseconds now, std::vector<transport::Send>& out) {
  std::map<std::string, std::vector<quota::TenantUsage>> uses;
  for (auto& [name, limit] : limiters_) {
    if (!limit.limiter.reportDue(now)) continue;
    std::string const coordinator = coordinatorOf(now, quota::partitionOf(name));
    if (coordinator.empty()) continue;
    quota::TenantUsage use = limit.limiter.takeReport(now, limit.limit, overdraftAllowance_, 0);
    use.tenant = name;
    uses[coordinator].push_back(std::move(use));
  }
  for (auto& [coordinator, some] : uses) send(now, coordinator, std::move(some), {}, out);
}

std::vector<QuotaDecision> Tenants::onTimer(Milliseconds now, std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  for (auto& [number, asked] : pendingReports_) {
    std::erase_if(asked.waiting, [&](Waiting const& waiting) {
      if (now - waiting.since < waitAtMost) return false;
      decisions.push_back(decideWithoutCoordinator(now, waiting));
      return true;
    });
  }
  std::erase_if(pendingReports_, [&](auto const& asked) { return now - asked.second.at > passOverFor; });
  if (now < reportAt_) return decisions;
  reportAt_ = now + reportEvery;
  detectTimeouts(now);
  sendReports(now, out);
  if (limiters_.size() > maxLimiters)
    for (auto& [name, limit] : limiters_)
      if (limit.limiter.idle(now)) limit.limiter = quota::QuotaLimiter();
  return decisions;
}

std::vector<QuotaDecision> Tenants::onMessage(Milliseconds now, std::string const& from,
                                              quota::QuotaGrants const& message, std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  auto const at = pendingReports_.find(message.reportNumber);
  if (at == pendingReports_.end() || at->second.coordinator != from) return decisions;
  PendingReport const asked = std::move(at->second);
  pendingReports_.erase(at);
  coordinators_[from].firstUnansweredAt = -1;
  for (quota::PartitionOwner const& elsewhere : message.partitionOwners) {
    announcedOwners_[elsewhere.partition] = elsewhere.coordinator;
    if (elsewhere.coordinator.empty()) {
      announcedOwners_.erase(elsewhere.partition);
      ownerlessUntil_[elsewhere.partition] = now + nobodyFor;
    }
  }
  for (quota::QuotaGrant const& grant : message.grants) {
    std::uint64_t const part = quota::partitionOf(grant.tenant);
    Limited* const limit = limited(grant.tenant);
    if (limit == nullptr || message.reportNumber < countsFrom_[part]) continue;
    announcedOwners_[part] = from;
    limit->limiter.onGrant(now, limit->limit, overdraftAllowance_, asked.at, grant);
  }
  for (Waiting const& waiting : asked.waiting) {
    Limited* const limit = limited(waiting.tenant);
    bool const granted = std::any_of(message.grants.begin(), message.grants.end(),
                                     [&](quota::QuotaGrant const& grant) { return grant.tenant == waiting.tenant; });
    if (limit == nullptr || limit->limiter.tryAcquire(now, limit->limit, overdraftAllowance_, waiting.amount)) {
      decisions.push_back({waiting.call, Admission::granted, asked.at});
    } else if (granted) {
      limit->depletedUntil = now + scarceFor;
      decisions.push_back({waiting.call, Admission::rejectedByCoordinator, now});
    } else if (!requestAmount(now, waiting, out)) {
      decisions.push_back(decideWithoutCoordinator(now, waiting));
    }
  }
  for (quota::QuotaGrant const& grant : message.grants)
    if (Limited* const limit = limited(grant.tenant)) limit->limiter.trim(now, limit->limit, overdraftAllowance_);
  return decisions;
}

transport::Send Tenants::onMessage(Milliseconds now, std::string const& from, quota::AllocationQuery const& message) {
  quota::AllocationReport claims;
  claims.link = link_;
  claims.incarnation = incarnation_;
  claims.terms = message.terms;
  for (quota::PartitionTerm const& term : message.terms) {
    countsFrom_[term.partition] = nextReport_;
    announcedOwners_[term.partition] = from;
    ownerlessUntil_.erase(term.partition);
  }
  for (auto const& [name, limit] : limiters_) {
    std::uint64_t const part = quota::partitionOf(name);
    bool const asked = std::any_of(message.terms.begin(), message.terms.end(),
                                   [&](quota::PartitionTerm const& term) { return term.partition == part; });
    if (!asked || !limit.limiter.hasAllocation(now)) continue;
    quota::TenantUsage use = limit.limiter.currentUsage(now, limit.limit, overdraftAllowance_);
    use.tenant = name;
    claims.usages.push_back(std::move(use));
  }
  return {from, std::move(claims)};
}

}  // namespace corkward::dataplane
