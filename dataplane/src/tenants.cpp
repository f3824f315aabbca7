#include <corkward/dataplane/tenants.h>

#include <algorithm>
#include <utility>

namespace corkward::dataplane {

namespace {

/// Interval of checks for reports that are due.
constexpr Milliseconds reportCheckInterval = 50;
/// A coordinator that does not reply to a report within this time counts as unresponsive.
constexpr Milliseconds replyTimeout = 400;
/// How long an unresponsive coordinator gets no reports. A pending report is forgotten after the same time.
constexpr Milliseconds unresponsivePeriod = 2000;
/// How long a request waits for its amount. Amounts that arrive later are void, see quota::QuotaLimiter::onGrant.
constexpr Milliseconds maxWait = quota::maxDispatchDelay / 2;
/// How long no amount is requested after the coordinator had too little left.
constexpr Milliseconds depletedPeriod = 30;
/// How long a partition counts as having no owner after a controller said so.
constexpr Milliseconds ownerlessPeriod = 150;
/// Most coordinators that an amount is requested from, one after another, for one request.
constexpr int maxAttempts = 3;
/// With more limiters than this, those of tenants that send nothing are reset to free their memory.
constexpr std::size_t maxLimiters = 4096;

}  // namespace

Tenants::Tenants(std::string link, std::uint64_t incarnation, std::uint64_t seed,
                 quota::OverdraftAllowance const& allowance)
    : link_(std::move(link)), incarnation_(incarnation), rng_(seed), overdraftAllowance_(allowance) {}

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
  std::erase_if(limiters_, [&](auto const& entry) { return limitedNames.count(entry.first) == 0; });
}

config::Tenant const* Tenants::byKey(std::string const& key) const {
  auto const found = byKey_.find(key);
  return found == byKey_.end() ? nullptr : &tenants_[found->second];
}

void Tenants::setMembers(std::vector<std::string> const& controllers, std::size_t routers) {
  if (controllers_ != controllers) controllers_ = controllers;
  unallocatedShare_.routers = std::max(unallocatedShare_.routers, routers);
}

double Tenants::amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens) {
  if (!tenant.inTokens) return 1.0;
  return static_cast<double>(tokens.value_or(tenant.defaultTokens));
}

Tenants::LimitedTenant* Tenants::findLimited(std::string const& tenant) {
  auto const found = limiters_.find(tenant);
  return found == limiters_.end() ? nullptr : &found->second;
}

double Tenants::randomFraction() {
  return static_cast<double>(rng_.next() >> 11) * 0x1.0p-53;
}

Admission Tenants::admit(Milliseconds now, std::uint64_t call, config::Tenant const& tenant, double amount,
                         std::vector<transport::Send>& out) {
  LimitedTenant* const limited = findLimited(tenant.name);
  if (limited == nullptr) return Admission::granted;
  if (!limited->limiter.onRequest(now, amount, randomFraction())) return Admission::rejectedByAllocation;
  if (limited->limiter.tryAcquire(now, limited->limit, overdraftAllowance_, amount)) return Admission::granted;
  WaitingRequest const waiting{call, tenant.name, amount, now, 0};
  if (now < limited->depletedUntil) return Admission::rejectedByCoordinator;
  if (requestAmount(now, waiting, out)) return Admission::pending;
  return decideWithoutCoordinator(now, waiting).admission;
}

bool Tenants::takeAmount(Milliseconds now, std::string const& tenant, double amount) {
  LimitedTenant* const limited = findLimited(tenant);
  return limited == nullptr || limited->limiter.tryAcquire(now, limited->limit, overdraftAllowance_, amount);
}

void Tenants::returnAmount(Milliseconds now, std::string const& tenant, double amount) {
  LimitedTenant* const limited = findLimited(tenant);
  if (limited != nullptr) limited->limiter.refund(now, limited->limit, overdraftAllowance_, amount);
}

QuotaDecision Tenants::decideWithoutCoordinator(Milliseconds now, WaitingRequest const& waiting) {
  LimitedTenant* const limited = findLimited(waiting.tenant);
  bool const granted = limited == nullptr ||
                       limited->limiter.tryAcquire(now, limited->limit, overdraftAllowance_, waiting.amount) ||
                       limited->limiter.tryAcquireUnallocated(now, limited->limit, overdraftAllowance_, waiting.amount,
                                                              unallocatedShare_, randomFraction());
  return {waiting.call, granted ? Admission::granted : Admission::rejectedWithoutCoordinator, now};
}

void Tenants::detectTimeouts(Milliseconds now) {
  for (auto& entry : coordinators_) {
    CoordinatorLink& coordinator = entry.second;
    if (coordinator.firstUnansweredAt < 0 || now - coordinator.firstUnansweredAt <= replyTimeout) continue;
    coordinator.timedOutAt = now;
    coordinator.firstUnansweredAt = -1;
    std::erase_if(announcedOwners_, [&](auto const& announced) { return announced.second == entry.first; });
  }
}

bool Tenants::isUnresponsive(Milliseconds now, std::string const& link) const {
  auto const found = coordinators_.find(link);
  return found != coordinators_.end() && found->second.timedOutAt >= 0 &&
         now - found->second.timedOutAt < unresponsivePeriod;
}

std::string Tenants::coordinatorOf(Milliseconds now, std::uint64_t partition) const {
  auto const ownerless = ownerlessUntil_.find(partition);
  if (ownerless != ownerlessUntil_.end() && now < ownerless->second) return {};
  auto const announced = announcedOwners_.find(partition);
  if (announced != announcedOwners_.end() && !isUnresponsive(now, announced->second)) return announced->second;
  std::string best;
  for (std::string const& link : controllers_) {
    if (isUnresponsive(now, link)) continue;
    if (best.empty() || quota::ownerRank(partition, link) < quota::ownerRank(partition, best)) best = link;
  }
  return best;
}

void Tenants::send(Milliseconds now, std::string const& coordinator, std::vector<quota::TenantUsage> usages,
                   std::vector<WaitingRequest> waiting, std::vector<transport::Send>& out) {
  CoordinatorLink& coordinatorLink = coordinators_[coordinator];
  if (coordinatorLink.firstUnansweredAt < 0) coordinatorLink.firstUnansweredAt = now;
  std::uint64_t const number = nextReportNumber_++;
  pendingReports_[number] = PendingReport{now, coordinator, std::move(waiting)};
  out.push_back(transport::Send{coordinator, quota::UsageReport{link_, incarnation_, number, std::move(usages)}});
}

bool Tenants::requestAmount(Milliseconds now, WaitingRequest waiting, std::vector<transport::Send>& out) {
  LimitedTenant* const limited = findLimited(waiting.tenant);
  std::string const coordinator = coordinatorOf(now, quota::partitionOf(waiting.tenant));
  if (limited == nullptr || coordinator.empty() || waiting.attempts >= maxAttempts) return false;
  ++waiting.attempts;
  quota::TenantUsage usage = limited->limiter.takeReport(now, limited->limit, overdraftAllowance_, waiting.amount);
  usage.tenant = waiting.tenant;
  send(now, coordinator, {std::move(usage)}, {std::move(waiting)}, out);
  return true;
}

void Tenants::sendReports(Milliseconds now, std::vector<transport::Send>& out) {
  std::map<std::string, std::vector<quota::TenantUsage>> usages;
  for (auto& [name, limited] : limiters_) {
    if (!limited.limiter.reportDue(now)) continue;
    std::string const coordinator = coordinatorOf(now, quota::partitionOf(name));
    if (coordinator.empty()) continue;
    quota::TenantUsage usage = limited.limiter.takeReport(now, limited.limit, overdraftAllowance_, 0);
    usage.tenant = name;
    usages[coordinator].push_back(std::move(usage));
  }
  for (auto& [coordinator, ofCoordinator] : usages) send(now, coordinator, std::move(ofCoordinator), {}, out);
}

std::vector<QuotaDecision> Tenants::onTimer(Milliseconds now, std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  for (auto& [number, report] : pendingReports_) {
    std::erase_if(report.waiting, [&](WaitingRequest const& waiting) {
      if (now - waiting.since < maxWait) return false;
      decisions.push_back(decideWithoutCoordinator(now, waiting));
      return true;
    });
  }
  std::erase_if(pendingReports_, [&](auto const& entry) { return now - entry.second.sentAt > unresponsivePeriod; });
  if (now < nextReportAt_) return decisions;
  nextReportAt_ = now + reportCheckInterval;
  detectTimeouts(now);
  sendReports(now, out);
  if (limiters_.size() > maxLimiters)
    for (auto& [name, limited] : limiters_)
      if (limited.limiter.idle(now)) limited.limiter = quota::QuotaLimiter();
  return decisions;
}

std::vector<QuotaDecision> Tenants::onMessage(Milliseconds now, std::string const& from,
                                              quota::QuotaGrants const& message, std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  auto const pending = pendingReports_.find(message.reportNumber);
  if (pending == pendingReports_.end() || pending->second.coordinator != from) return decisions;
  PendingReport const report = std::move(pending->second);
  pendingReports_.erase(pending);
  coordinators_[from].firstUnansweredAt = -1;
  for (quota::PartitionOwner const& owner : message.partitionOwners) {
    announcedOwners_[owner.partition] = owner.coordinator;
    if (owner.coordinator.empty()) {
      announcedOwners_.erase(owner.partition);
      ownerlessUntil_[owner.partition] = now + ownerlessPeriod;
    }
  }
  for (quota::QuotaGrant const& grant : message.grants) {
    std::uint64_t const partition = quota::partitionOf(grant.tenant);
    LimitedTenant* const limited = findLimited(grant.tenant);
    if (limited == nullptr || message.reportNumber < firstValidReport_[partition]) continue;
    announcedOwners_[partition] = from;
    limited->limiter.onGrant(now, limited->limit, overdraftAllowance_, report.sentAt, grant);
  }
  for (WaitingRequest const& waiting : report.waiting) {
    LimitedTenant* const limited = findLimited(waiting.tenant);
    bool const granted = std::any_of(message.grants.begin(), message.grants.end(),
                                     [&](quota::QuotaGrant const& grant) { return grant.tenant == waiting.tenant; });
    if (limited == nullptr || limited->limiter.tryAcquire(now, limited->limit, overdraftAllowance_, waiting.amount)) {
      decisions.push_back({waiting.call, Admission::granted, report.sentAt});
    } else if (granted) {
      limited->depletedUntil = now + depletedPeriod;
      decisions.push_back({waiting.call, Admission::rejectedByCoordinator, now});
    } else if (!requestAmount(now, waiting, out)) {
      decisions.push_back(decideWithoutCoordinator(now, waiting));
    }
  }
  for (quota::QuotaGrant const& grant : message.grants)
    if (LimitedTenant* const limited = findLimited(grant.tenant))
      limited->limiter.trim(now, limited->limit, overdraftAllowance_);
  return decisions;
}

transport::Send Tenants::onMessage(Milliseconds now, std::string const& from, quota::AllocationQuery const& message) {
  quota::AllocationReport report;
  report.link = link_;
  report.incarnation = incarnation_;
  report.terms = message.terms;
  for (quota::PartitionTerm const& term : message.terms) {
    firstValidReport_[term.partition] = nextReportNumber_;
    announcedOwners_[term.partition] = from;
    ownerlessUntil_.erase(term.partition);
  }
  for (auto const& [name, limited] : limiters_) {
    std::uint64_t const partition = quota::partitionOf(name);
    bool const queried = std::any_of(message.terms.begin(), message.terms.end(),
                                     [&](quota::PartitionTerm const& term) { return term.partition == partition; });
    if (!queried || !limited.limiter.hasAllocation(now)) continue;
    quota::TenantUsage usage = limited.limiter.currentUsage(now, limited.limit, overdraftAllowance_);
    usage.tenant = name;
    report.usages.push_back(std::move(usage));
  }
  return {from, std::move(report)};
}

}  // namespace corkward::dataplane
